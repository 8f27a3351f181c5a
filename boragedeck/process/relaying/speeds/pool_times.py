"""The newest times of streams in a pool, with which new samples are compared.

Handles bursts over a whole pool, which lengthen the times of all engines, and a router
that sends many wrong samples.
"""

import statistics
from collections import Counter, deque

import msgspec

from boragedeck.ids import RouterId
from boragedeck.process.relaying.speeds.run_samples import MAX_AGE_S
from boragedeck.process.relaying.speeds.speed_messages import StreamTimes

__all__ = ["MAX_POOL_TIMES", "MIN_POOL_TIMES", "PoolTimes"]

MAX_POOL_TIMES = 64
"""Number of the newest samples of a pool whose median a sample is compared with. They
are of the same moment, so a burst over the whole pool makes no engine look slow."""
MIN_POOL_TIMES = 8
MIN_LIMITED_ROUTERS = 3
"""Number of routers from which on one can be outvoted by the others."""
MAX_SHARE_OF_OTHERS = 0.5
"""Number of samples of one router from then on, relative to those of all others, so
that a router that sends many doesn't determine the median. `MIN_POOL_TIMES` are kept in
any case, since the others may serve few streams."""


class _PoolTime(msgspec.Struct, frozen=True):
    """The times of a stream, the router that sent them, and when they arrived."""

    router: RouterId
    at: float
    times: StreamTimes


class PoolTimes:
    """The newest times of a pool."""

    def __init__(self) -> None:
        self._newest: deque[_PoolTime] = deque()
        self._counts: Counter[RouterId] = Counter()

    def __len__(self) -> int:
        return len(self._newest)

    def add(self, router: RouterId, times: StreamTimes, now: float) -> None:
        """Add the times of a stream that a router has served."""
        self._newest.append(_PoolTime(router, now, times))
        self._counts[router] += 1
        while now - self._newest[0].at > MAX_AGE_S:
            self._drop(self._newest[0])
        if len(self._counts) >= MIN_LIMITED_ROUTERS:
            self._limit_router()
        if len(self._newest) > MAX_POOL_TIMES:
            self._drop(self._newest[0])

    def relative(self, times: StreamTimes) -> StreamTimes | None:
        """Return times divided by the medians; None if too few are known."""
        if len(self._newest) < MIN_POOL_TIMES:
            return None
        read_s = statistics.median(each.times.read_s for each in self._newest)
        event_s = statistics.median(each.times.event_s for each in self._newest)
        return StreamTimes(times.read_s / read_s, times.event_s / event_s)

    def _limit_router(self) -> None:
        """Drop the oldest times of the router with the most, if it has too many."""
        router, count = max(self._counts.items(), key=lambda item: item[1])
        of_others = len(self._newest) - count
        kept = max(MIN_POOL_TIMES, int(MAX_SHARE_OF_OTHERS * of_others))
        if count > kept:
            of_router = [each for each in self._newest if each.router == router]
            for each in of_router[: count - kept]:
                self._drop(each)

    def _drop(self, dropped: _PoolTime) -> None:
        self._newest.remove(dropped)
        self._counts[dropped.router] -= 1
        if not self._counts[dropped.router]:
            del self._counts[dropped.router]
