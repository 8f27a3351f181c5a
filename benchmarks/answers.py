"""Measures the latency that a router adds, its throughput, and resumption after losses.

The baselines, in the same run, are a client connected directly to an engine, and a
client that requests its answer again from the start when the connection breaks.
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
from standins.tokens import find_break

__all__ = ["main"]

LATENCY_STREAMS = 20
LATENCY_TOKENS = 150
BURST_TOKENS = 20
STAGGER_S = 0.05
LATENCY_INTERVAL_MS = 20.0
THROUGHPUT_STREAMS = 40
THROUGHPUT_TOKENS = 1_500
THROUGHPUT_INTERVAL_MS = 1.0
RESUME_INTERVAL_MS = 15.0
RESUME_TOKENS = 120
LOSS_AT_TOKENS = 40
_LAST_COUNTS: dict[int, dict[str, float]] = {}
PROMPT = "batch note for the truck to Salalah, " * 20


class _StreamRecord:
    """The chunks of one stream, with their times of arrival."""

    def __init__(self) -> None:
        self.sent_at = time.monotonic()
        self.arrivals: list[float] = []
        self.texts: list[str] = []
        self.last_event_id = ""
        self.answer_id = ""
        self.is_done = False

    def read_from(self, stream, until: int | None = None) -> None:
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

    def is_complete(self, tokens: int) -> bool:
        text = "".join(self.texts)
        is_all = self.is_done and len(text.split()) == tokens
        return is_all and find_break(text) is None


def main() -> None:
    """Run the chosen measurements."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=6, help="losses of each kind")
    parser.add_argument("--only", choices=("latency", "throughput", "resume"))
    arguments = parser.parse_args()
    if arguments.only in (None, "latency"):
        print_table("Added latency, 20 streams", _measure_latency())
    if arguments.only in (None, "throughput"):
        print_table("Throughput of one router", _measure_throughput())
    if arguments.only in (None, "resume"):
        print_table("Resumption", _measure_resumption(arguments.rounds))


def _measure_latency() -> list[Figure]:
    options = ClusterOptions(engines=6, token_interval_ms=LATENCY_INTERVAL_MS)
    cluster = LocalCluster(options)
    try:
        cluster.start()
        key = cluster.api_keys["mehurcek"]
        engines = [e.url for e in cluster.engines[:4]]
        targets = [(engines[i % 4], "", "v1") for i in range(LATENCY_STREAMS)]
        direct = _read_all(targets, LATENCY_TOKENS, STAGGER_S)
        direct_burst = _read_all(targets, BURST_TOKENS)
        targets = [(cluster.routers[0].url, key, "orders")] * LATENCY_STREAMS
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
        value_ms = percentile(values, share) * 1e3
        baseline_ms = percentile(baseline, share) * 1e3
        text = (
            f"added {value_ms - baseline_ms:+.2f} ms;"
            f" target at most {target_ms} ms at p95"
        )
        figures.append(Figure(f"{name} {label}", value_ms, "ms", baseline_ms, text))
    return figures


def _first_tokens(records) -> list[float]:
    return [record.arrivals[0] - record.sent_at for record in records]


def _all_gaps(records) -> list[float]:
    return [gap for record in records for gap in record.gaps()]


def _read_all(targets, tokens: int, stagger_s: float = 0.0) -> list[_StreamRecord]:
    def read(i: int) -> _StreamRecord:
        eventlet.sleep(i * stagger_s)
        return _read_one(*targets[i], tokens)

    pool = eventlet.GreenPool(len(targets))
    return list(pool.imap(read, range(len(targets))))


def _read_one(url: str, key: str, model: str, tokens: int) -> _StreamRecord:
    record = _StreamRecord()
    # Each prompt is unique, because the quarantine holds back equal new prompts.
    prompt = f"{uuid.uuid4()}: {PROMPT}"
    record.read_from(Caller(url, key).chat(model, prompt, tokens))
    if not record.is_complete(tokens):
        raise RuntimeError(f"answer from {url} is incomplete or corrupted")
    return record


def _measure_throughput() -> list[Figure]:
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
        direct = _tokens_per_s(targets)
        targets = [(cluster.routers[0].url, key, "orders")] * THROUGHPUT_STREAMS
        routed = _tokens_per_s(targets)
    finally:
        cluster.stop()
    target = "target at least 5000 tokens/s"
    return [Figure("tokens through one router", routed, "tokens/s", direct, target)]


def _tokens_per_s(targets) -> float:
    start = time.monotonic()
    records = _read_all(targets, THROUGHPUT_TOKENS)
    elapsed_s = time.monotonic() - start
    return sum(record.tokens() for record in records) / elapsed_s


