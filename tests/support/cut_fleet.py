"""Routers in one process that share scripted replicas, and can be cut off from them.

The routers speak to the replicas over loopback. A cut affects one router's connections
only.
"""

import enum
import random

import eventlet
from result import Err, Ok

from boragedeck.connection.address import Address
from boragedeck.connection.upstream_connection import UpstreamConnection
from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.exceptions import (
    PeerUnreachableError,
    UpstreamConnectTimeoutError,
    UpstreamRefusedError,
)
from boragedeck.interfaces import Member
from boragedeck.process.relaying.paths.path_composition import (
    make_forward_edge,
    make_paths,
)
from boragedeck.version.routing import CallerLimits
from standins.silence import Silence
from tests.support.limited_fleet import FleetMembers
from tests.support.replicas import RelayHarness

HANG_POLL_S = 0.01
LATENCY_S = 0.002
DOMAINS = 4


class Cut(enum.Enum):
    """How a router's links to the replicas fail."""

    HANG = "hang"
    """Nothing arrives, and new connections time out."""
    STALL = "stall"
    """Connections in use live on, and new ones time out."""
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

    def send(self, data):
        """Send, or lose the data."""
        if self._pool.cut is Cut.HANG:
            return len(data)
        return self._sock.send(data)


class CutConnection(UpstreamConnection):
    """A connection that receives nothing while its router is cut off."""

    def __init__(self, conn, pool):
        super().__init__(CutSocket(conn.sock, pool), conn.address, conn._now)
        self._pool = pool
        self.on_arrival = conn.on_arrival

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
        if self.cut in (Cut.HANG, Cut.STALL) and is_cut:
            eventlet.sleep(timeout_s)
            raise UpstreamConnectTimeoutError(
                "cut off", step="connect", peer=str(address)
            )
        if self.cut is not None and is_cut:
            raise UpstreamRefusedError("cut off", step="connect", peer=str(address))
        conn = CutConnection(super()._open(address, timeout_s), self)
        self._opened = [*getattr(self, "_opened", ()), conn]
        return conn


class CutRouter(RelayHarness):
    """One router of the fleet, which also forwards requests of the others.

    Attributes
    ----------
    silence : Silence
        While it is on, requests of the others are accepted and not handled.
    """

    pool_type = CutPool

    def __init__(self, fleet, number, **fields):
        self._fleet = fleet
        self.name = f"r{number}"
        self.forward_listener = eventlet.listen(("127.0.0.1", 0))
        forward_at = Address(*self.forward_listener.getsockname())
        domain = f"d{number % DOMAINS}"
        self.member = Member(self.name, self.name, domain, forward_at)
        self.members = FleetMembers(fleet, self.member)
        self.silence = Silence()
        super().__init__(**fields)
        self.forward_edge = make_forward_edge(
            self.forward_listener,
            self.timers,
            self.registry,
            self.upstreams,
            self.paths,
            self.notices,
            self.parts.protocol,
            self.metrics,
            CallerLimits,
            lambda: self.time_left_s,
        )
        self._handle_forwarded = self.forward_edge.handle
        self.forward_edge.handle = self._forward
        self.forward_server = eventlet.spawn(self.forward_edge.serve)

    def make_paths(self):
        """Return the paths of this router."""
        peer = FleetPeer(self._fleet, self.member.address)
        return make_paths(
            self.timers,
            random.Random(7),
            self.upstreams,
            self.registry,
            self.members,
            peer,
            peer,
            self.metrics,
            lambda member: member.address,
        )

    def _forward(self, raw, channel):
        self.silence.wait()
        self._handle_forwarded(raw, channel)

    def close(self):
        """Close all sockets."""
        self.forward_server.kill()
        self.forward_listener.close()
        super().close()


class FleetPeer:
    """Links and server of one router, without a network."""

    def __init__(self, fleet, own):
        self._fleet, self._own = fleet, own

    def register(self, kind, handler):
        """See `PeerServer.register`."""
        self._fleet.handlers[self._own, kind] = handler

    def link(self, address):
        """See `PeerLinks.link`."""
        return FleetLink(self._fleet, address)


class FleetLink:
    """A link to one router."""

    def __init__(self, fleet, target):
        self._fleet, self._target = fleet, target

    def call(self, message, answer_type, *, timeout_s):
        """See `PeerLink.call`."""
        self._fleet.calls += 1
        eventlet.sleep(LATENCY_S)
        if self._target in self._fleet.stopped:
            eventlet.sleep(timeout_s)
            return Err(PeerUnreachableError("no answer in time"))
        return Ok(self._fleet.handlers[self._target, type(message)](message))


class CutFleet:
    """Several routers before the same replicas.

    Attributes
    ----------
    stopped : set of Address
        Routers that answer no calls of the others.
    calls : int
        Number of calls between the routers.
    """

    def __init__(self, count, replicas, **fields):
        self.replicas = replicas
        self.handlers = {}
        self.stopped = set()
        self.calls = 0
        self.routers = []
        for number in range(count):
            self.routers.append(CutRouter(self, number, **fields))
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
