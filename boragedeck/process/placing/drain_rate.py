"""Rate at which slots of one pool are released in this router."""

from collections import deque

__all__ = ["DrainRate"]

WINDOW_S = 10.0
MAX_SAMPLES = 256
MIN_SAMPLES = 4


class DrainRate:
    """Rate of finished runs over a sliding window.

    Notes
    -----
    State: at most `MAX_SAMPLES` times from the last `WINDOW_S` seconds.
    """

    def __init__(self):
        self._end_times: deque[float] = deque(maxlen=MAX_SAMPLES)

    def record_end(self, now: float) -> None:
        """Record that a run has ended and released its slot."""
        self._end_times.append(now)

    def per_s(self, now: float) -> float | None:
        """Return slots released per second, or None if too few runs have ended."""
        while self._end_times and self._end_times[0] < now - WINDOW_S:
            self._end_times.popleft()
        if len(self._end_times) < MIN_SAMPLES:
            return None
        return len(self._end_times) / max(1.0, now - self._end_times[0])
