"""What servers that listen share."""

from eventlet import hubs
from eventlet.green import socket

__all__ = ["DiscardingLog", "close_listener"]


class DiscardingLog:
    """Takes a WSGI server's own log, which would repeat the application's."""

    def write(self, text: str) -> None:
        """Drop a line."""


def close_listener(listener: socket.socket) -> None:
    """Close a listening socket and wake the green thread that accepts, if any.

    Notes
    -----
    Left alone, that thread waits for a descriptor whose number is soon another's;
    who waits for the latter gets an error then, where it isn't a socket.
    """
    number = listener.fileno()
    listener.close()
    if number >= 0:
        # The hub ends what waits for a number when it hears that it is in use anew.
        hubs.notify_opened(number)
