"""Callers that nobody controls: their requests stop short, and they stay."""

import eventlet
from eventlet.green import socket

__all__ = ["hold_unfinished"]

CONNECTIONS = 30
BODY_BYTES = 1024 * 1024
PART_BYTES = 64 * 1024
SEND_S = 2.0
"""How long one of them sends at most, in seconds."""
HEAD = (
    b"POST /crowd/x HTTP/1.1\r\nHost: crowd\r\nRequest-Id: crowd\r\n"
    b"Content-Length: %d\r\n\r\n"
)


def hold_unfinished(address: str, seconds: float) -> None:
    """Send bodies without their last byte to a router, and stay for a time.

    Parameters
    ----------
    address : str
        The router's address for callers.
    seconds : float
        How long they stay after the last has sent what it sends.

    Notes
    -----
    The router may refuse them or close their connections.
    """
    host, _, port = address.rpartition(":")
    threads = [eventlet.spawn(_send, (host, int(port))) for _ in range(CONNECTIONS)]
    socks = [thread.wait() for thread in threads]
    eventlet.sleep(seconds)
    for sock in socks:
        sock.close()


def _send(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket()
    try:
        with eventlet.Timeout(SEND_S, False):
            sock.connect(address)
            sock.sendall(HEAD % BODY_BYTES)
            for _ in range(BODY_BYTES // PART_BYTES - 1):
                sock.sendall(b"x" * PART_BYTES)
    except OSError:
        # The router is away, or has closed the connection.
        pass
    return sock
