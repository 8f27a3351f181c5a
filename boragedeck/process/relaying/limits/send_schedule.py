"""Spaces the requests to one replica at a rate, without network or clock."""

__all__ = ["SendSchedule"]

BURST_S = 0.5
"""After a pause, the requests that the rate allows in this time may be sent at once.
Requests arrive at random, so strict spacing would leave part of the rate unused."""
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

    def wait_s(self, now: float) -> float:
        """Return how long the next request has to wait, in seconds; 0.0 if it needn't.

        Parameters
        ----------
        now : float
            The current time in seconds.
        """
        wait_s = self._taken_until - BURST_S - now
        return wait_s if wait_s >= MIN_WAIT_S else 0.0

    def take(self, per_s: float, now: float) -> None:
        """Take the time of the next request.

        Parameters
        ----------
        per_s : float
            The rate in requests per second; more than 0.
        now : float
            The current time in seconds.
        """
        self._taken_until = max(self._taken_until, now) + 1.0 / per_s
