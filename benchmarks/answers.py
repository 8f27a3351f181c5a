"""Measures answers: added latency, throughput, and resumption after each loss.

Baselines, in the same run: a client directly on an engine, and a client that
starts its answer over where the connection breaks.
"""

import argparse
import collections
import signal
import statistics
import time
import uuid

from boragedeck.patching import patch_all

patch_all()

import eventlet
import msgspec

from benchmarks.figures import Figure, percentile, print_table
from scripts.caller import Caller, CallerError
from scripts.engine_metrics import busy_engine, read_metrics
from scripts.local_cluster import ClusterOptions, LocalCluster
from standins.tokens import broken_at

__all__ = ["main"]

STREAMS = 20
LATENCY_TOKENS = 150
BURST_TOKENS = 20
STAGGER_S = 0.05
LATENCY_INTERVAL_MS = 20.0
THROUGHPUT_STREAMS = 40
THROUGHPUT_TOKENS = 1_500
THROUGHPUT_INTERVAL_MS = 1.0
RESUME_INTERVAL_MS = 15.0
RESUME_TOKENS = 120
RESUME_AT = 40
_LAST_COUNTS: dict[int, dict[str, float]] = {}
PROMPT = "batch note for the truck to Salalah, " * 20


class _Reading:
    """One stream's arrivals."""

    def __init__(self) -> None:
        self.sent_at = time.monotonic()
        self.arrivals: list[float] = []
        self.texts: list[str] = []
        self.last_event_id = ""
        self.answer_id = ""
        self.is_done = False

    def take(self, stream, until: int | None = None) -> None:
        self.answer_id = stream.answer_id or self.answer_id
        for event in stream:
            text = event.text()
            if text:
                self.arrivals.append(time.monotonic())
                self.texts.append(text)
            self.last_event_id = stream.last_event_id or self.last_event_id
            self.is_done = stream.is_done
            if self.is_done or (until and self.tokens() >= until):
                return

    def tokens(self) -> int:
        return len("".join(self.texts).split())

    def gaps(self) -> list[float]:
        pairs = zip(self.arrivals, self.arrivals[1:], strict=False)
        return [b - a for a, b in pairs]

    def is_whole(self, tokens: int) -> bool:
        text = "".join(self.texts)
        is_all = self.is_done and len(text.split()) == tokens
        return is_all and broken_at(text) is None


