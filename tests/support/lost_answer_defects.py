"""Seeded defects in what a lost or broken answer means, each with its test."""

from boragedeck.connection.exchange import Exchange
from boragedeck.connection.upstream_connection import UpstreamConnection
from boragedeck.exceptions import UpstreamError
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_stream import StreamRelay
from tests.support.method_defects import MethodDefect

__all__ = ["LOST_ANSWER_DEFECTS"]

CALLS = "tests.request.test_relay_call"

_read = Exchange.read
_receive = UpstreamConnection.receive


def _end_at_an_error(self, timeout_s):
    try:
        return _read(self, timeout_s)
    except UpstreamError:
        self._is_complete = True
        return b""


def _end_at_a_reset(self):
    try:
        return _receive(self)
    except OSError:
        return b""


LOST_ANSWER_DEFECTS = (
    MethodDefect(
        "a lost answer means that a call has not run",
        f"{CALLS}.CallTest"
        ".test_call_that_may_run_once_is_not_repeated_after_a_lost_answer",
        RelayJob,
        "may_have_run",
        property(lambda self: False),
    ),
    MethodDefect(
        "an answer that was cut short is whole",
        f"{CALLS}.BadAnswerTest.test_truncated_answer_gives_502",
        Exchange,
        "read",
        _end_at_an_error,
    ),
    MethodDefect(
        "a reset ends an answer without a length",
        f"{CALLS}.BadAnswerTest.test_reset_answer_without_length_gives_502",
        UpstreamConnection,
        "receive",
        _end_at_a_reset,
    ),
    MethodDefect(
        "a stream does not go on after a reset of its link",
        "tests.request.test_relay_paths.OldLinksTest"
        ".test_streams_on_links_that_are_reset_go_on_through_another_router",
        StreamRelay,
        "_may_resume",
        lambda self: False,
    ),
)
