"""Estimates after how long a silence a stream is suspected to have failed."""

from boragedeck.process.membership.pulse import UpstreamActivity

__all__ = ["GapEstimator"]

FIRST_TOKEN_SUSPECT_S = 2.0
"""Length of a silence that is suspicious before the first output."""
MIN_SUSPECT_S = 0.3
MAX_SUSPECT_S = 1.2
ALL_SILENT_SUSPECT_S = 1.5
"""Lower limit if all streams of the upstream fell silent together."""
MAX_SLOW_SUSPECT_S = 4.0
"""Upper limit after the first output if all streams of the upstream are slow."""
ALONE_MARGIN_S = 0.1
"""A stream is silent alone if another one sent output this much later."""
SUSPECT_DEVIATIONS = 8.0
ESTIMATE_GAIN = 0.1


class GapEstimator:
    """Estimates the mean and the mean deviation of the gaps between a stream's chunks.

    Notes
    -----
    The estimate follows the round-trip estimator of TCP [1]_: a gap is suspicious if
    it exceeds the mean by several mean deviations. This limit applies to a stream that
    is silent while other streams of its upstream send output. The limit is raised if
    all streams fell silent together, because the engine may be running a long prefill,
    and if all streams are slow, because then the gaps of all are long.

    References
    ----------
    .. [1] V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988.
    """

    def __init__(self) -> None:
        self._last_output_at: float | None = None
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._activity: UpstreamActivity | None = None

    def compare_with(self, activity: UpstreamActivity) -> None:
        """Compare the stream with the other streams of its upstream from now on."""
        self._activity = activity

    def note(self, now: float) -> None:
        """Record that the stream has sent output.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        last, self._last_output_at = self._last_output_at, now
        if last is None:
            return
        gap = now - last
        if self._activity is not None:
            mean_s = self._mean_s or gap
            self._activity.record_output(
                id(self), now, gap / mean_s if mean_s > 0 else 1.0
            )
        if self._mean_s is None:
            self._mean_s = gap
            self._deviation_s = gap / 2.0
            return
        error = gap - self._mean_s
        self._mean_s += ESTIMATE_GAIN * error
        self._deviation_s += ESTIMATE_GAIN * (abs(error) - self._deviation_s)

    def suspect_after_s(self) -> float:
        """Return the length of a silence that is suspicious, in seconds."""
        if self._last_output_at is None:
            return FIRST_TOKEN_SUSPECT_S
        if self._mean_s is None:
            return MAX_SUSPECT_S
        limit = self._mean_s + SUSPECT_DEVIATIONS * self._deviation_s
        limit = min(MAX_SUSPECT_S, max(MIN_SUSPECT_S, limit))
        if self._activity is None:
            return limit
        limit *= self._activity.slowness()
        if self._all_fell_silent():
            limit = max(limit, ALL_SILENT_SUSPECT_S)
        return min(MAX_SLOW_SUSPECT_S, limit)

    def _all_fell_silent(self) -> bool:
        other_output_at = self._activity.other_output_at(id(self), self._last_output_at)
        return (
            other_output_at is not None
            and other_output_at < self._last_output_at + ALONE_MARGIN_S
        )
