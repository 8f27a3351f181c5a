"""Shares of organisations over all routers, from gossip without a counter."""

from collections import Counter

import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.ids import OrganisationName, RouterId
from boragedeck.interfaces import ConfigSource, FactBoard
from boragedeck.process.timers import TimerService

__all__ = ["OrganisationShares", "ShareReport"]

FACT_KEY = "organisations"
MAX_REPORTED = 16
MIN_INTERVAL_S = 1.0
INTERVAL_PER_ROUTER_S = 0.05
FACT_TTL_INTERVALS = 5.0
MAX_WEIGHT_CHANGE = 4.0
OVER_SHARE = 1.5


class ShareReport(msgspec.Struct, frozen=True, array_like=True):
    """What one router has in flight, by organisation, the largest first.

    Parameters
    ----------
    held : dict
        Requests in flight by organisation.
    total : int
        All requests in flight.
    """

    held: dict[OrganisationName, int]
    total: int


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
    flight; the sums give each router the same picture, as late as gossip is. An
    organisation over its share weighs less in each queue, by at most
    `MAX_WEIGHT_CHANGE`, and may not use the last places. State: `MAX_REPORTED`
    counts for each router, for five intervals.
    """

    def __init__(
        self, timers: TimerService, cfg_source: ConfigSource, board: FactBoard
    ):
        self._timers = timers
        self._board = board
        self._own: Counter[OrganisationName] = Counter()
        self._peers: dict[RouterId, ShareReport] = {}
        self._held: Counter[OrganisationName] = Counter()
        self._declared: dict[OrganisationName, float] = {}
        self._read_config(cfg_source.current())
        cfg_source.subscribe(self._read_config)
        self._schedule()

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
        return declared / min(MAX_WEIGHT_CHANGE, max(1.0, self._use(organisation)))

    def is_over_share(self, organisation: OrganisationName) -> bool:
        """Return whether an organisation holds clearly more than its share."""
        return self._use(organisation) > OVER_SHARE

    def report(self) -> ShareReport:
        """Return what this router has in flight."""
        return ShareReport(dict(self._own.most_common(MAX_REPORTED)), self._own.total())

    def refresh(self) -> None:
        """State the own report and read the peers' ones."""
        facts = self._board.facts(FactTopic.LOAD)
        peers = [fact for fact in facts if fact.key == FACT_KEY]
        interval_s = self._interval_s(len(peers))
        body = msgspec.msgpack.encode(self.report())
        ttl_s = FACT_TTL_INTERVALS * interval_s
        self._board.publish(FactTopic.LOAD, FACT_KEY, body, ttl_s=ttl_s)
        self._peers = dict(map(_decode, peers))
        self._peers.pop(self._board.own, None)
        self._held = Counter(self._own)
        for report in self._peers.values():
            self._held.update(report.held)

    def _use(self, organisation: OrganisationName) -> float:
        """Return the part of its fair share that an organisation holds."""
        active = {name for name, count in self._held.items() if count > 0}
        active.add(organisation)
        if len(active) == 1:
            return 0.0
        weights = sum(self._declared.get(name, 1.0) for name in active)
        total = sum(self._held[name] for name in active)
        fair = total * self._declared.get(organisation, 1.0) / weights
        return self._held[organisation] / max(1.0, fair)

    def _read_config(self, cfg) -> None:
        self._declared = {each.name: each.weight for each in cfg.organisations}

    def _schedule(self) -> None:
        routers = len(self._peers) + 1
        self._timers.call_later(self._interval_s(routers), self._refresh_again)

    def _refresh_again(self) -> None:
        self.refresh()
        self._schedule()

    def _interval_s(self, routers: int) -> float:
        return max(MIN_INTERVAL_S, INTERVAL_PER_ROUTER_S * routers)


def _decode(fact: Fact) -> tuple[RouterId, ShareReport]:
    try:
        report = msgspec.msgpack.decode(fact.body, type=ShareReport)
    except msgspec.MsgspecError:
        report = ShareReport({}, 0)
    return fact.origin, report
