"""A router's share of the repeats that all routers together may send.

A repeat is a further attempt at a request; the settings call it a retry. The bound on
the repeats of a pool in a window has two parts: a share of the requests in the window,
`retry_ratio`, and a fixed number, `retry_extra`.
"""

from collections.abc import Callable
from typing import Protocol

from boragedeck.ids import PoolName
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.fleet.fleet_size import FleetSize
from boragedeck.process.relaying.settings import Bounds
from boragedeck.process.relaying.sliding_window_counter import SlidingWindowCounter
from boragedeck.process.timers import TimerService

__all__ = ["USABLE_SHARE", "Reserve", "RetryShare"]

USABLE_SHARE = 0.8
"""Share of the bound that is used. The rest is a margin: whoever else checks the bound
may count the callers' requests in a window that doesn't begin together with this
router's, so that the two counts differ."""

_log = PartLog("retries")


class Reserve(Protocol):
    """Gives access to the fixed part of the bound in a fleet that has hubs.

    Hubs are a few routers that do tasks for all others; each holds a part of the
    reserve. See `boragedeck.process.relaying.fleet.hubs`.
    """

    def is_in_use(self) -> bool:
        """Return whether the fleet has a shared reserve."""

    def take(self, pool: PoolName) -> bool:
        """Take one repeat from the reserve; return False if none is left."""


class RetryShare:
    """Limits the repeats of each pool in a sliding window.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    bounds : callable
        Returns the operators' bounds, which hold for all routers together.
    fleet_size : FleetSize
        The number of routers that share the fixed part.
    reserve : Reserve
        Holds the fixed part if the fleet has hubs.
    """

    def __init__(
        self,
        timers: TimerService,
        bounds: Callable[[], Bounds],
        fleet_size: FleetSize,
        reserve: Reserve,
    ):
        self._bounds = bounds
        self._fleet_size = fleet_size
        self._reserve = reserve
        self._requests = SlidingWindowCounter(timers)
        self._repeats = SlidingWindowCounter(timers)

    def note_request(self, pool: PoolName) -> None:
        """Record a caller's request."""
        self._requests.note(pool)

    def take(self, pool: PoolName) -> bool:
        """Take one repeat, from the reserve if the share is used up.

        Returns
        -------
        bool
            False if the share is used up and there is no reserve, or none was granted
            from it.
        """
        bounds = self._bounds()
        window_s = bounds.retry_window_s
        requests = self._requests.count_within(pool, window_s)
        repeats = self._repeats.count_within(pool, window_s)
        has_reserve = self._reserve.is_in_use()
        fixed = 0.0 if has_reserve else bounds.retry_extra / self._fleet_size.assumed()
        if repeats + 1 <= USABLE_SHARE * (bounds.retry_ratio * requests + fixed):
            self._repeats.note(pool)
            return True
        # The hubs count the repeats from the reserve, so this router's share does not.
        if has_reserve and self._reserve.take(pool):
            return True
        _log.write("Repeat denied.", pool=pool, requests=requests, repeats=repeats)
        return False
