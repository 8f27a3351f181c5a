"""Heartbeats: checks directly and through other routers whether a router is alive."""

import enum
import random

import eventlet

from boragedeck.connection.messages import Message
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.ids import RouterId
from boragedeck.interfaces import Member
from boragedeck.process.timers import TimerService

__all__ = [
    "Heartbeat",
    "HeartbeatAnswer",
    "HeartbeatFor",
    "HeartbeatReport",
    "Heartbeats",
    "Reachability",
]

DIRECT_TIMEOUT_S = 1.0
INDIRECT_TIMEOUT_S = 2.5
MAX_HELPERS = 2
"""Maximum number of other routers through which a silent router is checked."""


class Reachability(enum.Enum):
    """Result of checking a router with heartbeats."""

    ALIVE = "alive"
    UNREACHED = "unreached"
    """Other routers reach it, but this router does not."""
    SILENT = "silent"
    """None of the routers that checked it reaches it."""
    REPLACED = "replaced"
    """Another process of the router answers at its address."""


class Heartbeat(Message, frozen=True):
    """Requests the router's id; answered with `HeartbeatAnswer`."""


class HeartbeatAnswer(Message, frozen=True):
    """Names the router process that answers."""

    router: RouterId


class HeartbeatFor(Message, frozen=True):
    """Requests a heartbeat to a third router; answered with `HeartbeatReport`."""

    router: RouterId
    address: Address


class HeartbeatReport(Message, frozen=True):
    """The result of the heartbeat to the third router."""

    reachability: Reachability


class Heartbeats:
    """Sends and answers heartbeats.

    Parameters
    ----------
    own : Member
        This router.
    timers : TimerService
        The source of time.
    links : PeerLinks
        Links to the other routers.
    server : PeerServer
        Receives the calls of the other routers.
    rng : random.Random
        Chooses the helpers of an indirect check.
    """

    def __init__(
        self,
        own: Member,
        timers: TimerService,
        links: PeerLinks,
        server: PeerServer,
        rng: random.Random,
    ):
        self._own = own
        self._timers = timers
        self._links = links
        self._rng = rng
        server.register(Heartbeat, self._on_heartbeat)
        server.register(HeartbeatFor, self._on_heartbeat_for)

    def check(self, member: Member, helpers: list[Address]) -> Reachability:
        """Check a router directly, and if it is silent, through other routers.

        Parameters
        ----------
        member : Member
            The router to check.
        helpers : list of Address
            Other routers, the helpers, through which it may be checked.
        """
        reachability = self._check_directly(member.router, member.address)
        if reachability is not Reachability.SILENT or not helpers:
            return reachability
        chosen = self._rng.sample(helpers, min(MAX_HELPERS, len(helpers)))
        indirect_request = HeartbeatFor(member.router, member.address)
        threads = [
            eventlet.spawn(self._check_through, indirect_request, address)
            for address in chosen
        ]
        reports = [thread.wait() for thread in threads]
        if Reachability.REPLACED in reports:
            return Reachability.REPLACED
        if Reachability.ALIVE in reports:
            # This connection may be dead; the next call opens a new one.
            self._links.link(member.address).close()
            return Reachability.UNREACHED
        return Reachability.SILENT

    def _check_directly(self, router: RouterId, address: Address) -> Reachability:
        link = self._links.link(address)
        answer = link.call(Heartbeat(), HeartbeatAnswer, timeout_s=DIRECT_TIMEOUT_S)
        if answer.is_err():
            return Reachability.SILENT
        return (
            Reachability.ALIVE
            if answer.ok().router == router
            else Reachability.REPLACED
        )

    def _check_through(
        self, indirect_request: HeartbeatFor, address: Address
    ) -> Reachability | None:
        link = self._links.link(address)
        answer = link.call(
            indirect_request, HeartbeatReport, timeout_s=INDIRECT_TIMEOUT_S
        )
        return answer.ok().reachability if answer.is_ok() else None

    def _on_heartbeat(self, message: Heartbeat) -> HeartbeatAnswer:
        return HeartbeatAnswer(self._own.router)

    def _on_heartbeat_for(self, message: HeartbeatFor) -> HeartbeatReport:
        return HeartbeatReport(self._check_directly(message.router, message.address))
