"""Sends requests of several sizes so that they cross the close of a router that stops.

There is room for all. Callers send behind the end of a stream whose head did not
announce the close, before that end, on an idle connection and on a new one when the
listener closes, and in halves around that time or shortly before the process ends.
The exit status is 1 if a request should have had an answer and has none.
"""

import enum
import itertools
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from boragedeck.patching import patch_all

patch_all()

import eventlet
import typer

from scripts.hardship import Hardship
from scripts.scarce_answers import (
    APPLY_S,
    EVENT_S,
    EVENTS,
    LEAVE_S,
    Disturbance,
    ScarceAnswers,
    described,
    end_of,
)
from scripts.scarce_caller import Connection, Habit, Request, SlowBody
from scripts.scarce_plays import PLAYS
from soak.losses import GRACE_S

__all__ = ["Crossing", "CloseCrossings", "main"]

BODY_BYTES = 2_000, 8_000, 64_000, 100_000, 200_000
STOP_AT_S = 2.5
STREAM_S = EVENTS * EVENT_S + 0.1
AHEAD_S = 0.15
HALVES_S = 0.3
"""The time between the halves of a request, in seconds."""
AROUND_S = 0.05
"""How long before or after the listener closes a request is sent, at most."""
CALLER_S = 25.0
TOKENS = 500


class Crossing(enum.Enum):
    """How a request meets the close."""

    BEHIND = "behind the end of a stream"
    AHEAD = "before the end of a stream"
    AHEAD_IN_HALVES = "in halves before and behind the end of a stream"
    IDLE = "on an idle connection at the close"
    IDLE_IN_HALVES = "in halves on an idle connection around the close"
    NEW = "on a new connection at the close"
    LATE = "in halves until the process ends"
    NOT_READ = "answer not read until the process has ended"


