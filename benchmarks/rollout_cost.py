"""Measures what one running rollout costs a router, by the number of routers.

Usage: ``python -m benchmarks.rollout_cost``.
"""

import random
import time

import msgspec

from boragedeck.ids import FailureDomain, RouteName, RouterId, UpstreamName, Version
from boragedeck.interfaces import Outcome, RunSample
from boragedeck.version.judgement import UpstreamCounts
from boragedeck.version.rollout_facts import SeenWindow
from boragedeck.version.rollout_plan import window_s
from boragedeck.version.rollout_row import RolloutRow
from boragedeck.version.rollout_watch import AttemptWatch

__all__ = ["main"]

SIZES = (3, 9, 27, 370)
WINDOWS = 12
TICKS_PER_WINDOW = 5
START_S = 1_000_000.0


def measure(routers: int, rate: float) -> tuple[float, float, float]:
    """Return the processor share, the bytes per second per router, and a fact's size.

    Parameters
    ----------
    routers : int
        Number of routers; all others publish their windows to the measured one.
    rate : float
        Requests per second of the route, over all routers.
    """
    rng = random.Random(1)
    length_s = window_s(routers)
    row = RolloutRow(
        route=RouteName("chat"),
        number=1,
        pool="pool",
        old=Version("A"),
        new=Version("B"),
        deadline=START_S + 3600.0,
        asked_deadline=None,
        revision=1,
        started=START_S,
        step=4,
        share=0.5,
        window_s=length_s,
        routers=routers,
    )
    names = [RouterId(f"r{index}") for index in range(routers)]
    peers = {name: AttemptWatch(row, name) for name in names}
    own = peers.pop(names[0])
    cpu_s = sent = facts = 0.0
    for window in range(WINDOWS):
        for tick in range(TICKS_PER_WINDOW):
            now = START_S + (window + tick / TICKS_PER_WINDOW) * length_s
            bodies = []
            for name, watch in peers.items():
                for _ in range(
                    _poisson(rng, rate * length_s / TICKS_PER_WINDOW / routers)
                ):
                    watch.observe(_sample(rng), now)
                for seen in watch.changed_windows(now):
                    body = msgspec.msgpack.encode(SeenWindow("chat", seen))
                    bodies.append((name, body))
                watch._close_windows(watch._window_index(now) - 2)
            cpu_start_s = time.process_time()
            for name, body in bodies:
                seen = msgspec.msgpack.decode(body, type=SeenWindow)
                own.add_peer_window(name, seen.window)
            own.judge(now, UpstreamCounts())
            cpu_s += time.process_time() - cpu_start_s
            facts += len(bodies)
            sent += sum(len(body) for _, body in bodies)
    total_s = WINDOWS * length_s
    return cpu_s / total_s, sent / max(1, routers - 1) / total_s, sent / max(1.0, facts)


def main() -> None:
    """Print a table."""
    print(
        "| routers | window, s | processor "
        "| bytes/s published by a router | fact, bytes |"
    )
    print("| --- | --- | --- | --- | --- |")
    for routers in SIZES:
        share, rate, size = measure(routers, rate=124.0 * routers / 370)
        cells = f"{share:.3%} | {rate:.0f} | {size:.0f}"
        print(f"| {routers} | {window_s(routers):.0f} | {cells} |")


def _sample(rng: random.Random) -> RunSample:
    version = Version("B" if rng.random() < 0.5 else "A")
    index = rng.randrange(6)
    return RunSample(
        RouteName("chat"),
        version,
        UpstreamName(f"{version}{index}"),
        FailureDomain(f"d{index % 3}"),
        Outcome.FAILED if rng.random() < 0.01 else None,
        rng.lognormvariate(-1.6, 0.5),
        rng.lognormvariate(-3.5, 0.3),
        50,
        age_s=1.0,
    )


def _poisson(rng: random.Random, mean: float) -> int:
    count, at = 0, rng.expovariate(1.0)
    while at < mean:
        count += 1
        at += rng.expovariate(1.0)
    return count


if __name__ == "__main__":
    main()
