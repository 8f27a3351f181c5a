"""Fair shares of organisations across all routers, computed from gossip."""

from collections import Counter

import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.ids import OrganisationName, RouterId
from boragedeck.interfaces import ConfigSource, FactBoard
from boragedeck.process.membership.pace import publish_interval_s
from boragedeck.process.timers import TimerService

__all__ = ["OrganisationShares", "ShareReport"]

FACT_KEY = "organisations"
MAX_REPORTED_ORGANISATIONS = 10
MIN_INTERVAL_S = 1.0
INTERVAL_PER_ROUTER_S = 0.1
FACT_TTL_INTERVALS = 5.0
MAX_WEIGHT_REDUCTION = 4.0
ARRIVAL_HALF_LIFE_S = 10.0
MIN_ARRIVALS = 0.05
FLOOD_START_RATIO = 2.5
FLOOD_FULL_RATIO = 4.0
FLOOD_LIMIT_SHARE = 0.5


class ShareReport(msgspec.Struct, frozen=True, array_like=True):
    """One router's requests by organisation, the largest organisations first.

    Parameters
    ----------
    held : dict
        Requests in flight by organisation.
    arrivals : dict
        Recent requests by organisation, decayed with half-life `ARRIVAL_HALF_LIFE_S`.
    """

    held: dict[OrganisationName, int]
    arrivals: dict[OrganisationName, float]


