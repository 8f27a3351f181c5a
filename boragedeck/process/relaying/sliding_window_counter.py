"""Counts events of each pool in a sliding window."""

from collections import deque

from boragedeck.ids import PoolName
from boragedeck.process.timers import TimerService

__all__ = ["SlidingWindowCounter"]


class SlidingWindowCounter:
    """Keeps the times of each pool's events.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._times: dict[PoolName, deque[float]] = {}

    def note(self, pool: PoolName) -> None:
        """Record an event at the current time."""
        self._times.setdefault(pool, deque()).append(self._timers.now())

    def count_within(self, pool: PoolName, window_s: float) -> int:
        """Return the number of events in a window, and drop older ones.

        Parameters
        ----------
        pool : PoolName
            The pool.
        window_s : float
            The length of the window that ends now, in seconds.
        """
        times = self._times.get(pool, deque())
        since = self._timers.now() - window_s
        while times and times[0] < since:
            times.popleft()
        return len(times)
