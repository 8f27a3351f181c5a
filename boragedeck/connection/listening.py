"""Helpers for listening sockets and WSGI servers."""

from eventlet import hubs
from eventlet.green import socket

__all__ = ["DiscardingLog", "close_listener"]


class DiscardingLog:
    """Discards a WSGI server's log, which would repeat the application's log."""

    def write(self, text: str) -> None:
        """Discard a line."""


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
