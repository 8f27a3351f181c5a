"""Replicas whose queue of connections is full, so that first packets are dropped."""

import eventlet
from eventlet.green import socket

from tests.support.replicas import ScriptedReplica

__all__ = ["QueueingReplica"]

FILLERS = 4
BACKLOG = 50


class QueueingReplica(ScriptedReplica):
    """Accepts nothing for a time, while its queue is full.

    The kernel drops the first packet of each further connection, and the other side
    sends it again a second later.
    """

    def fill(self):
        """Accept nothing, and fill the queue."""
        self._server.kill()
        self._listener.listen(0)
        self._fillers = [socket.socket() for _ in range(FILLERS)]
        for sock in self._fillers:
            sock.fd.connect_ex((self.address.host, self.address.port))

    def go_on(self):
        """Accept connections again."""
        for sock in self._fillers:
            sock.close()
        self._listener.listen(BACKLOG)
        self._server = eventlet.spawn(self._accept)