class CloseCrossings:
    """One stop of a router, which many requests cross.

    Parameters
    ----------
    check : ScarceAnswers
        The cluster.
    seed : int
        Seed of all draws.
    draws : int
        Number of requests for each way and size.
    """

    def __init__(self, check: ScarceAnswers, seed: int, draws: int):
        self.ends: Counter = Counter()
        self.lines: list[str] = []
        self._check = check
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._sent: list[tuple[Crossing, Request]] = []
        self._ways = [
            (crossing, size)
            for crossing in Crossing
            for size in BODY_BYTES
            for _ in range(draws)
        ]

    def run(self) -> None:
        """Stop the router, send all requests, and note how they ended."""
        stop_at = time.monotonic() + APPLY_S + STOP_AT_S
        threads = [eventlet.spawn(self._play, *way, stop_at) for way in self._ways]
        self._check.run(Disturbance(), STOP_AT_S, targets=())
        for thread in threads:
            thread.wait()
        for crossing, req in self._sent:
            self._note(crossing, req)

    def _note(self, crossing: Crossing, req: Request) -> None:
        runs = self._check.runs(req.name)
        stopped_at = self._check.stopped_at
        end = end_of(req, runs, stopped_at)
        self.ends[crossing.value, req.size, end] += 1
        if not req.is_complete:
            text = described(req, runs, stopped_at)
            self.lines.append(f"{end}: {crossing.value}; {text}")

    def _play(self, crossing: Crossing, size: int, stop_at: float) -> None:
        close_at = stop_at + LEAVE_S
        around_close = close_at + self._rng.uniform(-AROUND_S, AROUND_S)
        match crossing:
            case Crossing.BEHIND | Crossing.AHEAD | Crossing.AHEAD_IN_HALVES:
                self._cross_stream(crossing, size, stop_at + self._rng.uniform(0.5, 4))
            case Crossing.IDLE:
                self._send_alone(crossing, size, stop_at, around_close)
            case Crossing.IDLE_IN_HALVES:
                last_at = around_close + HALVES_S
                self._send_alone(crossing, size, stop_at, around_close, last_at)
            case Crossing.NEW:
                self._send_alone(crossing, size, 0.0, around_close)
            case Crossing.LATE:
                last_at = stop_at + self._rng.uniform(0.8, 0.97) * GRACE_S
                self._send_alone(crossing, size, 0.0, close_at - HALVES_S, last_at)
            case Crossing.NOT_READ:
                self._read_late(crossing, size, stop_at)

    def _cross_stream(self, crossing: Crossing, size: int, ends_at: float) -> None:
        """Send a request when the stream before it on its connection ends."""
        _sleep_until(ends_at - STREAM_S)
        first, second = self._request(crossing, size), self._request(crossing, size)
        conn = self._connect()
        conn.send(first, SlowBody())
        thread = eventlet.spawn(conn.read, first)
        if crossing is Crossing.BEHIND:
            thread.wait()
        else:
            _sleep_until(ends_at - AHEAD_S)
        if not conn.is_open:
            # A caller sends nothing behind an answer that announces the close.
            self._sent.remove((crossing, second))
            self.ends[crossing.value, second.size, "announced"] += 1
            thread.wait()
        elif crossing is Crossing.BEHIND:
            conn.exchange(second, SlowBody())
        else:
            is_halved = crossing is Crossing.AHEAD_IN_HALVES
            conn.send(second, SlowBody(last_at=(ends_at + HALVES_S) * is_halved))
            thread.wait()
            conn.read(second)
        conn.close()

    def _send_alone(
        self,
        crossing: Crossing,
        size: int,
        idle_until: float,
        at: float,
        last_at: float = 0.0,
    ) -> None:
        """Send a request at a time, on a connection that has served if it is idle."""
        conn = None
        if idle_until:
            _sleep_until(idle_until - STREAM_S - AHEAD_S)
            conn = self._connect()
            conn.exchange(self._request(crossing, size), SlowBody())
        _sleep_until(at)
        try:
            conn = conn or self._connect()
        except OSError:
            # Nothing was sent.
            self.ends[crossing.value, _size_name(size), "not accepted"] += 1
            return
        conn.exchange(self._request(crossing, size), SlowBody(last_at=last_at))
        conn.close()

    def _read_late(self, crossing: Crossing, size: int, stop_at: float) -> None:
        """Read the answer when the process has ended."""
        _sleep_until(stop_at + self._rng.uniform(-1.0, 3.0))
        conn = self._connect()
        req = self._request(crossing, size)
        conn.send(req, SlowBody())
        _sleep_until(stop_at + GRACE_S + 0.5)
        conn.read(req)
        conn.close()

    def _connect(self) -> Connection:
        address = self._check.address(self._check.stopped)
        return Connection(address, CALLER_S + 2.0, is_small=False)

    def _request(self, crossing: Crossing, size: int) -> Request:
        number = next(self._numbers)
        req = Request(
            name=f"id-{number}",
            router=self._check.stopped,
            size=_size_name(size),
            tokens=TOKENS,
            body_bytes=size,
            is_chunked=number % 2 == 1,
            habit=Habit.PLAIN,
            caller_s=CALLER_S,
        )
        self._sent.append((crossing, req))
        return req


def main(
    seed: int = 1,
    draws: int = 3,
    build: Path | None = None,
    logs: Path | None = None,
    delay_ms: int = 0,
    busy: int = 0,
) -> None:
    """Play one stop and print how the requests ended.

    Parameters
    ----------
    seed : int
        Seed of all draws.
    draws : int
        Number of requests for each way and size.
    build : Path, optional
        Source folder of the routers; this one by default.
    logs : Path, optional
        An existing directory in which the routers' logs stay.
    delay_ms, busy : int
        What the routers bear; see `Hardship`.
    """
    hardship = Hardship(delay_ms / 1e3, busy)
    with tempfile.TemporaryDirectory() as directory:
        where = logs or Path(directory)
        check = ScarceAnswers(where, seed, PLAYS["room"], build, hardship)
        crossings = CloseCrossings(check, seed, draws)
        try:
            crossings.run()
        finally:
            check.stop()
    for (crossing, size, end), count in sorted(crossings.ends.items()):
        print(f"{crossing}, {size}: {end} {count}")
    for line in crossings.lines:
        print(line)
    sys.exit(1 if any(end.isupper() for _, _, end in crossings.ends) else 0)


def _size_name(size: int) -> str:
    return f"{size // 1000} KB"


def _sleep_until(at: float) -> None:
    eventlet.sleep(max(0.0, at - time.monotonic()))


if __name__ == "__main__":
    typer.run(main)