def main() -> None:
    """Run the chosen measurements."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=6, help="losses of each kind")
    parser.add_argument("--only", choices=("latency", "throughput", "resume"))
    arguments = parser.parse_args()
    if arguments.only in (None, "latency"):
        print_table("Added latency, 20 streams", _latency())
    if arguments.only in (None, "throughput"):
        print_table("Throughput of one router", _throughput())
    if arguments.only in (None, "resume"):
        print_table("Resumption", _resumption(arguments.rounds))


def _latency() -> list[Figure]:
    options = ClusterOptions(engines=6, token_interval_ms=LATENCY_INTERVAL_MS)
    cluster = LocalCluster(options)
    try:
        cluster.start()
        key = cluster.api_keys["mehurcek"]
        engines = [e.url for e in cluster.engines[:4]]
        targets = [(engines[i % 4], "", "v1") for i in range(STREAMS)]
        direct = _read_all(targets, LATENCY_TOKENS, STAGGER_S)
        direct_burst = _read_all(targets, BURST_TOKENS)
        targets = [(cluster.routers[0].url, key, "orders")] * STREAMS
        routed = _read_all(targets, LATENCY_TOKENS, STAGGER_S)
        burst = _read_all(targets, BURST_TOKENS)
    finally:
        cluster.stop()
    first, first_burst = _first_tokens(routed), _first_tokens(burst)
    return [
        *_compare("first token", first, _first_tokens(direct), 10.0),
        *_compare("gap", _all_gaps(routed), _all_gaps(direct), 3.0),
        *_compare("first of a burst", first_burst, _first_tokens(direct_burst), 10.0),
    ]


def _compare(name, values, baseline, target_ms) -> list[Figure]:
    figures = []
    for label, share in (("p50", 0.5), ("p95", 0.95)):
        ours = percentile(values, share) * 1e3
        theirs = percentile(baseline, share) * 1e3
        text = f"added {ours - theirs:+.2f} ms; target at most {target_ms} ms at p95"
        figures.append(Figure(f"{name} {label}", ours, "ms", theirs, text))
    return figures


def _first_tokens(readings) -> list[float]:
    return [reading.arrivals[0] - reading.sent_at for reading in readings]


def _all_gaps(readings) -> list[float]:
    return [gap for reading in readings for gap in reading.gaps()]


def _read_all(targets, tokens: int, stagger_s: float = 0.0) -> list[_Reading]:
    def read(i: int) -> _Reading:
        eventlet.sleep(i * stagger_s)
        return _read_one(*targets[i], tokens)

    pool = eventlet.GreenPool(len(targets))
    return list(pool.imap(read, range(len(targets))))


def _read_one(url: str, key: str, model: str, tokens: int) -> _Reading:
    reading = _Reading()
    # Callers ask different things; the quarantine holds back equal new prompts.
    prompt = f"{uuid.uuid4()}: {PROMPT}"
    reading.take(Caller(url, key).chat(model, prompt, tokens))
    if not reading.is_whole(tokens):
        raise RuntimeError(f"answer from {url} is not whole")
    return reading


def _throughput() -> list[Figure]:
    options = ClusterOptions(
        engines=6,
        token_interval_ms=THROUGHPUT_INTERVAL_MS,
    )
    cluster = LocalCluster(options)
    try:
        cluster.start()
        key = cluster.api_keys["mehurcek"]
        engines = [e.url for e in cluster.engines[:4]]
        targets = [(engines[i % 4], "", "v1") for i in range(THROUGHPUT_STREAMS)]
        direct = _rate(targets)
        targets = [(cluster.routers[0].url, key, "orders")] * THROUGHPUT_STREAMS
        routed = _rate(targets)
    finally:
        cluster.stop()
    target = "target at least 5000 tokens/s"
    return [Figure("tokens through one router", routed, "tokens/s", direct, target)]


def _rate(targets) -> float:
    start = time.monotonic()
    readings = _read_all(targets, THROUGHPUT_TOKENS)
    took_s = time.monotonic() - start
    return sum(reading.tokens() for reading in readings) / took_s


def _resumption(rounds: int) -> list[Figure]:
    figures = []
    for name, loss, target in (
        ("engine killed", _kill_engine, "target 250 ms at p95 beyond prefill"),
        ("engine silent", _pause_engine, "target 2000 ms at p95"),
        ("router killed", _kill_router, "target 4000 ms"),
        ("router paused", _pause_router, "target 4000 ms"),
    ):
        losses = [_one_loss(loss) for _ in range(rounds)]
        waits = [one.wait_s * 1e3 for one in losses]
        baseline = statistics.median(one.restart_s * 1e3 for one in losses)
        share = sum(one.is_whole for one in losses) / len(losses)
        for label, p in (("p50", 0.5), ("p95", 0.95)):
            value = percentile(waits, p)
            figures.append(Figure(f"{name} {label}", value, "ms", baseline, target))
        figures.append(Figure(f"{name}, whole answers", share, "share", None, "1.0"))
        # Who starts over pays again for all that it had.
        extra = statistics.mean(one.extra for one in losses)
        again = statistics.mean(one.prefilled for one in losses)
        figures.append(Figure(f"{name}, extra output", extra, "tokens", RESUME_AT))
        figures.append(Figure(f"{name}, prefilled again", again, "tokens"))
    return figures


class _Loss(msgspec.Struct, frozen=True):
    """What one loss cost: waits in seconds, tokens beyond the answer."""

    wait_s: float
    restart_s: float
    is_whole: bool
    extra: float
    prefilled: float


def _one_loss(loss) -> _Loss:
    cluster = LocalCluster(ClusterOptions(token_interval_ms=RESUME_INTERVAL_MS))
    try:
        cluster.start()
        key = cluster.api_keys["mehurcek"]
        reading = _Reading()
        stream = Caller(cluster.routers[0].url, key).chat(
            "orders", PROMPT, RESUME_TOKENS
        )
        reading.take(stream, RESUME_AT)
        at = len(reading.arrivals)
        lost_at = time.monotonic()
        loss(cluster, key, reading, stream)
        spent = _spent(cluster)
        wait_s = reading.arrivals[at] - lost_at
        # Who starts over waits until it has again what it had.
        restart_s = wait_s + (reading.arrivals[at - 1] - reading.sent_at)
        return _Loss(
            wait_s,
            restart_s,
            reading.is_whole(RESUME_TOKENS),
            spent["vllm:generation_tokens_total"] - RESUME_TOKENS,
            spent["vllm:prompt_tokens_total"] - len(PROMPT.split()),
        )
    finally:
        cluster.stop()


def _spent(cluster) -> collections.Counter:
    """Return what the engines have counted, a killed one just before its end."""
    for engine in cluster.engines:
        engine.signal(signal.SIGCONT)
    eventlet.sleep(0.5)
    spent = collections.Counter()
    for engine in cluster.engines:
        if engine.popen.poll() is None:
            _LAST_COUNTS[engine.pid] = read_metrics(engine)
        spent.update(_LAST_COUNTS.get(engine.pid, {}))
    return spent


def _kill_engine(cluster, key, reading, stream) -> None:
    engine = busy_engine(cluster.engines)
    _LAST_COUNTS[engine.pid] = read_metrics(engine)
    engine.signal(signal.SIGKILL)
    reading.take(stream)


def _pause_engine(cluster, key, reading, stream) -> None:
    busy_engine(cluster.engines).signal(signal.SIGSTOP)
    reading.take(stream)


def _kill_router(cluster, key, reading, stream) -> None:
    cluster.routers[0].signal(signal.SIGKILL)
    stream.close()
    _reattach(cluster, key, reading)


def _pause_router(cluster, key, reading, stream) -> None:
    cluster.routers[0].signal(signal.SIGSTOP)
    stream.close()
    _reattach(cluster, key, reading)


def _reattach(cluster, key, reading) -> None:
    until = time.monotonic() + 20.0
    while True:
        try:
            caller = Caller(cluster.routers[1].url, key)
            stream = caller.reattach(reading.answer_id, reading.last_event_id)
            break
        except (OSError, CallerError):
            if time.monotonic() > until:
                raise
            eventlet.sleep(0.05)
    reading.take(stream)


if __name__ == "__main__":
    main()