class OrganisationShares:
    """Use of the fleet by each organisation relative to its weight.

    Parameters
    ----------
    timers : TimerService
        Provides the time and timers.
    cfg_source : ConfigSource
        Declares the organisations' weights.
    board : FactBoard
        Shares each router's report with the others.

    Notes
    -----
    Each router publishes how many requests of its largest organisations are in
    flight and how many arrived recently. Every router sums these reports, so all
    routers compute the same totals, delayed by the gossip.

    The queue weight of an organisation that has more than its fair share in flight
    is divided by at most `MAX_WEIGHT_REDUCTION`. If an organisation's arrivals
    exceed `FLOOD_START_RATIO` times its fair share, it may use only a part of each
    upstream's limit, falling to `FLOOD_LIMIT_SHARE` at `FLOOD_FULL_RATIO` times, so
    that requests of other organisations find room at once. This limit depends on
    arrivals, not on the requests in flight or queued: with requests in flight, a
    throttled organisation would look harmless; with the queue, its backlog would
    keep it throttled.

    State: `MAX_REPORTED_ORGANISATIONS` counts of each kind for each router, kept for
    five intervals.
    """

    def __init__(
        self, timers: TimerService, cfg_source: ConfigSource, board: FactBoard
    ):
        self._timers = timers
        self._board = board
        self._own_in_flight: Counter[OrganisationName] = Counter()
        self._peers: dict[RouterId, ShareReport] = {}
        self._fleet_in_flight: Counter[OrganisationName] = Counter()
        self._own_arrivals: dict[OrganisationName, float] = {}
        self._fleet_arrivals: dict[OrganisationName, float] = {}
        self._decayed_at = timers.now()
        self._declared_weights: dict[OrganisationName, float] = {}
        self._apply_config(cfg_source.current())
        cfg_source.subscribe(self._apply_config)
        self._schedule()

    def record_arrival(self, organisation: OrganisationName) -> None:
        """Record a new request, whether it is served or not."""
        for counts in (self._own_arrivals, self._fleet_arrivals):
            counts[organisation] = counts.get(organisation, 0.0) + 1.0

    def record_start(self, organisation: OrganisationName) -> None:
        """Record that a request was given a slot."""
        self._own_in_flight[organisation] += 1
        self._fleet_in_flight[organisation] += 1

    def record_end(self, organisation: OrganisationName) -> None:
        """Record that a request has released its slot."""
        self._own_in_flight[organisation] -= 1
        self._fleet_in_flight[organisation] -= 1
        if self._own_in_flight[organisation] <= 0:
            del self._own_in_flight[organisation]

    def weight(self, organisation: OrganisationName) -> float:
        """Return an organisation's current weight in a queue."""
        declared = self._declared_weights.get(organisation, 1.0)
        return declared / min(
            MAX_WEIGHT_REDUCTION,
            max(1.0, self._relative_use(organisation, self._fleet_in_flight)),
        )

    def limit_share(self, organisation: OrganisationName) -> float:
        """Return the share of an upstream's limit that an organisation may use."""
        ratio = self._relative_use(organisation, self._fleet_arrivals)
        excess = (ratio - FLOOD_START_RATIO) / (FLOOD_FULL_RATIO - FLOOD_START_RATIO)
        return 1.0 - (1.0 - FLOOD_LIMIT_SHARE) * min(1.0, max(0.0, excess))

    def report(self) -> ShareReport:
        """Return this router's requests in flight and recent arrivals."""
        arrivals = Counter(self._own_arrivals).most_common(MAX_REPORTED_ORGANISATIONS)
        rounded = {name: round(count, 1) for name, count in arrivals}
        return ShareReport(
            dict(self._own_in_flight.most_common(MAX_REPORTED_ORGANISATIONS)), rounded
        )

    def refresh(self) -> None:
        """Publish this router's report and apply the peers' reports."""
        self._decay()
        facts = self._board.facts(FactTopic.LOAD)
        peers = [fact for fact in facts if fact.key == FACT_KEY]
        interval_s = self._interval_s(len(peers))
        body = msgspec.msgpack.encode(self.report())
        ttl_s = FACT_TTL_INTERVALS * interval_s
        self._board.publish(FactTopic.LOAD, FACT_KEY, body, ttl_s=ttl_s)
        self._peers = dict(map(_decode, peers))
        self._peers.pop(self._board.own, None)
        self._fleet_in_flight = Counter(self._own_in_flight)
        self._fleet_arrivals = dict(self._own_arrivals)
        for report in self._peers.values():
            self._fleet_in_flight.update(report.held)
            for name, count in report.arrivals.items():
                self._fleet_arrivals[name] = self._fleet_arrivals.get(name, 0.0) + count

    def _decay(self) -> None:
        now = self._timers.now()
        factor = 0.5 ** ((now - self._decayed_at) / ARRIVAL_HALF_LIFE_S)
        self._decayed_at = now
        self._own_arrivals = {
            name: count * factor
            for name, count in self._own_arrivals.items()
            if count * factor >= MIN_ARRIVALS
        }

    def _relative_use(
        self, organisation: OrganisationName, counts: dict[OrganisationName, float]
    ) -> float:
        """Return the ratio of an organisation's count to its fair share of all."""
        active_organisations = {name for name, count in counts.items() if count > 0}
        active_organisations.add(organisation)
        if len(active_organisations) == 1:
            return 0.0
        weights = sum(
            self._declared_weights.get(name, 1.0) for name in active_organisations
        )
        total = sum(counts.get(name, 0.0) for name in active_organisations)
        fair_count = total * self._declared_weights.get(organisation, 1.0) / weights
        return counts.get(organisation, 0.0) / max(1.0, fair_count)

    def _apply_config(self, cfg) -> None:
        self._declared_weights = {each.name: each.weight for each in cfg.organisations}

    def _schedule(self) -> None:
        routers = len(self._peers) + 1
        self._timers.call_later(self._interval_s(routers), self._refresh_again)

    def _refresh_again(self) -> None:
        self.refresh()
        self._schedule()

    def _interval_s(self, routers: int) -> float:
        return publish_interval_s(routers, MIN_INTERVAL_S, INTERVAL_PER_ROUTER_S)


def _decode(fact: Fact) -> tuple[RouterId, ShareReport]:
    try:
        report = msgspec.msgpack.decode(fact.body, type=ShareReport)
    except DECODE_ERRORS:
        report = ShareReport({}, {})
    return fact.origin, report
