"""Seeded defects in leaving callers alone that weren't read, each with its test."""

from boragedeck.connection.caller_connection import CallerConnection
from tests.support.method_defects import MethodDefect

__all__ = ["UNREAD_CALLER_DEFECTS"]

TESTS = "tests.connection.test_unread_callers.UnreadCallerTest"


def _see_no_end(self, serving_thread):
    while self._is_open():
        pass


UNREAD_CALLER_DEFECTS = tuple(
    MethodDefect(
        f"a caller's end isn't seen: {name}",
        f"{TESTS}.{name}",
        CallerConnection,
        "_watch_for_disconnect",
        _see_no_end,
    )
    for name in (
        "test_call_of_a_caller_that_left_before_it_was_accepted_runs",
        "test_stream_of_a_caller_that_left_before_it_was_accepted_runs",
        "test_call_of_a_caller_that_left_its_kept_connection_runs",
        "test_call_of_a_caller_that_reset_its_connection_runs",
    )
)
