"""Compares what routers do that have lost their links to all replicas.

Nine routers in four failure domains and four replicas run over loopback, with calls at
random that may run once. Some routers are cut off. For each way it prints the share of
the first attempts at these routers that is served, in the first three seconds and after
them, and the calls between routers a second. Last it prints how long a call takes
directly and through another router.
"""

from boragedeck.patching import patch_all

patch_all()

import enum
import random
import statistics

import eventlet
import msgspec

from boragedeck.version.routing import CallKind
from tests.support.cut_fleet import DOMAINS, Cut, CutFleet
from tests.support.replicas import (
    ScriptedReplica,
    answer,
    call_rule,
    report_model,
)

__all__ = ["Way", "main"]

ROUTERS = 9
REPLICAS = 4
CALLS_PER_ROUTER_S = 4.0
DETECTION_S = 3.0
AFTER_S = 5.0
CALL_TIMEOUT_MS = 1_500
CHECK_INTERVAL_S = 1.0
"""How often the platform asks the routers whether they are ready."""
MISSES = 2
MIN_DOMAIN_SHARE = 0.5
"""Share of a domain's routers that must be in rotation, else all of them are used."""
TIMED_CALLS = 200
CUT_OFF = {"two": (1, 6), "a domain": (0, 4, 8), "half": (0, 1, 2, 3, 4)}


class Way(enum.Enum):
    """What a router does that has lost its links."""

    NONE = "nothing"
    NOT_READY = "says that it isn't ready"
    FORWARD = "sends through another router"


class _Attempt(msgspec.Struct, frozen=True):
    at: float
    is_cut_off: bool
    is_served: bool


class _Ingress:
    """Chooses the router of a caller as the platform does."""

    def __init__(self, fleet, rng):
        self._fleet, self._rng = fleet, rng
        self._misses = [0] * ROUTERS

    def check(self):
        """Ask all routers whether they are ready."""
        for number, router in enumerate(self._fleet.routers):
            states = router.registry.all()
            is_ready = not all(
                router.paths.is_own_loss(each.replica.address) for each in states
            )
            self._misses[number] = 0 if is_ready else self._misses[number] + 1

    def router_for(self, domain):
        """Return the number of the router for a caller of a domain."""
        local = [n for n in range(ROUTERS) if n % DOMAINS == domain]
        ready = [n for n in local if self._misses[n] < MISSES]
        if len(ready) >= MIN_DOMAIN_SHARE * len(local):
            return self._rng.choice(ready)
        if ready:
            return self._rng.choice(local)
        everywhere = [n for n in range(ROUTERS) if self._misses[n] < MISSES]
        return self._rng.choice(everywhere or local)


def main() -> None:
    """Print the table."""
    for name, numbers in CUT_OFF.items():
        for cut in Cut:
            for way in Way:
                _print_row(name, numbers, cut, way)
    _print_latency()


def _print_row(name: str, numbers: tuple[int, ...], cut: Cut, way: Way) -> None:
    attempts, calls_per_s = _play(numbers, cut, way)
    early = [each for each in attempts if each.at < DETECTION_S]
    late = [each for each in attempts if each.at >= DETECTION_S]
    print(
        f"{name:9} {cut.value:7} {way.value:29}"
        f" first 3 s {_share(early, True):.2f}, then {_share(late, True):.2f}"
        f" of {sum(each.is_cut_off for each in late)}"
        f" (others {_share(late, False):.2f}), {calls_per_s:.0f} calls/s",
        flush=True,
    )


def _share(attempts: list[_Attempt], is_cut_off: bool) -> float:
    served = [each.is_served for each in attempts if each.is_cut_off is is_cut_off]
    return sum(served) / max(1, len(served))


def _fleet() -> CutFleet:
    def serve(sock, req):
        is_probe = b"request-id" not in req.headers
        return (report_model if is_probe else answer())(sock, req)

    replicas = [ScriptedReplica(f"replica-{n}", serve) for n in range(REPLICAS)]
    rule = call_rule(CallKind.ONCE, goal_s=0.2, timeout_s=1.5)
    return CutFleet(ROUTERS, replicas, rule=rule)


def _play(numbers: tuple[int, ...], cut: Cut, way: Way) -> tuple[list[_Attempt], float]:
    fleet, rng = _fleet(), random.Random(1)
    ingress = _Ingress(fleet, rng)
    if way is not Way.FORWARD:
        _disable_forwarding(fleet, only_sending=way is Way.NOT_READY)
    timers = fleet.routers[0].timers
    for router in fleet.routers:
        router.fetch(ms=CALL_TIMEOUT_MS)
    fleet.cut(cut, *numbers)
    since, calls = timers.now(), fleet.calls
    next_check, threads = since + CHECK_INTERVAL_S, []
    while (now := timers.now()) < since + DETECTION_S + AFTER_S:
        if now >= next_check:
            next_check += CHECK_INTERVAL_S
            if way is Way.NOT_READY:
                ingress.check()
        number = ingress.router_for(rng.randrange(DOMAINS))
        args = fleet.routers[number], now - since, number in numbers
        threads.append(eventlet.spawn(_attempt, *args))
        eventlet.sleep(rng.expovariate(ROUTERS * CALLS_PER_ROUTER_S))
    attempts = [thread.wait() for thread in threads]
    calls_per_s = (fleet.calls - calls) / (timers.now() - since)
    fleet.close()
    return attempts, calls_per_s


def _attempt(router, at: float, is_cut_off: bool) -> _Attempt:
    response = router.fetch(ms=CALL_TIMEOUT_MS)
    return _Attempt(at, is_cut_off, response.status == 200)


def _disable_forwarding(fleet: CutFleet, *, only_sending: bool) -> None:
    for router in fleet.routers:
        router.paths._gateways.candidates = lambda replica: []
        if not only_sending:
            router.members.members = list


def _print_latency() -> None:
    fleet = _fleet()
    router = fleet.routers[0]
    direct = _median_ms(router)
    fleet.cut(Cut.REFUSE, 0)
    router.fetch(ms=CALL_TIMEOUT_MS)
    eventlet.sleep(1.0)
    through = _median_ms(router)
    fleet.close()
    print(f"a call: {direct:.1f} ms directly, {through:.1f} ms through another router")


def _median_ms(router) -> float:
    took_s = []
    for _ in range(TIMED_CALLS):
        since = router.timers.now()
        router.fetch(ms=CALL_TIMEOUT_MS)
        took_s.append(router.timers.now() - since)
    return 1000.0 * statistics.median(took_s)


if __name__ == "__main__":
    main()
