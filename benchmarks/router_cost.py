"""Measures the cost of answers in a router: processor time and memory.

One router owns the streams; the other two hold the copies. The cost of a token is
computed from the difference between long and short answers, which cancels the fixed
cost of a request.
"""

import os
import time
import uuid

from boragedeck.patching import patch_all

patch_all()

import eventlet

from benchmarks.figures import Figure, print_table
from scripts.caller import Caller
from scripts.local_cluster import ClusterOptions, LocalCluster, Process

__all__ = ["main"]

REQUESTS = 60
SHORT_TOKENS = 1
LONG_TOKENS = 400
TOKEN_INTERVAL_MS = 10.0
RUNNING_ANSWER_TOKENS = 200
PROMPT = "batch note for the truck to Salalah, " * 20
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def main() -> None:
    """Run the loads and print the costs of a request, a token and a running answer."""
    cluster = LocalCluster(ClusterOptions(token_interval_ms=TOKEN_INTERVAL_MS))
    try:
        cluster.start()
        _run_load(cluster, SHORT_TOKENS)
        short = _cpu_cost(cluster, SHORT_TOKENS)
        long = _cpu_cost(cluster, LONG_TOKENS)
        memory = _memory_kb(cluster)
    finally:
        cluster.stop()
    tokens = REQUESTS * (LONG_TOKENS - SHORT_TOKENS)
    names = ("owner", "copy holders together")
    figures = [
        Figure(f"request, {name}", 1e3 * cost / REQUESTS, "ms cpu")
        for name, cost in zip(names, short, strict=True)
    ]
    figures += [
        Figure(f"token, {name}", 1e6 * (b - a) / tokens, "us cpu")
        for name, a, b in zip(names, short, long, strict=True)
    ]
    figures += [
        Figure(f"running answer of {RUNNING_ANSWER_TOKENS} tokens, {name}", value, "KB")
        for name, value in zip(names, memory, strict=True)
    ]
    print_table("Cost of answers in a router", figures)


def _cpu_cost(cluster: LocalCluster, tokens: int) -> tuple[float, float]:
    before = [_cpu_s(router) for router in cluster.routers]
    _run_load(cluster, tokens)
    after = [_cpu_s(router) for router in cluster.routers]
    spent = [b - a for a, b in zip(before, after, strict=True)]
    return spent[0], sum(spent[1:])


def _run_load(cluster: LocalCluster, tokens: int) -> None:
    pool = eventlet.GreenPool(REQUESTS)
    for _ in pool.imap(lambda _: _read(cluster, tokens), range(REQUESTS)):
        pass


def _read(cluster: LocalCluster, tokens: int, hold=None) -> None:
    key = cluster.api_keys["mehurcek"]
    prompt = f"{uuid.uuid4()}: {PROMPT}"
    stream = Caller(cluster.routers[0].url, key).chat("orders", prompt, tokens)
    count = 0
    for event in stream:
        count += len(event.text().split())
        if hold is not None and count >= RUNNING_ANSWER_TOKENS:
            hold.wait()
            break
    stream.close()


def _memory_kb(cluster: LocalCluster) -> tuple[float, float]:
    hold = eventlet.Event()
    before = [_rss_kb(router) for router in cluster.routers]
    pool = eventlet.GreenPool(REQUESTS)
    for _ in range(REQUESTS):
        pool.spawn_n(_read, cluster, 100 * RUNNING_ANSWER_TOKENS, hold)
    eventlet.sleep(2.0 * RUNNING_ANSWER_TOKENS * TOKEN_INTERVAL_MS / 1e3 + 1.0)
    after = [_rss_kb(router) for router in cluster.routers]
    hold.send(None)
    pool.waitall()
    growth_kb = [b - a for a, b in zip(before, after, strict=True)]
    return growth_kb[0] / REQUESTS, sum(growth_kb[1:]) / REQUESTS


def _cpu_s(process: Process) -> float:
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def _rss_kb(process: Process) -> float:
    with open(f"/proc/{process.pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1024


if __name__ == "__main__":
    started = time.monotonic()
    main()
    print(f"({time.monotonic() - started:.0f} s)")
