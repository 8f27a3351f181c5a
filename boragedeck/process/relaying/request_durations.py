"""How long requests take, for a process that must know which ones it can still finish.

The load this answers: routers that are stopped one after the other under streams of
seconds, some of which are held up by lost engines and take much longer than the mean.
"""

from boragedeck.ids import PoolName
from boragedeck.process.relaying.recent_values import RecentValues

__all__ = ["RequestDurations"]

MAX_VALUES = 64
"""So many of the newest requests of a pool are remembered."""
LONG_QUANTILE = 0.95
"""The share of requests that don't take longer than a long one."""


class RequestDurations:
    """The times that served requests took, from their arrival to their end."""

    def __init__(self):
        self._durations_s = RecentValues(MAX_VALUES)

    def note(self, pool: PoolName, took_s: float) -> None:
        """Note a request that was served, and how long it took in seconds."""
        self._durations_s.note(pool, took_s)

    def long_duration_s(self, pool: PoolName, limit_s: float) -> float:
        """Return how long a long request takes, in seconds.

        Parameters
        ----------
        pool : PoolName
            The pool.
        limit_s : float
            The longest time that any request may take, returned where nothing is
            known.
        """
        long_duration_s = self._durations_s.quantile(pool, LONG_QUANTILE)
        return limit_s if long_duration_s is None else min(limit_s, long_duration_s)
