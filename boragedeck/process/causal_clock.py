"""Hybrid logical clock: orders the events of all processes causally."""

from collections.abc import Callable

from boragedeck.process.timers import RealTimers

__all__ = ["MAX_CLOCK_US", "CausalClock", "process_clock"]

MAX_CLOCK_US = 2**53 - 1
"""The highest value that is accepted and written, in microseconds; every JSON reader
holds integers up to here exactly, and it lies beyond the year 2200."""
MICROSECONDS_PER_S = 1_000_000


class CausalClock:
    """Gives each event a value above those of all events that led to it.

    Parameters
    ----------
    wall : callable
        Returns seconds since the Unix epoch; may be wrong and may step back.

    Attributes
    ----------
    value : int
        The latest value, in microseconds since the Unix epoch or above it; what a
        message to another process carries.

    Notes
    -----
    Values follow the wall clock where nothing contradicts it, so that a process that
    has just started, or has heard from nobody, still stands about where it belongs.
    """

    __slots__ = ("_wall", "value")

    def __init__(self, wall: Callable[[], float]):
        self._wall = wall
        self.value = 0

    def tick(self) -> int:
        """Return the value of an event that happens now."""
        now = int(self._wall() * MICROSECONDS_PER_S)
        after = self.value + 1
        self.value = min(MAX_CLOCK_US, now if now > after else after)
        return self.value

    def observe(self, seen: int) -> None:
        """Learn the value that a message from another process carried.

        Parameters
        ----------
        seen : int
            Its value; 0 where the sender has none. One outside the range is ignored.
        """
        if self.value < seen <= MAX_CLOCK_US:
            self.value = seen


process_clock = CausalClock(RealTimers.wall)
"""The clock of this process, which logs and links between routers share."""
