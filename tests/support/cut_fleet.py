"""Routers in one process that share scripted replicas, and can be cut off from them.

The routers speak to the replicas over loopback. A cut affects one router's connections
only.
"""

import enum

import eventlet

from boragedeck.connection.exchange import UpstreamConnection
from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.exceptions import UpstreamRefusedError
from tests.support.replicas import RelayHarness

HANG_POLL_S = 0.01


class Cut(enum.Enum):
    """How a router's links to the replicas fail."""

    HANG = "hang"
    """Nothing arrives, and new connections time out."""
    RESET = "reset"
    """Open connections are reset, and new ones are refused."""
    REFUSE = "refuse"
    """Connections in use live on, and new ones are refused. Idle ones expire soon, so
    they are closed at once."""


class CutSocket:
    """A socket that sends nothing while its router is cut off."""

    def __init__(self, sock, pool):
        self._sock, self._pool = sock, pool

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def sendall(self, data):
        """Send, or lose the data."""
        if self._pool.cut is not Cut.HANG:
            self._sock.sendall(data)


class CutConnection(UpstreamConnection):
    """A connection that receives nothing while its router is cut off."""

    def __init__(self, conn, pool):
        super().__init__(CutSocket(conn.sock, pool), conn.address)
        self._pool = pool

    def is_open_and_empty(self):
        """See `UpstreamConnection.is_open_and_empty`."""
        return self._pool.cut is Cut.HANG or super().is_open_and_empty()

    def receive(self):
        """See `UpstreamConnection.receive`."""
        while True:
            while self._pool.cut is Cut.HANG:
                eventlet.sleep(HANG_POLL_S)
            data = super().receive()
            if self._pool.cut is not Cut.HANG:
                return data


class CutPool(UpstreamPool):
    """A pool whose router can be cut off from all replicas, or from some.

    Attributes
    ----------
    cut : Cut or None
        How it is cut off.
    only : set of Address or None
        The replicas to which new connections fail; None for all.
    """

    cut = None
    only = None

    def set_cut(self, cut, only=None):
        """Cut the router off from the replicas, or end that with None."""
        self.cut, self.only = cut, only
        match cut:
            case Cut.RESET:
                for conn in getattr(self, "_opened", ()):
                    conn.shut_down()
            case Cut.REFUSE:
                for address in list(self._idle):
                    self.forget(address)

    def _open(self, address, timeout_s):
        is_cut = self.only is None or address in self.only
        if self.cut is Cut.HANG and is_cut:
            eventlet.sleep(timeout_s)
        if self.cut is not None and is_cut:
            raise UpstreamRefusedError("cut off", step="connect", peer=str(address))
        conn = CutConnection(super()._open(address, timeout_s), self)
        self._opened = [*getattr(self, "_opened", ()), conn]
        return conn


class CutRouter(RelayHarness):
    """One router of the fleet."""

    pool_type = CutPool


class CutFleet:
    """Several routers before the same replicas."""

    def __init__(self, count, replicas, **fields):
        self.replicas = replicas
        self.routers = [CutRouter(**fields) for _ in range(count)]
        for router in self.routers:
            for replica in replicas:
                router.add(replica)

    def cut(self, cut, *numbers):
        """Cut some routers off from all replicas."""
        for number in numbers:
            self.routers[number].upstreams.set_cut(cut)

    def close(self):
        """Close all sockets."""
        for router in self.routers:
            router.close()
