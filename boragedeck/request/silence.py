"""When a stream that sends nothing is suspected, from its gaps and its upstream."""

from boragedeck.process.pulse import Pulse

__all__ = ["GapEstimator"]

FIRST_TOKEN_SUSPECT_S = 2.0
MIN_SUSPECT_S = 0.3
MAX_SUSPECT_S = 1.2
ALL_SILENT_SUSPECT_S = 1.5
MAX_SLOW_SUSPECT_S = 4.0
ALONE_MARGIN_S = 0.1
SUSPECT_DEVIATIONS = 8.0
ESTIMATE_GAIN = 0.1


class GapEstimator:
    """Mean and deviation of the gaps between a stream's chunks.

    Notes
    -----
    The estimate follows the round-trip estimator of TCP [1]_: a gap is suspicious
    when it is longer than the mean by several mean deviations. A stream that falls
    silent while others of its upstream go on is suspected by that alone. Where all
    fell silent together, the engine may be busy with a long prefill, and where all
    are slow, gaps are long for all: both are given more time.

    References
    ----------
    .. [1] V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988.
    """

    def __init__(self) -> None:
        self._last_output_at: float | None = None
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._pulse: Pulse | None = None

    def compare_with(self, pulse: Pulse) -> None:
        """Compare with the other streams of an upstream from now on."""
        self._pulse = pulse

    def note(self, now: float) -> None:
        """Note that output has come.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        last, self._last_output_at = self._last_output_at, now
        if last is None:
            return
        gap = now - last
        if self._pulse is not None:
            mean_s = self._mean_s or gap
            self._pulse.note(id(self), now, gap / mean_s if mean_s > 0 else 1.0)
        if self._mean_s is None:
            self._mean_s = gap
            self._deviation_s = gap / 2.0
            return
        error = gap - self._mean_s
        self._mean_s += ESTIMATE_GAIN * error
        self._deviation_s += ESTIMATE_GAIN * (abs(error) - self._deviation_s)

    def suspect_after_s(self) -> float:
        """Return how long a silence is suspicious, in seconds."""
        if self._last_output_at is None:
            return FIRST_TOKEN_SUSPECT_S
        if self._mean_s is None:
            return MAX_SUSPECT_S
        limit = self._mean_s + SUSPECT_DEVIATIONS * self._deviation_s
        limit = min(MAX_SUSPECT_S, max(MIN_SUSPECT_S, limit))
        if self._pulse is None:
            return limit
        limit *= self._pulse.slowness()
        if self._all_fell_silent():
            limit = max(limit, ALL_SILENT_SUSPECT_S)
        return min(MAX_SLOW_SUSPECT_S, limit)

    def _all_fell_silent(self) -> bool:
        others_at = self._pulse.others_at(id(self), self._last_output_at)
        return (
            others_at is not None and others_at < self._last_output_at + ALONE_MARGIN_S
        )
