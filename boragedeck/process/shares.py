"""Shares of organisations over all routers, from gossip without a counter."""

from collections import Counter

import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.ids import OrganisationName, RouterId
from boragedeck.interfaces import ConfigSource, FactBoard
from boragedeck.process.pace import restate_interval_s
from boragedeck.process.timers import TimerService

__all__ = ["OrganisationShares", "ShareReport"]

FACT_KEY = "organisations"
MAX_REPORTED = 10
MIN_INTERVAL_S = 1.0
INTERVAL_PER_ROUTER_S = 0.1
FACT_TTL_INTERVALS = 5.0
MAX_WEIGHT_CHANGE = 4.0
ARRIVAL_HALF_LIFE_S = 10.0
MIN_ARRIVED = 0.05
FLOOD_FROM = 2.5
FLOOD_FULL = 4.0
FLOOD_USE = 0.5


class ShareReport(msgspec.Struct, frozen=True, array_like=True):
    """What one router has in flight, by organisation, the largest first.

    Parameters
    ----------
    held : dict
        Requests in flight by organisation.
    arrived : dict
        Recent requests by organisation, those of `ARRIVAL_HALF_LIFE_S` ago for half.
    """

    held: dict[OrganisationName, int]
    arrived: dict[OrganisationName, float]


class OrganisationShares:
    """How much of the fleet each organisation uses against its weight.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    cfg_source : ConfigSource
        Declares the organisations' weights.
    board : FactBoard
        Spreads each router's report.

    Notes
    -----
    Each router says how many requests of its largest organisations it has in
    flight and how many came; the sums give each router the same picture, as late as
    gossip is. An organisation that holds more than its share weighs less in each
    queue, by at most `MAX_WEIGHT_CHANGE`. One whose requests come at more than
    `FLOOD_FROM` times its share may use a part of the upstreams' limits only, down to
    `FLOOD_USE` from `FLOOD_FULL` times on, so that the others find room at once.
    Arrivals decide that, not what is held or waits: being held back would make an
    organisation look harmless, or its backlog keep it held back. State:
    `MAX_REPORTED` counts of each kind for each router, for five intervals.
    """

    def __init__(
        self, timers: TimerService, cfg_source: ConfigSource, board: FactBoard
    ):
        self._timers = timers
        self._board = board
        self._own: Counter[OrganisationName] = Counter()
        self._peers: dict[RouterId, ShareReport] = {}
        self._held: Counter[OrganisationName] = Counter()
        self._own_arrived: dict[OrganisationName, float] = {}
        self._arrived: dict[OrganisationName, float] = {}
        self._decayed_at = timers.now()
        self._declared: dict[OrganisationName, float] = {}
        self._read_config(cfg_source.current())
        cfg_source.subscribe(self._read_config)
        self._schedule()

    def arrive(self, organisation: OrganisationName) -> None:
        """Note a new request, be it served or not."""
        for counts in (self._own_arrived, self._arrived):
            counts[organisation] = counts.get(organisation, 0.0) + 1.0

    def start(self, organisation: OrganisationName) -> None:
        """Note a request that has got a place."""
        self._own[organisation] += 1
        self._held[organisation] += 1

    def end(self, organisation: OrganisationName) -> None:
        """Note a request that has given its place back."""
        self._own[organisation] -= 1
        self._held[organisation] -= 1
        if self._own[organisation] <= 0:
            del self._own[organisation]

    def weight(self, organisation: OrganisationName) -> float:
        """Return an organisation's present weight in a queue."""
        declared = self._declared.get(organisation, 1.0)
        return declared / min(
            MAX_WEIGHT_CHANGE, max(1.0, self._ratio(organisation, self._held))
        )

    def use_limit(self, organisation: OrganisationName) -> float:
        """Return the share of an upstream's limit that an organisation may use."""
        ratio = self._ratio(organisation, self._arrived)
        excess = (ratio - FLOOD_FROM) / (FLOOD_FULL - FLOOD_FROM)
        return 1.0 - (1.0 - FLOOD_USE) * min(1.0, max(0.0, excess))

    def report(self) -> ShareReport:
        """Return what this router has in flight."""
        arrived = Counter(self._own_arrived).most_common(MAX_REPORTED)
        rounded = {name: round(count, 1) for name, count in arrived}
        return ShareReport(dict(self._own.most_common(MAX_REPORTED)), rounded)

    def refresh(self) -> None:
        """State the own report and read the peers' ones."""
        self._decay()
        facts = self._board.facts(FactTopic.LOAD)
        peers = [fact for fact in facts if fact.key == FACT_KEY]
        interval_s = self._interval_s(len(peers))
        body = msgspec.msgpack.encode(self.report())
        ttl_s = FACT_TTL_INTERVALS * interval_s
        self._board.publish(FactTopic.LOAD, FACT_KEY, body, ttl_s=ttl_s)
        self._peers = dict(map(_decode, peers))
        self._peers.pop(self._board.own, None)
        self._held = Counter(self._own)
        self._arrived = dict(self._own_arrived)
        for report in self._peers.values():
            self._held.update(report.held)
            for name, count in report.arrived.items():
                self._arrived[name] = self._arrived.get(name, 0.0) + count

    def _decay(self) -> None:
        now = self._timers.now()
        factor = 0.5 ** ((now - self._decayed_at) / ARRIVAL_HALF_LIFE_S)
        self._decayed_at = now
        self._own_arrived = {
            name: count * factor
            for name, count in self._own_arrived.items()
            if count * factor >= MIN_ARRIVED
        }

    def _ratio(
        self, organisation: OrganisationName, counts: dict[OrganisationName, float]
    ) -> float:
        """Return an organisation's part of some counts over its fair part."""
        active = {name for name, count in counts.items() if count > 0}
        active.add(organisation)
        if len(active) == 1:
            return 0.0
        weights = sum(self._declared.get(name, 1.0) for name in active)
        total = sum(counts.get(name, 0.0) for name in active)
        fair = total * self._declared.get(organisation, 1.0) / weights
        return counts.get(organisation, 0.0) / max(1.0, fair)

    def _read_config(self, cfg) -> None:
        self._declared = {each.name: each.weight for each in cfg.organisations}

    def _schedule(self) -> None:
        routers = len(self._peers) + 1
        self._timers.call_later(self._interval_s(routers), self._refresh_again)

    def _refresh_again(self) -> None:
        self.refresh()
        self._schedule()

    def _interval_s(self, routers: int) -> float:
        return restate_interval_s(routers, MIN_INTERVAL_S, INTERVAL_PER_ROUTER_S)


def _decode(fact: Fact) -> tuple[RouterId, ShareReport]:
    try:
        report = msgspec.msgpack.decode(fact.body, type=ShareReport)
    except DECODE_ERRORS:
        report = ShareReport({}, {})
    return fact.origin, report
