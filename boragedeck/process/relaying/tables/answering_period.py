"""The period in which the store is known to have answered without a failure."""

import math

__all__ = ["MAX_GAP_S", "AnsweringPeriod"]

MAX_GAP_S = 1.5
"""How long the store may be unheard of within one period. A shorter failure makes no
entry of a live replica lapse."""


class AnsweringPeriod:
    """Joins what this router and others have heard of the store.

    Attributes
    ----------
    since : float
        Start of the period, on the timer service's clock.
    until : float
        The last moment at which the store is known to have answered; ``-math.inf`` if
        there is none.
    """

    def __init__(self):
        self.since = -math.inf
        self.until = -math.inf
        self._earliest = -math.inf

    def extend(self, since: float, until: float) -> None:
        """Add a period in which the store answered this router or another.

        Parameters
        ----------
        since, until : float
            Its start and end, on the timer service's clock.
        """
        since = max(since, self._earliest)
        if until < since or until < self.until - MAX_GAP_S:
            return
        is_joined = since <= self.until + MAX_GAP_S
        self.since = min(self.since, since) if is_joined else since
        self.until = max(self.until, until)

    def restart(self, at: float) -> None:
        """Begin a new period, which joins no earlier one."""
        self.since = self.until = self._earliest = at
