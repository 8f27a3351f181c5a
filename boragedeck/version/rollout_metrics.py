"""Prometheus metrics of rollouts."""

from prometheus_client import CollectorRegistry, Counter, Gauge

__all__ = ["RolloutMetrics"]


class RolloutMetrics:
    """Metrics of the rollouts in which one router takes part.

    Parameters
    ----------
    registry : CollectorRegistry, optional
        Registry for the metrics; a new one by default.
    """

    def __init__(self, registry: CollectorRegistry | None = None):
        registry = registry or CollectorRegistry()
        self.requests = Counter(
            "boragedeck_rollout_requests_total",
            "New requests by the version chosen for them.",
            ["route", "version"],
            registry=registry,
        )
        self.share = Gauge(
            "boragedeck_rollout_share",
            "Share of the new version in the row that is known here.",
            ["route", "version"],
            registry=registry,
        )
        self.evidence = Gauge(
            "boragedeck_rollout_evidence_nats",
            "Evidence against the new version.",
            ["route"],
            registry=registry,
        )
        self.stops = Counter(
            "boragedeck_rollout_stops_total",
            "Attempts that this router stopped on its own evidence.",
            ["route"],
            registry=registry,
        )
        self.outcomes = Counter(
            "boragedeck_rollout_outcomes_total",
            "Outcomes of attempts that this router learned of.",
            ["route", "state"],
            registry=registry,
        )
        self.disputed = Gauge(
            "boragedeck_rollout_disputed",
            "Whether this router stays on the old version though the row says done.",
            ["route"],
            registry=registry,
        )
        self.commits = Counter(
            "boragedeck_rollout_commits_total",
            "Writes of rollout rows that this router led, by result.",
            ["result"],
            registry=registry,
        )
