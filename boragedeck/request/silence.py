"""When a stream that sends nothing is suspected, from its gaps and its upstream."""

from boragedeck.process.pulse import UpstreamActivity

__all__ = ["GapHistory"]

FIRST_TOKEN_SUSPECT_S = 2.0
MIN_SUSPECT_S = 0.3
MAX_SUSPECT_S = 1.2
TOGETHER_SUSPECT_S = 1.5
MAX_SLOW_SUSPECT_S = 4.0
ALONE_S = 0.1
DEVIATIONS = 8.0
GAIN = 0.1


class GapHistory:
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
        self._last: float | None = None
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._pulse: UpstreamActivity | None = None

    def follow(self, pulse: UpstreamActivity) -> None:
        """Compare with the other streams of an upstream from now on."""
        self._pulse = pulse

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
        if self._pulse is not None:
            usual_s = self._mean_s or gap
            self._pulse.record_output(
                id(self), now, gap / usual_s if usual_s > 0 else 1.0
            )
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
        limit = min(MAX_SUSPECT_S, max(MIN_SUSPECT_S, limit))
        if self._pulse is None:
            return limit
        limit *= self._pulse.slowness()
        if self._are_others_silent():
            limit = max(limit, TOGETHER_SUSPECT_S)
        return min(MAX_SLOW_SUSPECT_S, limit)

    def _are_others_silent(self) -> bool:
        other_output_at = self._pulse.other_output_at(id(self), self._last)
        return other_output_at is not None and other_output_at < self._last + ALONE_S
