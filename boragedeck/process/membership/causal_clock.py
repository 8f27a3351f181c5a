"""Hybrid logical clock: orders the events of all processes causally."""

from collections.abc import Callable

from boragedeck.process.timers import RealTimers

__all__ = ["MAX_CLOCK_US", "CausalClock", "process_clock"]

MAX_CLOCK_US = 2**53 - 1
"""The highest clock value that is accepted or written, in microseconds. Every JSON
reader represents integers up to this value exactly; it lies beyond the year 2200."""
MICROSECONDS_PER_S = 1_000_000


class CausalClock:
    """Hybrid logical clock: each event's value exceeds those of its causes.

    Parameters
    ----------
    wall : callable
        Returns the wall-clock time in seconds since the Unix epoch; it may be wrong and
        may step back.

    Attributes
    ----------
    value : int
        The latest value, in microseconds since the Unix epoch or ahead of that time;
        messages to other processes carry it.

    Notes
    -----
    Values follow the wall clock unless a higher value has been used or observed, so
    that events of a process that has just started, or has received no messages, are
    still ordered approximately by time.
    """

    __slots__ = ("_wall", "value")

    def __init__(self, wall: Callable[[], float]):
        self._wall = wall
        self.value = 0

    def tick(self) -> int:
        """Advance the clock and return the value for an event that happens now."""
        now = int(self._wall() * MICROSECONDS_PER_S)
        after = self.value + 1
        self.value = min(MAX_CLOCK_US, now if now > after else after)
        return self.value

    def observe(self, received: int) -> None:
        """Merge the clock value from another process's message.

        Parameters
        ----------
        received : int
            The message's value; 0 if the sender has no clock. A value out of range is
            ignored.
        """
        if self.value < received <= MAX_CLOCK_US:
            self.value = received


process_clock = CausalClock(RealTimers.wall)
"""The clock of this process, shared by its logs and its links to other routers."""
