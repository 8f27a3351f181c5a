"""Rolls out a good or a bad version on stand-in engines under load."""

import argparse
import collections
import http.client
import json
import random
import sys
import time

from boragedeck.patching import patch_all

patch_all()

import eventlet
import msgspec

from boragedeck.connection.platform import HttpPlatform
from boragedeck.connection.store import Table
from boragedeck.version.rollout_row import RolloutRow
from scripts.caller import Caller, CallerError
from scripts.local_cluster import NEXT_VERSION, ClusterOptions, LocalCluster, Process
from standins.tokens import find_break

__all__ = ["main"]

ROUTE = "orders"
TOKENS = 30
TOKEN_INTERVAL_MS = 8.0
WARM_UP_S = 3.0
POLL_S = 1.0
EXIT_WRONG_OUTCOME = 1
FAULTS = {"good": {}, "fails": {"fail_rate": 0.5}, "slow": {"slowdown": 3.0}}


def main() -> None:
    """Run one rollout; exit with 1 if its outcome is wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--version", choices=FAULTS, default="good")
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--callers", type=int, default=6)
    arguments = parser.parse_args()
    cluster = LocalCluster(ClusterOptions(token_interval_ms=TOKEN_INTERVAL_MS))
    counts = collections.Counter()
    try:
        cluster.start()
        for i in range(arguments.callers):
            eventlet.spawn_n(_call_repeatedly, cluster, counts, random.Random(i))
        eventlet.sleep(WARM_UP_S)
        _set_faults(cluster, FAULTS[arguments.version])
        _start_rollout(cluster, arguments.seconds)
        row = _wait_for_outcome(cluster, arguments.seconds, counts)
        state = row.state.value.replace("_", " ")
        print(f"{state}; {dict(counts)}")
    finally:
        cluster.stop()
    expected = "done" if arguments.version == "good" else "taken back"
    sys.exit(0 if state == expected else EXIT_WRONG_OUTCOME)


def _call_repeatedly(cluster: LocalCluster, counts, rng: random.Random) -> None:
    key = cluster.api_keys["mehurcek"]
    while True:
        try:
            router = rng.choice(cluster.routers)
            stream = Caller(router.url, key).chat(ROUTE, f"{rng.random()}", TOKENS)
            text = "".join(event.text() for event in stream)
            is_intact = stream.is_done and len(text.split()) == TOKENS
            counts["intact" if is_intact and not find_break(text) else "damaged"] += 1
        except (CallerError, OSError, http.client.HTTPException) as exc:
            counts[type(exc).__name__] += 1
            eventlet.sleep(POLL_S)


def _set_faults(cluster: LocalCluster, faults: dict) -> None:
    for i, engine in enumerate(cluster.engines):
        if cluster.engine_version(i) == NEXT_VERSION:
            behaviour = json.loads(_request_behaviour(engine, "GET", None))
            _request_behaviour(engine, "PUT", json.dumps({**behaviour, **faults}))


def _request_behaviour(engine: Process, method: str, body: str | None) -> bytes:
    conn = http.client.HTTPConnection(engine.url.removeprefix("http://"), timeout=5)
    conn.request(method, "/_behaviour", body)
    answer = conn.getresponse().read()
    conn.close()
    return answer


def _start_rollout(cluster: LocalCluster, seconds: float) -> None:
    cfg = cluster.config()
    routes = tuple(
        msgspec.structs.replace(
            route, version=NEXT_VERSION, deadline=round(time.time() + seconds)
        )
        if route.name == ROUTE
        else route
        for route in cfg.routes
    )
    cluster.apply(msgspec.structs.replace(cfg, routes=routes))


def _wait_for_outcome(cluster: LocalCluster, seconds: float, counts) -> RolloutRow:
    platform = HttpPlatform(cluster.platform.url)
    until = time.monotonic() + seconds + 5.0
    last_line = None
    while True:
        rows = platform.scan(Table.ROLLOUTS).ok() or []
        rollouts = [
            move for row in rows if (move := _decode_rollout(row.value)) is not None
        ]
        row = max(rollouts, key=lambda row: row.number, default=None)
        if row is not None:
            line = f"{row.state.value} {row.share:.0%}: {row.reason}"
            if line != last_line:
                last_line = line
                print(f"{line}  {dict(counts)}", flush=True)
            if row.state.value != "running":
                return row
        if time.monotonic() > until:
            raise RuntimeError("the rollout has no outcome 5 s after its deadline")
        eventlet.sleep(POLL_S)


def _decode_rollout(value: bytes) -> RolloutRow | None:
    try:
        row = msgspec.json.decode(value, type=RolloutRow)
    except msgspec.ValidationError:
        # The table also holds rows of other types: stops and orders.
        return None
    return row if (row.route, row.new) == (ROUTE, NEXT_VERSION) else None


if __name__ == "__main__":
    main()
