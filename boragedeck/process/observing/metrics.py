"""Prometheus metrics of the process."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

__all__ = ["Metrics"]

LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.31, 0.5, 1.0, 2.0, 4.0, 10.0, 60.0,
)  # fmt: skip


class Metrics:
    """All metrics that a router exports.

    Parameters
    ----------
    registry : CollectorRegistry, optional
        The registry of the metrics; a new one by default, so that several routers
        can run in one process.
    """

    def __init__(self, registry: CollectorRegistry | None = None):
        self.registry = registry or CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by route and status.", "route", "status"
        )
        self.tokens = self._counter("tokens", "Tokens accepted into answers.", "route")
        self.unread_tokens = self._counter(
            "unread_tokens", "Tokens accepted that no caller has read.", "route"
        )
        self.discarded_tokens = self._counter(
            "discarded_tokens", "Tokens of runs that lost against another.", "route"
        )
        self.resumes = self._counter(
            "resumes", "Runs that went on from a prefix.", "route", "cause"
        )
        self.takeovers = self._counter("takeovers", "Answers taken over.", "cause")
        self.uncopied_tokens = self._counter(
            "uncopied_tokens", "Tokens delivered without a copy elsewhere."
        )
        self.stale_appends = self._counter(
            "stale_appends", "Batches refused since another router owns the answer."
        )
        self.first_token_s = self._histogram(
            "first_token_seconds", "Time to the first token.", "route"
        )
        self.resume_s = self._histogram(
            "resume_seconds", "From the loss of a run to the next token.", "cause"
        )
        self.answers = Gauge(
            "boragedeck_answers",
            "Answers in memory by state.",
            ["state"],
            registry=self.registry,
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"boragedeck_{name}", text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str, *labels: str) -> Histogram:
        return Histogram(
            f"boragedeck_{name}",
            text,
            labels,
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
