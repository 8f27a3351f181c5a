"""Prometheus metrics of what a process holds for its callers."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from boragedeck.connection.memory_budget import MemoryBudget, Use
from boragedeck.connection.reservation import BudgetEvent

__all__ = ["BudgetMetrics"]


class BudgetMetrics:
    """The metrics of a memory budget and of the connections of callers.

    Parameters
    ----------
    registry : CollectorRegistry
        Registers the metrics.
    budget : MemoryBudget
        The budget.

    Attributes
    ----------
    closed_idle : Counter
        Idle connections that were closed for new ones.
    """

    def __init__(self, registry: CollectorRegistry, budget: MemoryBudget):
        self._events = Counter(
            "boragedeck_budget_events",
            "Requests that found no room for their bytes, or were cut for others.",
            ["event"],
            registry=registry,
        )
        held = Gauge(
            "boragedeck_held_bytes",
            "Bytes that are held for callers, by use.",
            ["use"],
            registry=registry,
        )
        for use in Use:
            held.labels(use.value).set_function(lambda use=use: budget.held[use])
        limit = Gauge(
            "boragedeck_budget_bytes",
            "The most bytes that may be held for callers.",
            registry=registry,
        )
        limit.set(budget.limit_bytes)
        self.closed_idle = Counter(
            "boragedeck_closed_idle",
            "Idle connections of callers that were closed for new ones.",
            registry=registry,
        )

    def note_event(self, event: BudgetEvent) -> None:
        """Count what the budget has done to a request."""
        self._events.labels(event.value).inc()
