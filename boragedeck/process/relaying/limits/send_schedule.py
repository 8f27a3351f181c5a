"""Spaces the requests to one replica at a rate, without network or clock."""

import bisect

__all__ = ["SendSchedule"]

BURST_S = 0.5
"""After a pause, the requests that the rate allows in this time may be sent at once.
Requests arrive at random, so strict spacing would leave part of the rate unused."""
MAX_RETURNED = 256
"""Maximum number of returned turns that are kept."""
MIN_WAIT_S = 0.001
"""A shorter wait counts as none."""


class SendSchedule:
    """The times at which requests may be sent: evenly spaced, but for short bursts.

    Parameters
    ----------
    now : float
        The current time in seconds.

    Notes
    -----
    This is the generic cell rate algorithm. Each request takes the time that it needs
    at the rate, and the time that has been taken may be at most `BURST_S` ahead. A new
    schedule starts at that point: it has no burst to spend, since another router may
    have granted one just before.
    """

    def __init__(self, now: float):
        self._taken_until = now + BURST_S
        # The turns that were returned and haven't come yet, the next one first.
        self._returned: list[float] = []

    def wait_s(self, now: float) -> float:
        """Return how long the next request has to wait, in seconds; 0.0 if it needn't.

        Parameters
        ----------
        now : float
            The current time in seconds.
        """
        self._drop_past(now)
        wait_s = self._next_turn() - now
        return wait_s if wait_s >= MIN_WAIT_S else 0.0

    def take(self, per_s: float, now: float) -> None:
        """Take the time of the next request: a returned turn if there is one.

        Parameters
        ----------
        per_s : float
            The rate in requests per second; more than 0.
        now : float
            The current time in seconds.
        """
        self._drop_past(now)
        if self._returned:
            self._returned.pop(0)
        else:
            self._taken_until = max(self._taken_until, now) + 1.0 / per_s

    def give_back(self, turn_at: float, now: float) -> None:
        """Return a turn that a request has taken and doesn't use.

        Parameters
        ----------
        turn_at : float
            When the request might have been sent, in seconds. A turn that is over is
            lost, and one that this schedule can't have granted is none.
        now : float
            The current time in seconds.
        """
        self._drop_past(now)
        is_own = now <= turn_at <= self._taken_until - BURST_S
        if is_own and len(self._returned) < MAX_RETURNED:
            bisect.insort(self._returned, turn_at)

    def _next_turn(self) -> float:
        return self._returned[0] if self._returned else self._taken_until - BURST_S

    def _drop_past(self, now: float) -> None:
        """Drop the returned turns that are over."""
        del self._returned[: bisect.bisect_left(self._returned, now)]
