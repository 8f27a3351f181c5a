"""Durations of requests, from which a stopping router estimates which it can finish.

Handles routers that are stopped one after the other under streams of several seconds;
some streams are delayed by lost engines and take much longer than the mean.
"""

from boragedeck.ids import PoolName
from boragedeck.process.relaying.recent_values import RecentValues

__all__ = ["RequestDurations"]

MAX_VALUES = 64
"""Number of the newest requests of a pool whose durations are kept."""
LONG_QUANTILE = 0.95
"""Quantile of the durations that counts as a long request."""
LONG_GOALS = 2.0
"""How many latency objectives a long call takes, if too few durations are known."""


class RequestDurations:
    """Durations of served requests, from their first place to their end."""

    def __init__(self):
        self._durations_s = RecentValues(MAX_VALUES)

    def note(self, pool: PoolName, took_s: float) -> None:
        """Record how long a served request took, in seconds."""
        self._durations_s.note(pool, took_s)

    def long_duration_s(
        self, pool: PoolName, limit_s: float, goal_s: float | None = None
    ) -> float:
        """Return how long a long request takes, in seconds.

        Parameters
        ----------
        pool : PoolName
            The pool.
        limit_s : float
            Maximum time that any request may take; returned if neither enough durations
            nor a latency objective are known.
        goal_s : float, optional
            The latency objective of a whole answer.
        """
        long_duration_s = self._durations_s.quantile(pool, LONG_QUANTILE)
        if long_duration_s is None and goal_s is not None:
            long_duration_s = LONG_GOALS * goal_s
        return limit_s if long_duration_s is None else min(limit_s, long_duration_s)
