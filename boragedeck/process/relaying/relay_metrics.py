"""Counters and histograms of relayed requests."""

import enum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from boragedeck.connection.caller_ends import UnansweredReason
from boragedeck.connection.upstream_pool import OpenReason
from boragedeck.process.relaying.scheduling.decisions import Decision

__all__ = ["OrderCheck", "RelayMetrics"]

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 4.5, 8.0, 15.0, 25.0)

MAX_COUNTED_PRIORITY = 9
"""Less urgent priorities are counted as this one, so that labels are bounded."""


class OrderCheck(enum.Enum):
    """Where it is checked that the events of a stream follow each other."""

    READ = "read"
    """Where they are read from a replica."""
    WRITTEN = "written"
    """Where they are written to the caller."""


class RelayMetrics:
    """The metrics of relayed requests.

    Parameters
    ----------
    registry : CollectorRegistry
        Registers the metrics.
    """

    def __init__(self, registry: CollectorRegistry):
        self.registry = registry
        self.requests = Counter(
            "boragedeck_relay_requests",
            "Requests by kind and outcome.",
            ["kind", "outcome"],
            registry=registry,
        )
        self.unanswered = Counter(
            "boragedeck_unanswered",
            "Requests that were read and have no whole answer, by reason.",
            ["reason"],
            registry=registry,
        )
        self.attempts = Counter(
            "boragedeck_relay_attempts",
            "Attempts at replicas by kind and outcome.",
            ["kind", "outcome"],
            registry=registry,
        )
        self.answers = Counter(
            "boragedeck_relay_answers",
            "Heads of replicas' answers by whether they belong to the request.",
            ["match"],
            registry=registry,
        )
        self.connections = Counter(
            "boragedeck_replica_connections",
            "Connections to replicas that were opened, by reason.",
            ["reason"],
            registry=registry,
        )
        self.oversized_answers = Counter(
            "boragedeck_relay_excess",
            "Attempts ended because the replica's answer exceeded the allowed size.",
            ["kind"],
            registry=registry,
        )
        self.order_breaks = Counter(
            "boragedeck_relay_order_breaks",
            "Streams in which an event is missing or repeated, by where it was found.",
            ["found_at"],
            registry=registry,
        )
        self.unread_streams = Counter(
            "boragedeck_relay_unread_streams",
            "Streams whose replica was not read on until their caller had read.",
            registry=registry,
        )
        self.silences = Counter(
            "boragedeck_relay_silences",
            "Attempts whose replica sent nothing and answered no probe, by kind.",
            ["kind"],
            registry=registry,
        )
        self.leaving = Counter(
            "boragedeck_replicas_leaving",
            "Replicas that were found to be leaving by an answer, here or elsewhere.",
            registry=registry,
        )
        self.successors = Counter(
            "boragedeck_replica_successors",
            "Replicas under another id at a known address, by who found them.",
            ["outcome"],
            registry=registry,
        )
        self.held_off = Counter(
            "boragedeck_replicas_held_off",
            "Answers by which a replica asked this router to wait.",
            registry=registry,
        )
        self.slow_replicas = Gauge(
            "boragedeck_slow_replicas",
            "Replicas that are estimated to be slower than the median of their pool.",
            registry=registry,
        )
        self.limit_changes = Counter(
            "boragedeck_replica_limit_changes",
            "Changes of the limits that replicas name, as this router learnt of them.",
            ["change"],
            registry=registry,
        )
        self.brittle_changes = Counter(
            "boragedeck_replica_brittle_changes",
            "Replicas that this router learnt to be brittle, or sound again.",
            ["change"],
            registry=registry,
        )
        self.room_denied = Counter(
            "boragedeck_brittle_room_denied",
            "Requests that found no room at a brittle replica.",
            registry=registry,
        )
        self.crash_verdicts = Counter(
            "boragedeck_crash_verdicts",
            "Verdicts that this router published as the judge of crashes, by state.",
            ["state"],
            registry=registry,
        )
        self.crashes_reported = Counter(
            "boragedeck_crashes_reported",
            "Replicas that this router reported as crashed under its requests.",
            registry=registry,
        )
        self.peers = Gauge(
            "boragedeck_peers",
            "Routers that this one has linked to, by build and protocol.",
            ["build", "protocol"],
            registry=registry,
        )
        self.build = Gauge(
            "boragedeck_build_info",
            "The build that this process runs; always 1.",
            ["build", "protocol"],
            registry=registry,
        )
        self.table_age = Gauge(
            "boragedeck_table_age_seconds",
            "How long ago this router's copy of a table was the store's newest state.",
            ["table"],
            registry=registry,
        )
        self.reachable_share = Gauge(
            "boragedeck_reachable_share",
            "Share of the routers that this one reaches.",
            registry=registry,
        )
        self.limited_sends = Counter(
            "boragedeck_limited_sends",
            "Questions whether a request may be sent to a limited replica, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.first_output_s = Histogram(
            "boragedeck_relay_first_output_seconds",
            "From a request's arrival to the first part of its answer.",
            ["kind"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.total_s = Histogram(
            "boragedeck_relay_whole_seconds",
            "From a request's arrival to the end of its answer.",
            ["kind"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.resume_s = Histogram(
            "boragedeck_relay_resume_seconds",
            "From the loss of a stream to its next event.",
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.waiting = Gauge(
            "boragedeck_relay_waiting", "Requests that wait.", registry=registry
        )
        self.queue_decisions = Counter(
            "boragedeck_queue_decisions",
            "Requests that found no free place in a pool with priorities, by outcome.",
            ["priority", "outcome"],
            registry=registry,
        )
        self.queue_wait_s = Histogram(
            "boragedeck_queue_wait_seconds",
            "From no free place to the end of the wait, in pools with priorities.",
            ["priority"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.store_calls = Counter(
            "boragedeck_store_calls",
            "Calls to the platform's store by kind, table and outcome.",
            ["kind", "table", "outcome"],
            registry=registry,
        )
        self.lost_paths = Gauge(
            "boragedeck_lost_replica_paths",
            "Replicas that are reached through other routers only, or not at all.",
            ["state"],
            registry=registry,
        )
        self.forwards_sent = Counter(
            "boragedeck_forwards_sent",
            "Attempts that this router sent through another router, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.forwards_served = Counter(
            "boragedeck_forwards_served",
            "Attempts that this router forwarded for another one, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.store_restored = Counter(
            "boragedeck_store_restored",
            "Tables that were replaced since the store was restored from a copy.",
            ["table"],
            registry=registry,
        )
        self.dropped_logs = Gauge(
            "boragedeck_log_lines_dropped", "Log lines dropped.", registry=registry
        )

    def note_unanswered(self, reason: UnansweredReason) -> None:
        """Count a request that was read and has no whole answer."""
        self.unanswered.labels(reason.value).inc()

    def note_decision(self, decision: Decision) -> None:
        """Count how a request ended that found no free place."""
        if decision.outcome is None:
            return
        priority = str(min(MAX_COUNTED_PRIORITY, max(0, decision.priority)))
        self.queue_decisions.labels(priority, decision.outcome.value).inc()
        self.queue_wait_s.labels(priority).observe(decision.waited_s)

    def note_connection(self, reason: OpenReason) -> None:
        """Count a connection to a replica that was opened."""
        self.connections.labels(reason.value).inc()
