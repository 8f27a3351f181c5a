"""Listening socket that is opened before the rest of the process is imported.

After all VMs lost power, or while a router is replaced, callers connect before the
router has started. A refused connection costs a caller one of its few tries; a
connection that waits in the listener's queue is served half a second later.
"""

import socket

from boragedeck.connection.address import Address

__all__ = ["BACKLOG", "listen_early"]

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""


def listen_early(address: Address) -> socket.socket:
    """Return a listening socket, created without eventlet.

    Raises
    ------
    OSError
        If the address can't be bound.
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
