"""Restarts each router in turn under load and counts the answers by outcome."""

import argparse
import collections
import random
import signal
import sys
import time

from boragedeck.patching import patch_all

patch_all()

import eventlet

from scripts.fault_matrix import MatrixCaller, RelayedCluster, Step
from scripts.local_cluster import ClusterOptions
from standins.tokens import find_break

__all__ = ["main"]

CALLERS = 20
TOKEN_INTERVAL_MS = 15.0
DRAIN_S = 1.0
STOP_TIMEOUT_S = 15.0
SETTLE_TIME_S = 1.0
EXIT_CUT_OFF = 1


class _BalancedCaller(MatrixCaller):
    """A caller whose first router is given, as if chosen by a load balancer."""

    def __init__(self, cluster: RelayedCluster, router: int):
        super().__init__(cluster, lambda caller: None, Step.MIDDLE)
        self._router = router


def main() -> None:
    """Run the restart; exit with 1 if an answer is incomplete or damaged."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--drain-s", type=float, default=DRAIN_S)
    arguments = parser.parse_args()
    options = ClusterOptions(
        token_interval_ms=TOKEN_INTERVAL_MS,
        router_flags=(f"--drain-s={arguments.drain_s}",),
    )
    cluster = RelayedCluster(options)
    counts = collections.Counter()
    try:
        cluster.start()
        stop_event = eventlet.Event()
        pool = eventlet.GreenPool(CALLERS)
        for i in range(CALLERS):
            pool.spawn_n(
                _call_repeatedly, cluster, stop_event, counts, random.Random(i)
            )
        for i in range(len(cluster.routers)):
            _restart(cluster, i)
        stop_event.send(None)
        pool.waitall()
    finally:
        cluster.stop()
    print(", ".join(f"{count} {name}" for name, count in sorted(counts.items())))
    sys.exit(0 if set(counts) <= {"intact"} else EXIT_CUT_OFF)


def _call_repeatedly(cluster, stop_event, counts, rng) -> None:
    while not stop_event.ready():
        caller = _BalancedCaller(cluster, rng.randrange(3))
        caller.run()
        counts[_outcome_of(caller)] += 1


def _outcome_of(caller: MatrixCaller) -> str:
    if caller.is_intact():
        return "intact"
    if find_break("".join(caller.texts)) is not None:
        return "DAMAGED"
    if caller.error is not None:
        return f"refused with {caller.error.body.get('code')}"
    return "incomplete"


def _restart(cluster: RelayedCluster, i: int) -> None:
    router = cluster.routers[i]
    started = time.monotonic()
    router.signal(signal.SIGTERM)
    while router.popen.poll() is None:
        if time.monotonic() - started > STOP_TIMEOUT_S:
            raise RuntimeError(f"router {router.url} did not stop in time")
        eventlet.sleep(0.05)
    took_s = time.monotonic() - started
    print(f"router {i} exited with {router.popen.returncode} after {took_s:.1f} s")
    restarted = cluster.start_router(i)
    restarted.wait_ready()
    cluster.routers[i] = restarted
    for running_router in cluster.routers:
        cluster.wait_serving(running_router)
    eventlet.sleep(SETTLE_TIME_S)


if __name__ == "__main__":
    main()
