"""Seeded defects in what a reset connection costs, each with its test."""

from boragedeck.connection.upstream_connection import UpstreamConnection
from boragedeck.request.relay_call import CallRelay
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_stream import StreamRelay
from tests.support.method_defects import MethodDefect

__all__ = ["FULL_REPLICA_DEFECTS"]

TESTS = "tests.request.test_full_replicas.FullReplicaTest"

FULL_REPLICA_DEFECTS = (
    MethodDefect(
        "a reset means that a call has not run",
        f"{TESTS}.test_call_that_may_run_once_runs_again_after_a_reset",
        RelayJob,
        "may_have_run",
        property(lambda self: False),
    ),
    MethodDefect(
        "a call is not repeated after a reset",
        f"{TESTS}.test_idempotent_calls_beyond_the_connections_are_lost",
        CallRelay,
        "_start_further_attempt",
        lambda self: None,
    ),
    MethodDefect(
        "attempts are not limited",
        f"{TESTS}.test_call_is_sent_more_often_than_allowed_if_all_replicas_are_full",
        RelayJob,
        "has_attempts_left",
        lambda self, extra_attempts=0: True,
    ),
    MethodDefect(
        "a stream does not go on after a reset",
        f"{TESTS}.test_streams_beyond_the_connections_are_lost",
        StreamRelay,
        "_may_resume",
        lambda self: False,
    ),
    MethodDefect(
        "a kept connection is used though it was reset",
        f"{TESTS}.test_kept_connection_that_was_reset_costs_the_next_call",
        UpstreamConnection,
        "is_open_and_empty",
        lambda self: True,
    ),
)
