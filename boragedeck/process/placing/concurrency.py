"""Adaptive limit on concurrent requests at one upstream."""

from boragedeck.process.placing.load import LoadReport

__all__ = ["ConcurrencyLimit"]

INITIAL_LIMIT = 12.0
SLOW_START_FACTOR = 1.5
MIN_LIMIT = 1.0
MAX_LIMIT = 1024.0
ADDITIVE_INCREASE = 1.0
DECREASE_FACTOR = 0.9
IN_USE_SHARE = 0.8
TOLERATED_SLOWDOWN = 3.0
ADJUST_INTERVAL_S = 0.5
MAX_UPSTREAM_QUEUE = 1
LATENCY_EWMA_WEIGHT = 0.2
BASE_LATENCY_RISE = 0.002
MIN_LATENCY_S = 0.005


class ConcurrencyLimit:
    """Limit on concurrent requests, adapted to an upstream's latency and reports.

    Parameters
    ----------
    weight : float
        Relative capacity of the upstream, which scales the initial limit.

    Attributes
    ----------
    value : float
        The current limit.
    is_known : bool
        Whether overload has been observed, so that the limit reflects the capacity.

    Notes
    -----
    The limit increases additively while it is in use (multiplicatively until
    overload is first observed), and decreases multiplicatively if the smoothed latency
    exceeds `TOLERATED_SLOWDOWN` times the base latency. If an upstream reports a queue
    of its own, the number of running requests is its batch size, and the limit falls
    to about that number. Requests then wait in the router, which applies fairness and
    the priority of resumes. State: six fields.
    """

    def __init__(self, weight: float = 1.0):
        self.value = max(MIN_LIMIT, INITIAL_LIMIT * weight)
        self._mean_latency_s: float | None = None
        self._base_latency_s = float("inf")
        self._adjusted_at = float("-inf")
        self.is_known = False

    def observe_latency(self, latency_s: float, in_flight: int, now: float) -> None:
        """Adapt to one request's latency.

        Parameters
        ----------
        latency_s : float
            Time to first token without the prefill time, or a call's duration, in
            seconds.
        in_flight : int
            Estimated number of requests at the upstream.
        now : float
            Monotonic time in seconds.
        """
        latency_s = max(latency_s, MIN_LATENCY_S)
        if self._mean_latency_s is None:
            self._mean_latency_s = latency_s
        self._mean_latency_s += LATENCY_EWMA_WEIGHT * (latency_s - self._mean_latency_s)
        # The base latency rises slowly, to adapt to a permanent change.
        self._base_latency_s = min(
            latency_s, self._base_latency_s * (1.0 + BASE_LATENCY_RISE)
        )
        if self._mean_latency_s > TOLERATED_SLOWDOWN * self._base_latency_s:
            self.is_known = True
            self._adjust(DECREASE_FACTOR * self.value, now)
        elif in_flight >= IN_USE_SHARE * self.value:
            self._adjust(self._increased(), now)

    def observe_report(self, report: LoadReport, now: float) -> None:
        """Adapt to the upstream's load report."""
        if report.waiting > MAX_UPSTREAM_QUEUE:
            self.is_known = True
            self._adjust(min(self.value, report.running + MAX_UPSTREAM_QUEUE), now)
        elif report.waiting == 0 and report.running >= IN_USE_SHARE * self.value:
            self._adjust(self._increased(), now)

    def _increased(self) -> float:
        if self.is_known:
            return self.value + ADDITIVE_INCREASE
        return max(self.value + ADDITIVE_INCREASE, SLOW_START_FACTOR * self.value)

    def _adjust(self, value: float, now: float) -> None:
        if now - self._adjusted_at >= ADJUST_INTERVAL_S:
            self._adjusted_at = now
            self.value = min(MAX_LIMIT, max(MIN_LIMIT, value))
