"""Measures the cost of the causal clock in frames and logs, and of merging logs.

Frames are compared with the same struct without the clock, messages with a direct call
of eliot, and merging with decoding the same lines, all in one run.
"""

import io
import pathlib
import tempfile
import time
import tracemalloc
from collections.abc import Callable

import eliot
import msgspec

from benchmarks.figures import Figure, print_table
from boragedeck.connection.messages import Frame
from boragedeck.process.membership.causal_clock import process_clock
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.observing.timeline import EventFilter, merge, read_events

__all__ = ["main"]

FRAMES = 100_000
MESSAGES = 5_000
LINES = 50_000
ROUNDS = 5
BODY_BYTES = 300
MAX_EVENTS = 1_000
US_PER_S = 1e6


class _PlainFrame(msgspec.Struct, frozen=True, array_like=True):
    number: int
    is_answer: bool
    body: msgspec.Raw


def main() -> None:
    """Print the figures."""
    print_table(
        "Causal clock and time line",
        [*_measure_frames(), *_measure_messages(), *_measure_merging()],
    )


def _best_s(step: Callable[[], None], count: int) -> float:
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(count):
            step()
        best = min(best, time.perf_counter() - started)
    return best / count


def _measure_frames() -> list[Figure]:
    body = msgspec.Raw(msgspec.msgpack.encode(b"x" * BODY_BYTES))
    process_clock.tick()

    def plain() -> None:
        data = msgspec.msgpack.encode(_PlainFrame(9, False, body))
        msgspec.msgpack.decode(data, type=_PlainFrame)

    def clocked() -> None:
        data = msgspec.msgpack.encode(Frame(9, False, body, process_clock.value))
        frame = msgspec.msgpack.decode(data, type=Frame)
        process_clock.observe(frame.clock)

    before, after = _best_s(plain, FRAMES), _best_s(clocked, FRAMES)
    size = len(msgspec.msgpack.encode(Frame(9, False, body, process_clock.value)))
    old_size = len(msgspec.msgpack.encode(_PlainFrame(9, False, body)))
    return [
        Figure("frame, encoded and decoded", after * US_PER_S, "us", before * US_PER_S),
        Figure("frame's size", size, "bytes", old_size),
    ]


def _measure_messages() -> list[Figure]:
    file = io.StringIO()
    destination = eliot.FileDestination(file)
    eliot.add_destinations(destination)
    log = PartLog("bench")
    try:
        plain = _best_s(
            lambda: eliot.log_message(
                message_type="bench", text="bench: x", answer="a"
            ),
            MESSAGES,
        )
        numbered = _best_s(lambda: log.write("x", answer="a"), MESSAGES)
    finally:
        eliot.remove_destination(destination)
    return [Figure("log message", numbered * US_PER_S, "us", plain * US_PER_S)]


def _measure_merging() -> list[Figure]:
    with tempfile.TemporaryDirectory() as folder:
        paths = [pathlib.Path(folder, f"router-{i}.log") for i in range(4)]
        for i, path in enumerate(paths):
            path.write_bytes(b"".join(_line(i, n) for n in range(LINES // len(paths))))
        decode_s = _best_s(lambda: _decode_all(paths), 1)
        merge_s = _best_s(lambda: _merge_all(paths, EventFilter()), 1)
        one_file_mib = _peak_mib(paths[:1])
        four_files_mib = _peak_mib(paths)
    return [
        Figure(
            "merge a line", merge_s / LINES * US_PER_S, "us", decode_s / LINES * 1e6
        ),
        Figure(
            "peak memory, four files against one", four_files_mib, "MiB", one_file_mib
        ),
    ]


def _line(router: int, number: int) -> bytes:
    message = {
        "text": "answers: Ended.",
        "answer": f"org/{number}",
        "router": f"vm-{router}",
        "clock": number * 4 + router,
        "seq": number,
        "timestamp": 1e9 + number,
    }
    return msgspec.json.encode(message) + b"\n"


def _decode_all(paths: list[pathlib.Path]) -> None:
    for path in paths:
        with open(path, "rb") as file:
            for line in file:
                msgspec.json.decode(line)


def _merge_all(paths: list[pathlib.Path], event_filter: EventFilter) -> None:
    merge(map(read_events, paths), event_filter, limit=MAX_EVENTS)


def _peak_mib(paths: list[pathlib.Path]) -> float:
    tracemalloc.start()
    _merge_all(paths, EventFilter())
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak / 2**20


if __name__ == "__main__":
    main()
