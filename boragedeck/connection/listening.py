"""Helpers for listening sockets and WSGI servers."""

from collections.abc import Iterator

from eventlet import hubs
from eventlet.green import socket
from eventlet.greenio import GreenSocket

__all__ = ["DiscardingLog", "accept_waiting", "close_listener"]


class DiscardingLog:
    """Discards a WSGI server's log, which would repeat the application's log."""

    def write(self, text: str) -> None:
        """Discard a line."""


def accept_waiting(listener: socket.socket, most: int) -> Iterator[socket.socket]:
    """Accept the connections that wait in a listener's queue, without waiting.

    Parameters
    ----------
    listener : socket
        The listening socket, which may be closed.
    most : int
        Maximum number of connections.

    Notes
    -----
    When a listener is closed, the connections in its queue are reset, though callers
    have sent requests on them.
    """
    for _ in range(most):
        try:
            sock, _ = listener.fd.accept()
        except OSError:
            # None waits, or the listener is closed.
            return
        yield GreenSocket(sock)


def close_listener(listener: socket.socket) -> None:
    """Close a listening socket and wake the green thread that accepts on it, if any.

    Notes
    -----
    Otherwise that thread would go on waiting for a descriptor whose number is soon
    used for another file. If that file isn't a socket, a green thread that waits for it
    would get an error.
    """
    number = listener.fileno()
    listener.close()
    if number >= 0:
        # The hub wakes the threads that wait for a descriptor when it is notified that
        # its number was opened again.
        hubs.notify_opened(number)
