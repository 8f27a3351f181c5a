"""A router's share of the repeats that all routers together may send."""

from collections import deque
from collections.abc import Callable

from boragedeck.ids import PoolName
from boragedeck.process.relaying.settings import Bounds
from boragedeck.process.timers import TimerService

__all__ = ["RetryShare"]

LEARNING_S = 10.0
"""For so long after its start a router may not know all others."""
ASSUMED_ROUTERS = 16
"""So many are assumed meanwhile, where fewer are known."""
SAFETY = 0.8
"""Of the bound, what is used: requests of callers may be counted in another window."""


class RetryShare:
    """Counts requests and repeats of each pool in a sliding window.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    bounds : callable
        Returns the operators' bounds on all routers together.
    routers : callable
        Returns how many routers share the fixed part.
    """

    def __init__(
        self,
        timers: TimerService,
        bounds: Callable[[], Bounds],
        routers: Callable[[], int],
    ):
        self._timers = timers
        self._bounds = bounds
        self._routers = routers
        self._learning_until = timers.now() + LEARNING_S
        self._requests: dict[PoolName, deque[float]] = {}
        self._repeats: dict[PoolName, deque[float]] = {}

    def note_request(self, pool: PoolName) -> None:
        """Note a caller's request."""
        self._recent(self._requests, pool).append(self._timers.now())

    def take(self, pool: PoolName) -> bool:
        """Take one repeat; False where the share is spent."""
        requests = len(self._recent(self._requests, pool))
        repeats = self._recent(self._repeats, pool)
        bounds = self._bounds()
        extra = bounds.retry_extra / self._sharers()
        allowed = SAFETY * (bounds.retry_ratio * requests + extra)
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(self._timers.now())
        return True

    def _sharers(self) -> int:
        known = max(1, self._routers())
        if self._timers.now() < self._learning_until:
            return max(known, ASSUMED_ROUTERS)
        return known

    def _recent(
        self, times: dict[PoolName, deque[float]], pool: PoolName
    ) -> deque[float]:
        recent = times.setdefault(pool, deque())
        since = self._timers.now() - self._bounds().retry_window_s
        while recent and recent[0] < since:
            recent.popleft()
        return recent
