"""Counts events of each pool in a sliding window."""

from collections import deque

from boragedeck.ids import PoolName
from boragedeck.process.timers import TimerService

__all__ = ["SlidingWindowCounter"]


MIN_KEPT_S = 60.0
"""How long events are kept at least; longer if a longer window is asked for."""


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
        self._kept_s = MIN_KEPT_S

    def note(self, pool: PoolName) -> None:
        """Record an event at the current time."""
        times = self._times.setdefault(pool, deque())
        times.append(self._timers.now())
        self._drop_before(times, self._timers.now() - self._kept_s)

    def count_within(self, pool: PoolName, window_s: float) -> int:
        """Return the number of events in a window, and drop older ones.

        Parameters
        ----------
        pool : PoolName
            The pool.
        window_s : float
            The length of the window that ends now, in seconds.
        """
        self._kept_s = max(self._kept_s, window_s)
        times = self._times.get(pool, deque())
        self._drop_before(times, self._timers.now() - window_s)
        return len(times)

    def _drop_before(self, times: deque[float], since: float) -> None:
        while times and times[0] < since:
            times.popleft()
