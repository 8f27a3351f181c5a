"""How fast places of one pool come free in this router."""

from collections import deque

__all__ = ["DrainRate"]

WINDOW_S = 10.0
MAX_SAMPLES = 256
MIN_SAMPLES = 4


class DrainRate:
    """Rate of finished runs over a sliding window.

    Notes
    -----
    State: at most `MAX_SAMPLES` times of the last `WINDOW_S`.
    """

    def __init__(self):
        self._end_times: deque[float] = deque(maxlen=MAX_SAMPLES)

    def record_end(self, now: float) -> None:
        """Note that a run has given its place back."""
        self._end_times.append(now)

    def per_s(self, now: float) -> float | None:
        """Return places freed a second; None where too few runs have ended."""
        while self._end_times and self._end_times[0] < now - WINDOW_S:
            self._end_times.popleft()
        if len(self._end_times) < MIN_SAMPLES:
            return None
        return len(self._end_times) / max(1.0, now - self._end_times[0])
