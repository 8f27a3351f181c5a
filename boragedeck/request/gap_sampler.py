"""Measures how fast a running stream's events follow each other."""

__all__ = ["GapSampler"]

SAMPLE_AFTER_S = 1.0
"""How long after a run's first output its mean gap is taken: soon enough to judge a
version by streams that still run."""


class GapSampler:
    """Takes the mean gap between the events of a run, once, soon after its start."""

    def __init__(self) -> None:
        self._first_at: float | None = None
        self._events = 0
        self._is_taken = False

    def note(self, events: int, now: float) -> float | None:
        """Record that events arrived.

        Parameters
        ----------
        events : int
            The number of events.
        now : float
            The current time in seconds.

        Returns
        -------
        float or None
            The mean gap in seconds, if it is taken now.
        """
        if self._first_at is None:
            self._first_at = now
            return None
        self._events += events
        if self._is_taken or now - self._first_at < SAMPLE_AFTER_S:
            return None
        self._is_taken = True
        return (now - self._first_at) / self._events
