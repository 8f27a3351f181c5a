"""Keeps the requests at one brittle replica within its room.

Handles bursts at replicas that fall over if they have to reject many requests: the
requests of all routers together take places here before they are sent.
"""

import itertools
from collections import deque

from eventlet.event import Event

from boragedeck.process.timers import TimerService

__all__ = ["NO_LEASE", "RoomLeases"]

NO_LEASE = 0
"""The number of a lease that wasn't granted."""
REJECTION_WINDOW_S = 1.0
"""The time in which a brittle replica counts its rejections."""
GROWTH_INTERVAL_S = 0.25
"""How long after a rejection, and then after each step, one place more is used."""
COLD_START_S = 0.2
"""How long a new owner uses one place only, since others may have granted some."""
MAX_WAITING = 256


class _Waiter:
    """A request that waits for a place."""

    def __init__(self):
        self.granted = Event()
        self.is_gone = False


class RoomLeases:
    """The places of one replica, leased to requests of all routers.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._numbers = itertools.count(NO_LEASE + 1)
        # The leases by number, with their ends.
        self._leases: dict[int, float] = {}
        self._waiting: deque[_Waiter] = deque()
        self._rejected_at: deque[float] = deque()
        self._started_at = timers.now()
        # The most places that may be used since the last rejection; None if unknown.
        self._ceiling: int | None = None
        self._ceiling_at = 0.0
        self._slots = 1
        self._max_rejections = 1.0

    def take(
        self, slots: int, rejections_per_s: float, max_wait_s: float, lease_s: float
    ) -> int:
        """Lease a place; wait for one if necessary.

        Parameters
        ----------
        slots : int
            Number of requests that the replica runs at once.
        rejections_per_s : float
            Number of rejections in a second that the replica bears.
        max_wait_s : float
            The longest time to wait, in seconds.
        lease_s : float
            When the lease ends if it isn't released, in seconds from its grant.

        Returns
        -------
        int
            The number of the lease, or `NO_LEASE`.
        """
        self._slots, self._max_rejections = slots, rejections_per_s
        if self._has_room() and not self._waiting:
            return self._grant(lease_s)
        if max_wait_s <= 0.0 or len(self._waiting) >= MAX_WAITING:
            return NO_LEASE
        waiter = _Waiter()
        self._waiting.append(waiter)
        try:
            return self._wait(waiter, max_wait_s, lease_s)
        finally:
            waiter.is_gone = True
            # It may have been woken, and has ended before it ran.
            self._wake_next()

    def release(self, lease: int, *, is_rejected: bool) -> None:
        """End a lease.

        Parameters
        ----------
        lease : int
            The number of the lease.
        is_rejected : bool
            Whether the replica had no room for its request.
        """
        if self._leases.pop(lease, None) is not None and is_rejected:
            now = self._timers.now()
            self._rejected_at.append(now)
            self._ceiling, self._ceiling_at = max(1, len(self._leases)), now
        self._wake_next()

    def leased(self) -> int:
        """Return the number of leased places."""
        return len(self._leases)

    def _wait(self, waiter: _Waiter, max_wait_s: float, lease_s: float) -> int:
        until = self._timers.now() + max_wait_s
        while (left_s := until - self._timers.now()) > 0.0:
            # Leases that end by time wake nobody, nor does the end of a pause.
            self._timers.wait(waiter.granted, min(left_s, GROWTH_INTERVAL_S))
            if self._is_first(waiter) and self._has_room():
                self._waiting.popleft()
                lease = self._grant(lease_s)
                self._wake_next()
                return lease
            if waiter.granted.ready():
                waiter.granted = Event()
        return NO_LEASE

    def _is_first(self, waiter: _Waiter) -> bool:
        while self._waiting and self._waiting[0].is_gone:
            self._waiting.popleft()
        return bool(self._waiting) and self._waiting[0] is waiter

    def _wake_next(self) -> None:
        while self._waiting and self._waiting[0].is_gone:
            self._waiting.popleft()
        if self._waiting and not self._waiting[0].granted.ready():
            self._waiting[0].granted.send()

    def _grant(self, lease_s: float) -> int:
        number = next(self._numbers)
        self._leases[number] = self._timers.now() + lease_s
        return number

    def _has_room(self) -> bool:
        now = self._timers.now()
        for number in [each for each, end in self._leases.items() if end <= now]:
            del self._leases[number]
        while self._rejected_at and self._rejected_at[0] <= now - REJECTION_WINDOW_S:
            self._rejected_at.popleft()
        if len(self._rejected_at) >= self._max_rejections:
            return False
        return len(self._leases) < self._allowed(now)

    def _allowed(self, now: float) -> int:
        """Return the number of places that may be used."""
        if now - self._started_at < COLD_START_S:
            return 1
        if self._ceiling is None:
            return self._slots
        grown = int((now - self._ceiling_at) / GROWTH_INTERVAL_S)
        return min(self._slots, self._ceiling + grown)
