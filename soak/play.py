"""One seeded play."""

import random
import time
from collections import Counter
from pathlib import Path

import eventlet
import msgspec

from scripts.platform_cluster import PlatformCluster
from soak.callers import CALL_WEIGHTS, STREAM_WEIGHTS, Callers, Habits
from soak.disruptions import Disruptions
from soak.fleet import ZONES, ReplicaFleet
from soak.history import History, Impairment
from soak.operator import Operator
from soak.room import ROOMS
from soak.rules import Violation, judge

__all__ = ["Outcome", "play"]

ROUTERS = 3, 3, 3, 4, 5, 6, 9
STREAM_CALLERS = 18
CALL_CALLERS = 8
SETTLE_S = 2.5
LAG_POLL_S = 0.05
LAG_S = 0.3
"""A pause of this process in which its store and replicas stood still, too."""


class Outcome(msgspec.Struct):
    """What a play gave.

    Parameters
    ----------
    seed : int
        Its seed.
    history : History
        What was seen.
    disruptions : Counter
        How often each row was played.
    violations : list of Violation
        The rules that were broken.
    """

    seed: int
    history: History
    disruptions: dict[str, int]
    violations: list[Violation]

    def counts(self) -> Counter[str]:
        """Return how many requests ended how."""
        return Counter(
            f"{call.status}{'' if call.is_complete else ' incomplete'}"
            for call in self.history.calls.values()
        )


def play(
    seed: int, seconds: float, directory: Path, build: Path | None = None
) -> Outcome:
    """Play a seed.

    Parameters
    ----------
    seed : int
        The seed of all draws.
    seconds : float
        How long requests are sent.
    directory : Path
        An existing directory for the routers' settings and logs.
    build : Path, optional
        Source folder of the routers; this one by default.
    """
    rng = random.Random(seed)
    history = History()
    cluster = PlatformCluster(directory)
    room = rng.choice(ROOMS)
    operator = Operator(cluster, history, room, random.Random(rng.random()))
    operator.write()
    fleet = ReplicaFleet(cluster, history, room, random.Random(rng.random()))
    lag_watch = eventlet.spawn(_watch_lag, history)
    try:
        count = rng.choice(ROUTERS)
        if build is not None:
            cluster.builds |= dict.fromkeys(range(count), build)
        zones = (ZONES[number % len(ZONES)] for number in range(count))
        addresses = [cluster.add_router(zone).partition("//")[2] for zone in zones]
        eventlet.sleep(SETTLE_S)
        habits = Habits(large_body=room.large_body)
        callers = Callers(addresses, history, habits, random.Random(rng.random()))
        disruptions = Disruptions(
            cluster, fleet, operator, callers, history, random.Random(rng.random())
        )
        if room.row:
            disruptions.counts[room.row] += 1
        until = time.monotonic() + seconds
        threads = [
            eventlet.spawn(callers.run, number, weights, until)
            for weights, count in (
                (STREAM_WEIGHTS, STREAM_CALLERS),
                (CALL_WEIGHTS, CALL_CALLERS),
            )
            for number in range(count)
        ]
        disruptions.run(until)
        for thread in threads:
            thread.wait()
    finally:
        lag_watch.kill()
        cluster.stop()
        fleet.stop()
    return Outcome(seed, history, disruptions.counts, judge(history))


def _watch_lag(history: History) -> None:
    """Note when this process, and so the store, stood still."""
    while True:
        before = time.monotonic()
        eventlet.sleep(LAG_POLL_S)
        now = time.monotonic()
        if now - before > LAG_S:
            history.store.append(Impairment(before, now, "soak-lag"))
