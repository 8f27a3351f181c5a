"""Seeded defects in ending work that outlives a connection, each with its test."""

from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_stream import StreamRelay
from boragedeck.request.stream_attempt import StreamAttempt
from tests.support.method_defects import MethodDefect

__all__ = ["LASTING_WORK_DEFECTS"]

TESTS = "tests.request.test_lasting_work.LastingWorkTest"

# The connections stay open, as nothing else holds them.
_left_open = []
_begin = StreamAttempt.__init__


def _leave_open(self, conn, is_complete):
    _left_open.append(conn)


def _begin_without_position(self, job, place, position, report, **fields):
    _begin(self, job, place, None, report, **fields)


LASTING_WORK_DEFECTS = (
    MethodDefect(
        "a call whose caller left stays connected",
        f"{TESTS}.test_call_is_sent_elsewhere_after_its_caller_left",
        UpstreamPool,
        "_release",
        _leave_open,
    ),
    MethodDefect(
        "a stream whose caller left stays connected",
        f"{TESTS}.test_stream_is_sent_elsewhere_after_its_caller_left",
        UpstreamPool,
        "_release",
        _leave_open,
    ),
    MethodDefect(
        "a silent attempt stays connected after another leads",
        f"{TESTS}.test_events_of_a_silent_run_that_goes_on_come_twice",
        StreamRelay,
        "_let_lead",
        lambda self, attempt: None,
    ),
    MethodDefect(
        "a stream that was lost has not run",
        f"{TESTS}.test_stream_that_may_run_once_runs_again_after_a_loss",
        RelayJob,
        "may_have_run",
        property(lambda self: False),
    ),
    MethodDefect(
        "a stream goes on without its position",
        f"{TESTS}.test_events_of_a_lost_run_that_goes_on_come_twice",
        StreamAttempt,
        "__init__",
        _begin_without_position,
    ),
)
