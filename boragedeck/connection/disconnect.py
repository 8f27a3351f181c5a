"""Detection of callers that close their connection."""

from eventlet.green import socket
from eventlet.hubs import trampoline

from boragedeck.process.threads import end_thread, spawn_task

__all__ = ["DisconnectWatch"]


class DisconnectWatch:
    """Watches a connection for its end while no data is expected on it.

    Parameters
    ----------
    sock : socket
        The caller's connection, whose request has been read.

    Attributes
    ----------
    is_closed : bool
        Whether the caller has closed its side.

    Notes
    -----
    It only peeks at the data, so that a further request on the connection isn't lost.
    It stops at the first data that arrives; a later end is then not detected.
    """

    def __init__(self, sock: socket.socket):
        self.is_closed = False
        self._sock = sock
        self._thread = spawn_task(self._watch)

    def stop(self) -> None:
        """Stop watching."""
        end_thread(self._thread)

    def _watch(self) -> None:
        try:
            trampoline(self._sock.fileno(), read=True)
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            self.is_closed = self._sock.fd.recv(1, flags) == b""
        except (OSError, ValueError):
            self.is_closed = True
