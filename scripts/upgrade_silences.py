"""Silences of engines during an upgrade, and who bears them.

A sound engine may stand still for 1.0 to 1.3 s: it neither answers nor reads, and loses
no connection. Streams that are asked of a router that bears this stay whole.
"""

import enum
import itertools
import random
import time
from pathlib import Path

import eventlet

from scripts.builds import has_module
from scripts.platform_cluster import PlatformCluster

__all__ = ["EngineSilences", "SilenceWatch"]

MIN_SILENCE_S = 1.0
MAX_SILENCE_S = 1.3
STANDSTILL_S = 0.25
"""How long this process has to stand still to count, about half of the time that a
build gives its engines which doesn't bear a silence."""
TICK_S = 0.02
"""How often it is asked whether it stood still, in seconds."""
MIN_STOP_AFTER_S = 0.1
MAX_STOP_AFTER_S = 0.8
"""How long after the start of a silence a router may be stopped, at most."""
STREAM_SILENCE = "stream_silence"
"""Module by which it is told whether a build bears silences."""


class SilentEngines(enum.Enum):
    """Which engines fall silent."""

    ALL = "all"
    ONE = "one"


class SilenceWatch:
    """Tells whether a silence was on during a stream, and whether its router bears it.

    Parameters
    ----------
    silences : EngineSilences
        The silences.
    is_borne : bool
        Whether the router of the stream bears silences.

    Attributes
    ----------
    is_borne : bool
        Whether the router of the stream bears silences.
    """

    def __init__(self, silences: "EngineSilences", is_borne: bool):
        self.is_borne = is_borne
        silences.note_standstill()
        self._silences = silences
        self._ended = silences.ended
        self._standstills = silences.standstills

    @property
    def was_silent(self) -> bool:
        """Whether an engine has been silent since the start of the watch."""
        return self._silences.begun > self._ended

    @property
    def stood_still(self) -> bool:
        """Whether this process, with all engines, has stood still since its start."""
        # What a stream has lost may be read before the watcher of standstills runs.
        self._silences.note_standstill()
        return self._silences.standstills > self._standstills


class EngineSilences:
    """Lets the engines of a fleet fall silent, in turn all of them and one of them.

    The engines run in this process, so if it stands still, all of them do.

    Parameters
    ----------
    cluster : PlatformCluster
        The fleet.
    rng : random.Random
        Chooses durations, engines and moments.

    Attributes
    ----------
    begun : int
        How many silences have begun.
    ended : int
        How many silences are over.
    standstills : int
        How often this process has stood still.
    """

    def __init__(self, cluster: PlatformCluster, rng: random.Random):
        self.begun = 0
        self.ended = 0
        self.standstills = 0
        self._cluster = cluster
        self._rng = rng
        # When this process last ran, in monotonic seconds.
        self._seen_at = float("inf")
        self._watcher: eventlet.greenthread.GreenThread | None = None
        self._turns = itertools.cycle(rng.sample(list(SilentEngines), 2))

    def watch(self, number: int) -> SilenceWatch:
        """Return a watch for a stream that is asked of a router now."""
        build = self._cluster.builds.get(number)
        return SilenceWatch(self, build is None or _bears_silences(build))

    def start(self) -> None:
        """Count from now on how often this process stands still."""
        self._seen_at = time.monotonic()
        self._watcher = eventlet.spawn(self._watch_standstills)

    def stop(self) -> None:
        """Count no further standstills."""
        self._seen_at = float("inf")
        if self._watcher is not None:
            self._watcher.kill()

    def play(self) -> None:
        """Let engines fall silent, and return when they go on."""
        eventlet.sleep(self._begin())

    def begin_before_stop(self) -> None:
        """Let engines fall silent, and return when a router is to be stopped."""
        self._begin()
        eventlet.sleep(self._rng.uniform(MIN_STOP_AFTER_S, MAX_STOP_AFTER_S))

    def note_standstill(self) -> None:
        """Count a standstill if this process has just stood still."""
        now = time.monotonic()
        if now - self._seen_at >= STANDSTILL_S:
            self.standstills += 1
        self._seen_at = max(self._seen_at, now)

    def _watch_standstills(self) -> None:
        while True:
            self.note_standstill()
            eventlet.sleep(TICK_S)

    def _begin(self) -> float:
        """Let engines fall silent, and return for how long, in seconds."""
        silence_s = self._rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        names = sorted(self._cluster.engines)
        match next(self._turns):
            case SilentEngines.ONE:
                names = [self._rng.choice(names)]
        self.begun += 1
        self._cluster.hush_engines(names, silence_s)
        eventlet.spawn_after(silence_s, self._end)
        return silence_s

    def _end(self) -> None:
        self.ended += 1


def _bears_silences(build: Path) -> bool:
    return has_module(build, STREAM_SILENCE)
