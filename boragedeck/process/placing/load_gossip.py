"""Gossip of the number of requests that each router has at each upstream."""

import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.ids import PoolName, RouterId
from boragedeck.interfaces import FactBoard
from boragedeck.process.membership.pace import publish_interval_s
from boragedeck.process.placing.upstreams import UpstreamKey, UpstreamRegistry
from boragedeck.process.timers import TimerService

__all__ = [
    "MAX_REPORTED_IN_LARGE_FLEET",
    "InFlight",
    "InFlightReport",
    "LoadGossip",
    "report_interval_s",
]

FACT_KEY = "in_flight"
MAX_REPORTED_UPSTREAMS = 32
MAX_REPORTED_IN_LARGE_FLEET = 8
LARGE_FLEET_ROUTERS = 64
MIN_INTERVAL_S = 0.5
INTERVAL_PER_ROUTER_S = 0.1
FACT_TTL_INTERVALS = 5.0


class InFlight(msgspec.Struct, frozen=True, array_like=True):
    """Number of requests that a router has in flight at an upstream."""

    upstream: UpstreamKey
    count: int


class InFlightReport(msgspec.Struct, frozen=True, array_like=True):
    """One router's requests in flight, for the upstreams with the most of them."""

    upstreams: tuple[InFlight, ...]


class LoadGossip:
    """Publishes this router's requests in flight and applies the peers' reports.

    Parameters
    ----------
    timers : TimerService
        Provides the time and timers.
    board : FactBoard
        Shares the reports among routers.
    registry : UpstreamRegistry
        The state of each upstream as this router knows it.

    Notes
    -----
    The interval grows with the number of routers, so that the number of reports that
    a router receives per second stays the same. State: `MAX_REPORTED_UPSTREAMS` counts
    for each router.
    """

    def __init__(
        self, timers: TimerService, board: FactBoard, registry: UpstreamRegistry
    ):
        self._timers = timers
        self._board = board
        self._registry = registry
        self._last_published: InFlightReport | None = None
        self._routers = 1
        self._schedule_refresh(report_interval_s(1))

    def refresh(self) -> int:
        """Publish this router's report and apply the others.

        Returns
        -------
        int
            The number of routers with a report, including this one.
        """
        facts = [
            fact
            for fact in self._board.facts(FactTopic.LOAD)
            if fact.key == FACT_KEY and fact.origin != self._board.own
        ]
        self._routers = len(facts) + 1
        self._publish(report_interval_s(self._routers))
        self._apply_reports(facts)
        return self._routers

    def report(self) -> InFlightReport:
        """Return this router's requests in flight."""
        busy = [state for state in self._registry.all() if state.load.own_in_flight > 0]
        busy.sort(key=lambda state: -state.load.own_in_flight)
        is_large = self._routers > LARGE_FLEET_ROUTERS
        max_reported = (
            MAX_REPORTED_IN_LARGE_FLEET if is_large else MAX_REPORTED_UPSTREAMS
        )
        return InFlightReport(
            tuple(
                InFlight(state.key, state.load.own_in_flight)
                for state in busy[:max_reported]
            )
        )

    def _publish(self, interval_s: float) -> None:
        report = self.report()
        if report == self._last_published == InFlightReport(()):
            return
        self._last_published = report
        body = msgspec.msgpack.encode(report)
        ttl_s = FACT_TTL_INTERVALS * interval_s
        self._board.publish(FactTopic.LOAD, FACT_KEY, body, ttl_s=ttl_s)

    def _apply_reports(self, facts: list[Fact]) -> None:
        now = self._timers.now()
        peer_counts: dict[UpstreamKey, dict[RouterId, int]] = {}
        routers: dict[PoolName, set[RouterId]] = {}
        for fact in facts:
            for item in _decode(fact).upstreams:
                peer_counts.setdefault(item.upstream, {})[fact.origin] = item.count
                routers.setdefault(item.upstream.pool, set()).add(fact.origin)
        for state in self._registry.all():
            state.load.set_peer_counts(peer_counts.get(state.key, {}), now)
            state.routers = len(routers.get(state.key.pool, ())) + 1

    def _schedule_refresh(self, interval_s: float) -> None:
        def refresh() -> None:
            self._schedule_refresh(report_interval_s(self.refresh()))

        self._timers.call_later(interval_s, refresh)


def report_interval_s(routers: int) -> float:
    """Return the time between two reports of a router, in seconds."""
    return publish_interval_s(routers, MIN_INTERVAL_S, INTERVAL_PER_ROUTER_S)


def _decode(fact: Fact) -> InFlightReport:
    try:
        return msgspec.msgpack.decode(fact.body, type=InFlightReport)
    except DECODE_ERRORS:
        return InFlightReport(())
