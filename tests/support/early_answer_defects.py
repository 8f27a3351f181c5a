"""Seeded defects in answers that come before a body was read, each with its test."""

from boragedeck.connection.upstream_connection import UpstreamConnection
from tests.support.method_defects import MethodDefect

__all__ = ["EARLY_ANSWER_DEFECTS"]

TESTS = "tests.request.test_early_answers.EarlyAnswerTest"

_send_part = UpstreamConnection._send_part
_receive = UpstreamConnection.receive


def _raise_at_once(self):
    _send_part(self)
    if self._error is not None:
        raise self._error


def _end_after_a_failed_send(self):
    if self._error is None:
        return _receive(self)
    return self.sock.fd.recv(1000)


def _wait_until_all_is_sent(self):
    while self._unsent and self._error is None:
        self._send_part()


EARLY_ANSWER_DEFECTS = (
    MethodDefect(
        "a connection is kept though a body isn't sent",
        f"{TESTS}.test_next_call_is_put_where_the_rest_of_a_body_is_due",
        UpstreamConnection,
        "has_unsent",
        property(lambda self: False),
    ),
    MethodDefect(
        "a send that fails loses the answer before it",
        f"{TESTS}.test_answer_is_lost_with_a_connection_that_was_closed_early",
        UpstreamConnection,
        "_send_part",
        _raise_at_once,
    ),
    MethodDefect(
        "a reset is an end after a send that failed",
        f"{TESTS}.test_early_answer_without_length_looks_complete_after_a_reset",
        UpstreamConnection,
        "receive",
        _end_after_a_failed_send,
    ),
    MethodDefect(
        "events wait until the body is sent",
        f"{TESTS}.test_events_wait_until_the_body_is_read",
        UpstreamConnection,
        "send_rest",
        _wait_until_all_is_sent,
    ),
)