def _measure_resumption(rounds: int) -> list[Figure]:
    figures = []
    for name, cause_loss, target in (
        ("engine killed", _kill_engine, "target 250 ms at p95 beyond prefill"),
        ("engine silent", _pause_engine, "target 2000 ms at p95"),
        ("router killed", _kill_router, "target 4000 ms"),
        ("router paused", _pause_router, "target 4000 ms"),
    ):
        losses = [_measure_loss(cause_loss) for _ in range(rounds)]
        waits = [result.wait_s * 1e3 for result in losses]
        baseline = statistics.median(result.restart_s * 1e3 for result in losses)
        share = sum(result.is_complete for result in losses) / len(losses)
        for label, p in (("p50", 0.5), ("p95", 0.95)):
            value = percentile(waits, p)
            figures.append(Figure(f"{name} {label}", value, "ms", baseline, target))
        figures.append(Figure(f"{name}, whole answers", share, "share", None, "1.0"))
        # A client that starts over makes the engine generate again all it had received.
        extra_tokens = statistics.mean(result.extra_tokens for result in losses)
        mean_prefilled_tokens = statistics.mean(
            result.prefilled_tokens for result in losses
        )
        figures.append(
            Figure(f"{name}, extra output", extra_tokens, "tokens", LOSS_AT_TOKENS)
        )
        figures.append(
            Figure(f"{name}, prefilled again", mean_prefilled_tokens, "tokens")
        )
    return figures


class _Loss(msgspec.Struct, frozen=True):
    """Cost of one loss: waits in seconds, and tokens beyond those of the answer."""

    wait_s: float
    restart_s: float
    is_complete: bool
    extra_tokens: float
    prefilled_tokens: float


def _measure_loss(cause_loss) -> _Loss:
    cluster = LocalCluster(ClusterOptions(token_interval_ms=RESUME_INTERVAL_MS))
    try:
        cluster.start()
        key = cluster.api_keys["mehurcek"]
        record = _StreamRecord()
        stream = Caller(cluster.routers[0].url, key).chat(
            "orders", PROMPT, RESUME_TOKENS
        )
        record.read_from(stream, LOSS_AT_TOKENS)
        at = len(record.arrivals)
        lost_at = time.monotonic()
        cause_loss(cluster, key, record, stream)
        counts = _engine_counts(cluster)
        wait_s = record.arrivals[at] - lost_at
        # A client that starts over also waits for the tokens that it had received.
        restart_s = wait_s + (record.arrivals[at - 1] - record.sent_at)
        return _Loss(
            wait_s,
            restart_s,
            record.is_complete(RESUME_TOKENS),
            counts["vllm:generation_tokens_total"] - RESUME_TOKENS,
            counts["vllm:prompt_tokens_total"] - len(PROMPT.split()),
        )
    finally:
        cluster.stop()


def _engine_counts(cluster) -> collections.Counter:
    """Return the engines' token counts; a killed engine's were read before the kill."""
    for engine in cluster.engines:
        engine.signal(signal.SIGCONT)
    eventlet.sleep(0.5)
    counts = collections.Counter()
    for engine in cluster.engines:
        if engine.popen.poll() is None:
            _LAST_COUNTS[engine.pid] = read_metrics(engine)
        counts.update(_LAST_COUNTS.get(engine.pid, {}))
    return counts


def _kill_engine(cluster, key, record, stream) -> None:
    engine = busy_engine(cluster.engines)
    _LAST_COUNTS[engine.pid] = read_metrics(engine)
    engine.signal(signal.SIGKILL)
    record.read_from(stream)


def _pause_engine(cluster, key, record, stream) -> None:
    busy_engine(cluster.engines).signal(signal.SIGSTOP)
    record.read_from(stream)


def _kill_router(cluster, key, record, stream) -> None:
    cluster.routers[0].signal(signal.SIGKILL)
    stream.close()
    _reattach(cluster, key, record)


def _pause_router(cluster, key, record, stream) -> None:
    cluster.routers[0].signal(signal.SIGSTOP)
    stream.close()
    _reattach(cluster, key, record)


def _reattach(cluster, key, record) -> None:
    until = time.monotonic() + 20.0
    while True:
        try:
            caller = Caller(cluster.routers[1].url, key)
            stream = caller.reattach(record.answer_id, record.last_event_id)
            break
        except (OSError, CallerError):
            if time.monotonic() > until:
                raise
            eventlet.sleep(0.05)
    record.read_from(stream)


if __name__ == "__main__":
    main()
