"""Adaptive limit on the requests at one upstream."""

from boragedeck.process.load import LoadReport

__all__ = ["ConcurrencyLimit"]

FIRST_LIMIT = 12.0
SLOW_START_GROWTH = 1.5
MIN_LIMIT = 1.0
MAX_LIMIT = 1024.0
INCREASE = 1.0
DECREASE = 0.9
FULL_SHARE = 0.8
TOLERATED_SLOWDOWN = 3.0
ADJUST_INTERVAL_S = 0.5
ALLOWED_QUEUE = 1
RECENT_WEIGHT = 0.2
BASE_RISE = 0.002
MIN_BASE_S = 0.005


class ConcurrencyLimit:
    """How many requests an upstream may have, from what it shows.

    Parameters
    ----------
    weight : float
        Relative capacity, which scales the first limit.

    Attributes
    ----------
    value : float
        The limit.
    is_known : bool
        Whether the upstream has shown a limit.

    Notes
    -----
    Additive increase while the limit is in use (by a factor until the upstream has
    first shown its limit), multiplicative decrease where the recent latency is
    over `TOLERATED_SLOWDOWN` times the lowest one. An upstream that reports a queue
    of its own shows its batch size directly, and the limit falls to that, so that
    requests wait in the router, where fairness and the order of resumes apply.
    State: six fields.
    """

    def __init__(self, weight: float = 1.0):
        self.value = max(MIN_LIMIT, FIRST_LIMIT * weight)
        self._recent_s: float | None = None
        self._base_s = float("inf")
        self._adjusted_at = float("-inf")
        self.is_known = False

    def observe_latency(self, latency_s: float, in_flight: int, now: float) -> None:
        """Adapt to one request's latency.

        Parameters
        ----------
        latency_s : float
            Time to the first token, less the prefill; or a call's duration.
        in_flight : int
            Estimated requests at the upstream.
        now : float
            Monotonic time in seconds.
        """
        latency_s = max(latency_s, MIN_BASE_S)
        if self._recent_s is None:
            self._recent_s = latency_s
        self._recent_s += RECENT_WEIGHT * (latency_s - self._recent_s)
        # The base rises slowly, so that a lasting change is learned in the end.
        self._base_s = min(latency_s, self._base_s * (1.0 + BASE_RISE))
        if self._recent_s > TOLERATED_SLOWDOWN * self._base_s:
            self.is_known = True
            self._adjust(DECREASE * self.value, now)
        elif in_flight >= FULL_SHARE * self.value:
            self._adjust(self._grown(), now)

    def observe_report(self, report: LoadReport, now: float) -> None:
        """Adapt to the upstream's own report."""
        if report.waiting > ALLOWED_QUEUE:
            self.is_known = True
            self._adjust(min(self.value, report.running + ALLOWED_QUEUE), now)
        elif report.waiting == 0 and report.running >= FULL_SHARE * self.value:
            self._adjust(self._grown(), now)

    def _grown(self) -> float:
        if self.is_known:
            return self.value + INCREASE
        return max(self.value + INCREASE, SLOW_START_GROWTH * self.value)

    def _adjust(self, value: float, now: float) -> None:
        if now - self._adjusted_at >= ADJUST_INTERVAL_S:
            self._adjusted_at = now
            self.value = min(MAX_LIMIT, max(MIN_LIMIT, value))
