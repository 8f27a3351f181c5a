"""Listens for callers before the rest of the process is imported.

The load this answers: all VMs lose power, or a router is replaced, and callers connect
while it starts. A connection that is refused is one of a caller's few tries; one that
waits in the listener's queue is served half a second later.
"""

import socket

from boragedeck.connection.address import Address

__all__ = ["BACKLOG", "listen_early"]

BACKLOG = 1024


def listen_early(address: Address) -> socket.socket:
    """Return a listening socket, made without eventlet.

    Raises
    ------
    OSError
        Where the address can't be had.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.host, address.port))
        sock.listen(BACKLOG)
    except BaseException:
        sock.close()
        raise
    return sock
