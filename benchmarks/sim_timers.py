"""Timer service on a simulated clock."""

import heapq
import itertools
import random
from collections.abc import Callable

from boragedeck.process.timers import Subscription

__all__ = ["SimTimers"]


class SimTimers:
    """Timer service whose calls run one after the other on a simulated clock.

    Parameters
    ----------
    rng : random.Random, optional
        The source of jitter; without it intervals have no jitter.
    start_s : float
        The clock's first value, in seconds.
    """

    def __init__(self, rng: random.Random | None = None, start_s: float = 0.0):
        self._rng = rng
        self._now = start_s
        self._order = itertools.count()
        self._due: list = []

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self._now

    wall = now

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call once after a delay."""
        sub = Subscription(callback)
        due = self._now + max(0.0, delay_s)
        heapq.heappush(self._due, (due, next(self._order), sub))
        return sub

    def subscribe(
        self, interval_s: float, callback: Callable[[], None], *, jitter: float = 0.1
    ) -> Subscription:
        """Call repeatedly at an interval."""
        sub = Subscription(callback)

        def call() -> None:
            if not sub.cancelled:
                callback()
                schedule_next()

        def schedule_next() -> None:
            self.call_later(interval_s * self._jitter_factor(jitter), call)

        schedule_next()
        return sub

    def _jitter_factor(self, jitter: float) -> float:
        if self._rng is None:
            return 1.0
        return self._rng.uniform(1.0 - jitter, 1.0 + jitter)

    def run_until(self, end: float) -> None:
        """Advance to a time and make all calls that are due by then."""
        while self._due and self._due[0][0] <= end:
            self._now, _, sub = heapq.heappop(self._due)
            if not sub.cancelled:
                sub.callback()
        self._now = end
