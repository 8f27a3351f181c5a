"""Measures the cost of calls that may not be repeated, against a pass-through.

Nine routers in one process share an in-memory store in which each call takes 5 ms; a
service answers in 2 ms. Commands arrive at random times with a fixed mean rate, each
at a random router. Compared are no record at all, one transaction per row, and group
commit; the first and the last also with a slow store and with a store that is down.
"""

import random
from collections import Counter

import eventlet
import msgspec
from result import Ok

from boragedeck.patching import patch_all

patch_all()

from boragedeck.connection.service import ServiceResponse
from boragedeck.connection.store import Put
from boragedeck.ids import OrganisationName, PoolName, RouteName, RouterId
from boragedeck.process.answering.command_parts import build_call_service
from boragedeck.process.answering.intent_writer import IntentWriter
from boragedeck.process.simple_parts import RandomChooser
from boragedeck.process.timers import RealTimers
from boragedeck.request.calls import CallRequest
from boragedeck.version.tables import (
    Config,
    Pool,
    PoolKind,
    Route,
    RouteKind,
    RouteLimits,
    Upstream,
)
from standins.memory import Faults, MemoryPlatform

ROUTERS = 9
DURATION_S = 8.0
STORE_CALL_S = 0.005
SLOW_STORE_CALL_S = 1.0
SERVICE_CALL_S = 0.002
SEED = 7


class Case(msgspec.Struct, frozen=True):
    """One run: the rate of commands, how they are recorded, and the store's faults."""

    name: str
    rate: int
    repeatable: bool = False
    writer: type = IntentWriter
    faults: Faults = msgspec.field(default_factory=lambda: Faults(delay_s=STORE_CALL_S))


class SingleWriter(IntentWriter):
    """Writes each row in a transaction of its own."""

    def write(self, put: Put, deadline: float, *, is_background: bool = False):
        """See `IntentWriter.write`."""
        return self._store.commit([put]).map(lambda versions: versions[0])


class FixedDelayServices:
    """A service that answers after a fixed time."""

    def connect(self, upstream, timeout_s):
        """Connect at once."""
        return Ok(self)

    def exchange(self, req, timeout_s):
        """Answer after a fixed time."""
        eventlet.sleep(SERVICE_CALL_S)
        return Ok(ServiceResponse(200, (), b"ok"))


class FixedConfig:
    """A configuration with a repeatable and a non-repeatable route."""

    def __init__(self):
        upstreams = tuple(Upstream(f"s{n}", "http://x", "fd") for n in range(3))
        limits = RouteLimits(deadline_s=10.0)
        pool = PoolName("p")
        routes = tuple(
            Route(RouteName(str(flag)), pool, RouteKind.CALL, flag, limits=limits)
            for flag in (True, False)
        )
        pools = (Pool(pool, PoolKind.SERVICE, upstreams=upstreams),)
        self._config = Config(revision=1, routes=routes, pools=pools)

    def current(self):
        """Return the configuration."""
        return self._config


def build_router(number, platform, writer):
    """Return a router's call service that writes its rows with a type of writer."""
    timers = RealTimers(random.Random(SEED + number))
    return build_call_service(
        cfg=FixedConfig(),
        platform=platform,
        chooser=RandomChooser(random.Random(SEED + number)),
        services=FixedDelayServices(),
        timers=timers,
        own=RouterId(f"r{number}"),
        routers=lambda: ROUTERS,
        writer_type=writer,
    ).calls


def run(case):
    """Send commands at the case's rate and print a line of figures."""
    rng = random.Random(SEED)
    timers = RealTimers(rng)
    platform = MemoryPlatform()
    routers = [build_router(n, platform, case.writer) for n in range(ROUTERS)]
    platform.faults = case.faults
    latencies, outcomes = [], Counter()
    pool = eventlet.GreenPool(10_000)
    start = timers.now()
    due_at = start
    for number in range(int(case.rate * DURATION_S)):
        due_at += rng.expovariate(case.rate)
        eventlet.sleep(max(0.0, due_at - timers.now()))
        pool.spawn_n(
            send_call, rng.choice(routers), case, number, timers, latencies, outcomes
        )
    offered_s = timers.now() - start
    pool.waitall()
    writes = platform.calls["commit"] / offered_s
    latencies.sort()
    p50_ms, p95_ms = (latencies[int(len(latencies) * q)] * 1e3 for q in (0.5, 0.95))
    print(
        f"{case.name:34} {len(latencies) / offered_s:5.0f}/s"
        f"  p50 {p50_ms:7.1f} ms  p95 {p95_ms:7.1f} ms"
        f"  {writes:6.1f} transactions/s"
        f"  {platform.calls['get'] / offered_s:5.1f} reads/s  {dict(outcomes)}",
        flush=True,
    )


def send_call(router, case, number, timers, latencies, outcomes):
    """Make one call and record its latency and status."""
    request = CallRequest(
        OrganisationName("o"),
        RouteName(str(case.repeatable)),
        "POST",
        "/pay",
        idempotency_key=f"key-{number}",
    )
    started = timers.now()
    answer = router.handle(request)
    latencies.append(timers.now() - started)
    outcomes[answer.ok().status if answer.is_ok() else answer.err().code] += 1


def main():
    """Run all cases, one after the other."""
    slow = Faults(delay_s=SLOW_STORE_CALL_S)
    down = Faults(down=True)
    for rate in (50, 500):
        run(Case(f"pass-through, {rate}/s", rate, repeatable=True))
        run(Case(f"a transaction per row, {rate}/s", rate, writer=SingleWriter))
        run(Case(f"group commit, {rate}/s", rate))
    run(Case("group commit, store takes 1 s", 50, faults=slow))
    run(Case("pass-through, store takes 1 s", 50, repeatable=True, faults=slow))
    run(Case("group commit, store down", 50, faults=down))
    run(Case("pass-through, store down", 50, repeatable=True, faults=down))


if __name__ == "__main__":
    main()
