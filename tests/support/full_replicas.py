"""Replicas that reset connections beyond a number."""

import struct

import eventlet
from eventlet.green import socket

from tests.support.replicas import ScriptedReplica

__all__ = ["FullReplica"]

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FullReplica(ScriptedReplica):
    """Resets each new connection beyond `max_conns`, before or after it reads.

    Parameters
    ----------
    name : str
        The replica's id.
    *steps : callable
        See `ScriptedReplica`.
    max_conns : int
        How many connections it serves at once.
    reset_after_s : float, optional
        How long a connection beyond them is open, in seconds.

    Attributes
    ----------
    resets : int
        How many connections were reset.
    most_conns : int
        How many connections were served at once at most.
    """

    def __init__(self, name, *steps, max_conns, reset_after_s=0.0):
        super().__init__(name, *steps)
        self.max_conns = max_conns
        self._reset_after_s = reset_after_s
        self._open = []
        self.resets = 0
        self.most_conns = 0

    def lower_to(self, max_conns):
        """Allow fewer connections, and reset the newest beyond them."""
        self.max_conns = max_conns
        for sock in self._open[max_conns:]:
            self._reset(sock)

    def _serve(self, raw_sock, connection):
        if len(self._open) >= self.max_conns:
            eventlet.sleep(self._reset_after_s)
            self._reset(raw_sock)
            raw_sock.close()
            return
        self._open.append(raw_sock)
        self.most_conns = max(self.most_conns, len(self._open))
        try:
            super()._serve(raw_sock, connection)
        finally:
            self._open.remove(raw_sock)

    def _reset(self, sock):
        self.resets += 1
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        # The thread that waits on the socket closes its own copy of it.
        sock.fd.close()
