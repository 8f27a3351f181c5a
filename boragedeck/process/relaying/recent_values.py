"""The newest values of each pool, and the shares of them that lie below a value."""

from collections import deque

from boragedeck.ids import PoolName

__all__ = ["RecentValues"]

MIN_VALUES = 4
"""With fewer values nothing is said."""


class RecentValues:
    """Values of each pool, of which the newest are kept.

    Parameters
    ----------
    max_values : int
        How many are kept of a pool.
    """

    def __init__(self, max_values: int):
        self._max_values = max_values
        self._values: dict[PoolName, deque[float]] = {}

    def note(self, pool: PoolName, value: float) -> None:
        """Keep a value, in place of the oldest where there are enough."""
        self._values.setdefault(pool, deque(maxlen=self._max_values)).append(value)

    def quantile(self, pool: PoolName, share: float) -> float | None:
        """Return the value below which a share of the kept ones lie.

        Parameters
        ----------
        pool : PoolName
            The pool.
        share : float
            From 0.0 to less than 1.0.

        Returns
        -------
        float or None
            None where too few values are known.
        """
        values = sorted(self._values.get(pool, ()))
        if len(values) < MIN_VALUES:
            return None
        return values[int(share * len(values))]
