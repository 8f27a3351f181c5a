"""Speeds that are told by, or to, another router, until they expire."""

import msgspec

from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.relaying.speeds.speed_messages import RunSpeed

__all__ = ["RecentSpeeds"]

TTL_S = 30.0
"""How long a speed counts after it was last told."""
MAX_RUNS = 4_096


class _Told(msgspec.Struct, frozen=True):
    """A speed, and when it was told."""

    speed: RunSpeed
    at: float


class RecentSpeeds:
    """The last exchanged speed of each run, which may be 1.0 again."""

    def __init__(self) -> None:
        self._told: dict[Run, _Told] = {}

    def note(self, speed: RunSpeed, now: float) -> None:
        """Record a speed."""
        self._told.pop(speed.run, None)
        self._told[speed.run] = _Told(speed, now)
        if len(self._told) > MAX_RUNS:
            del self._told[next(iter(self._told))]

    def get(self, run: Run) -> RunSpeed | None:
        """Return the speed of a run; None if none was told."""
        told = self._told.get(run)
        return None if told is None else told.speed

    def runs(self) -> list[Run]:
        """Return the runs whose speeds were told."""
        return list(self._told)

    def expire(self, now: float) -> None:
        """Drop the speeds that were not told for `TTL_S`."""
        for run, told in list(self._told.items()):
            if now - told.at > TTL_S:
                del self._told[run]
