"""Seeded defects in deadlines and stops while timers are late, each with its test."""

from boragedeck.request.open_requests import OpenRequests
from boragedeck.request.relay_job import RelayJob
from tests.support.method_defects import MethodDefect

__all__ = ["LATE_TIMER_DEFECTS"]

TESTS = "tests.request.test_late_timers.LateTimersTest"

LATE_TIMER_DEFECTS = (
    MethodDefect(
        "a call has no time limit",
        f"{TESTS}.test_answer_is_later_than_the_timeout_allows",
        RelayJob,
        "left_s",
        lambda self: 60.0,
    ),
    MethodDefect(
        "a stop gives up at once what hasn't begun",
        f"{TESTS}.test_stop_cuts_a_call_that_ends_in_time",
        OpenRequests,
        "end_outlasting",
        lambda self, left_s: self.end_unbegun(left_s),
    ),
    MethodDefect(
        "a stop ends without last answers",
        f"{TESTS}.test_stop_leaves_a_call_without_an_answer",
        OpenRequests,
        "end_unbegun",
        lambda self, left_s: None,
    ),
)
