"""Quantiles of the newest values of each pool."""

from collections import deque

from boragedeck.ids import PoolName

__all__ = ["RecentValues"]

MIN_VALUES = 4
"""Minimum number of values for a quantile."""


class RecentValues:
    """Keeps the newest values of each pool.

    Parameters
    ----------
    max_values : int
        Maximum number of values to keep for a pool.
    """

    def __init__(self, max_values: int):
        self._max_values = max_values
        self._values: dict[PoolName, deque[float]] = {}

    def note(self, pool: PoolName, value: float) -> None:
        """Add a value, in place of the oldest if the maximum is reached."""
        self._values.setdefault(pool, deque(maxlen=self._max_values)).append(value)

    def quantile(self, pool: PoolName, share: float) -> float | None:
        """Return a quantile of the values that are kept.

        Parameters
        ----------
        pool : PoolName
            The pool.
        share : float
            Share of the values below the quantile, from 0.0 to less than 1.0.

        Returns
        -------
        float or None
            The quantile; None if too few values are known.
        """
        values = sorted(self._values.get(pool, ()))
        if len(values) < MIN_VALUES:
            return None
        return values[int(share * len(values))]
