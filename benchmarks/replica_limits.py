"""Compares ways to keep a limit that a replica names on all routers together.

Routers on a manual clock send calls to two replicas, or to one; the first names a
limit. For each way it prints the most requests that the replica got in any 4 s from
routers that knew the limit, the share of the limit that was used, the calls between
routers a second, how many callers were refused, and how long after the end of the limit
the replica got its usual share again. Last it prints the processor time that a decision
takes its owner, without sockets.
"""

from boragedeck.patching import patch_all

patch_all()

import enum
import sys
import time

import msgspec

from boragedeck.process.relaying.limits.limit_grants import limit_task
from boragedeck.process.relaying.limits.limit_messages import (
    ReportLimit,
    SendDecision,
    TakeSend,
)
from boragedeck.process.relaying.limits.send_schedule import SendSchedule
from tests.support.limited_fleet import (
    WINDOW_S,
    LimitedFleet,
    LimitedReplica,
    LimitedRouter,
)

__all__ = ["Way", "main"]

ROUTERS = (9, 80, 300)
CALLS_PER_ROUTER_S = 1.9
LIMITS_PER_S = (1.5, 8.0)
SETTLE_S = 3.0
LIMITED_S = 20.0
AFTER_S = 8.0
REUSED_SHARE = 0.8
"""Share of its usual requests at which the replica counts as used again."""
SLIDE_S = 0.5
DECISIONS = 20_000


class Way(enum.Enum):
    """How the routers keep the limit."""

    ALONE = "each router keeps it alone"
    SHARES = "each router has an equal share"
    MEMBER = "one router alone sends to the replica"
    OWNER = "an owner grants each send"


class LocalGrants:
    """Decides about sends without asking another router.

    Parameters
    ----------
    router : LimitedRouter
        The router.
    way : Way
        How it keeps limits.
    """

    def __init__(self, router: LimitedRouter, way: Way):
        self._router, self._way = router, way
        self._timers = router.timers
        self._schedule = SendSchedule(self._timers.now())

    def take(self, req: TakeSend) -> SendDecision:
        """See `LimitGrants.take`."""
        now = self._timers.now()
        wait_s = self._schedule.wait_s(now)
        is_granted = wait_s <= req.max_wait_s and self._may_send(req)
        if is_granted:
            self._schedule.take(self._rate(req), now)
        return SendDecision(is_granted, wait_s or 0.25, req.per_s, req.age_s)

    def report(self, report: ReportLimit) -> None:
        """Tell no other router."""

    def _may_send(self, req: TakeSend) -> bool:
        if self._way is not Way.MEMBER:
            return True
        owner = self._router.owners.owner_of(limit_task(req.run.replica))
        return owner.router == self._router.name

    def _rate(self, req: TakeSend) -> float:
        if self._way is Way.SHARES:
            return req.per_s / self._router.members.routers()
        return req.per_s


class Figures(msgspec.Struct, frozen=True):
    """The figures of one play."""

    most_in_window: int
    used_share: float
    calls_per_s: float
    refused: int
    reused_after_s: float | None


def play(way: Way, routers: int, per_s: float, replicas: int) -> Figures:
    """Play calls to replicas of which the first names a limit for a time."""
    limited = LimitedReplica("one", per_s)
    others = [LimitedReplica(f"other-{n}") for n in range(1, replicas)]
    fleet = LimitedFleet(routers, [limited, *others])
    if way is not Way.OWNER:
        for router in fleet.routers:
            router.limits.grants = LocalGrants(router, way)
    calls_per_s = CALLS_PER_ROUTER_S * routers
    since = fleet.timers.now() + SETTLE_S
    fleet.run(SETTLE_S + LIMITED_S, calls_per_s)
    until, refused = fleet.timers.now(), len(fleet.refused)
    calls = fleet.net.calls / (SETTLE_S + LIMITED_S)
    limited.per_s = None
    fleet.run(AFTER_S, calls_per_s)
    return Figures(
        limited.most_in_window(since, until, told_only=True),
        limited.count(since, until) / (per_s * LIMITED_S),
        calls,
        refused,
        _reused_after_s(limited, until, calls_per_s / replicas),
    )


def _reused_after_s(
    limited: LimitedReplica, since: float, usual_per_s: float
) -> float | None:
    """Return when the replica got its usual share of requests again, in seconds."""
    after_s = 0.0
    while after_s < AFTER_S - 1.0:
        count = limited.count(since + after_s, since + after_s + 1.0)
        if count >= REUSED_SHARE * usual_per_s:
            return after_s
        after_s += SLIDE_S
    return None


def decision_cost_us(routers: int) -> float:
    """Return the processor time of a decision with its messages, in microseconds."""
    fleet = LimitedFleet(routers, [LimitedReplica("one", 8.0)])
    router = next(
        each
        for each in fleet.routers
        if each.owners.owner_of(limit_task("one")).router == each.name
    )
    question = TakeSend(router.state("one").run, 8.0, 0.0, 0.0, is_forwarded=True)
    body = msgspec.msgpack.encode(question)
    started = time.process_time()
    for _ in range(DECISIONS):
        asked = msgspec.msgpack.decode(body, type=TakeSend)
        msgspec.msgpack.encode(router.limits.grants.take(asked))
    return (time.process_time() - started) / DECISIONS * 1e6


def main() -> None:
    """Print a table of all ways; the arguments are numbers of routers."""
    sizes = [int(text) for text in sys.argv[1:]] or ROUTERS
    print("| way | routers | replicas | limit | in 4 s (allowed) | used | calls/s |")
    print("|     | refused | used again after |", flush=True)
    for way in Way:
        for routers in sizes:
            for replicas, per_s in [(2, each) for each in LIMITS_PER_S] + [(1, 8.0)]:
                got = play(way, routers, per_s, replicas)
                allowed = 1.5 * per_s * WINDOW_S + 5
                print(
                    f"| {way.value} | {routers} | {replicas} | {per_s} "
                    f"| {got.most_in_window} ({allowed:.0f}) | {got.used_share:.2f} "
                    f"| {got.calls_per_s:.0f} | {got.refused} "
                    f"| {got.reused_after_s} |",
                    flush=True,
                )
    for routers in sizes:
        cost_us = decision_cost_us(routers)
        print(f"A decision at {routers} routers: {cost_us:.0f} us", flush=True)


if __name__ == "__main__":
    main()
