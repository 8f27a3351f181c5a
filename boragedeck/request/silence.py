"""When a stream that sends nothing is suspected, from its own gap history."""

__all__ = ["GapHistory"]

FIRST_TOKEN_SUSPECT_S = 2.0
MIN_SUSPECT_S = 0.3
MAX_SUSPECT_S = 1.2
DEVIATIONS = 8.0
GAIN = 0.1


class GapHistory:
    """Mean and deviation of the gaps between a stream's chunks.

    Notes
    -----
    The estimate follows the round-trip estimator of TCP [1]_: a gap is suspicious
    when it is longer than the mean by several mean deviations.

    References
    ----------
    .. [1] V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988.
    """

    def __init__(self) -> None:
        self._last: float | None = None
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def note(self, now: float) -> None:
        """Note that output has come.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        last, self._last = self._last, now
        if last is None:
            return
        gap = now - last
        if self._mean_s is None:
            self._mean_s = gap
            self._deviation_s = gap / 2.0
            return
        error = gap - self._mean_s
        self._mean_s += GAIN * error
        self._deviation_s += GAIN * (abs(error) - self._deviation_s)

    def suspect_after_s(self) -> float:
        """Return how long a silence is suspicious, in seconds."""
        if self._last is None:
            return FIRST_TOKEN_SUSPECT_S
        if self._mean_s is None:
            return MAX_SUSPECT_S
        limit = self._mean_s + DEVIATIONS * self._deviation_s
        return min(MAX_SUSPECT_S, max(MIN_SUSPECT_S, limit))
