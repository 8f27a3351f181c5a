"""Decides which answers that wait for memory are dropped for other requests.

The load that it handles: hundreds of callers that take long to read answers of
megabytes. The answers behind them wait, and keep places at replicas meanwhile.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from boragedeck.connection.reading_rate import ReadingRate

__all__ = ["NO_DEMAND", "AnswerShortage", "PlaceDemand"]

MIN_SHORTAGE_S = 1.0
"""How long answers lack room before one is dropped, in seconds."""
SHORTAGE_END_S = 1.0
"""How long no answer lacks room until a shortage counts as over, in seconds."""
MAX_WAITING_SHARE = 1 / 2
"""Share of the places of a pool that answers may keep which wait without prospect."""


class PlaceDemand(msgspec.Struct, frozen=True):
    """The demand for places at the replicas of a pool.

    Parameters
    ----------
    waiting : int
        How many requests wait for one.
    running : int
        How many this router's requests keep.
    """

    waiting: int
    running: int


NO_DEMAND = PlaceDemand(waiting=0, running=0)


class AnswerShortage:
    """What is known of the room for answers that are read whole.

    Parameters
    ----------
    now : float
        The time on the timer service's monotonic clock.
    """

    def __init__(self, now: float):
        self._reading_rate = ReadingRate(now)
        # When answers began to find no room, and the last time that one did.
        self._since = self._short_at = float("-inf")
        self._waiting = 0

    @contextmanager
    def count_waiting(self) -> Iterator[None]:
        """Count an answer that waits for room."""
        self._waiting += 1
        try:
            yield
        finally:
            self._waiting -= 1

    def note_short(self, now: float) -> None:
        """Record that there is no room for an answer."""
        if now - self._short_at >= SHORTAGE_END_S:
            self._since = now
        self._short_at = now

    def note_read(self, count: int, now: float) -> None:
        """Record that a caller has read bytes of an answer that is held."""
        self._reading_rate.note_read(count, now)

    def must_drop(
        self,
        count: int,
        until: float,
        demand: PlaceDemand,
        now: float,
        *,
        is_suspect: bool,
    ) -> bool:
        """Return whether an answer that waits for room is given up for other requests.

        Parameters
        ----------
        count : int
            The bytes that it lacks.
        until : float
            When it waits no longer, on the timer service's monotonic clock.
        demand : PlaceDemand
            The demand for the place that it keeps at its replica.
        now : float
            The time on the same clock.
        is_suspect : bool
            Whether callers at its address were ended lately for being slow.
        """
        if not demand.waiting or not self._is_hopeless(count, until, now):
            return False
        return is_suspect or self._waiting > MAX_WAITING_SHARE * demand.running

    def _is_hopeless(self, count: int, until: float, now: float) -> bool:
        """Return whether callers read too slowly for bytes to become free in time.

        Notes
        -----
        The others that wait are taken to need as many. What is freed by ending slow
        callers doesn't count: those who wait may be as slow, and their replicas serve
        nobody else meanwhile.
        """
        if now - self._since < MIN_SHORTAGE_S:
            return False
        freed = self._reading_rate.bytes_per_s(now) * (until - now)
        return freed < count * self._waiting
