"""Seeded defects in answers that come before a body was read, each with its test."""

from boragedeck.connection.exchange import Exchange
from boragedeck.connection.upstream_connection import UpstreamConnection
from tests.support.method_defects import MethodDefect

__all__ = ["EARLY_ANSWER_DEFECTS"]

TESTS = "tests.request.test_early_answers.EarlyAnswerTest"
UPLOADS = "tests.request.test_early_answers.UnreadUploadTest"
CONNECTION = "tests.connection.test_upstream_connection"

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


_is_open_and_empty = UpstreamConnection.is_open_and_empty


def _look_and_forget(self):
    error = self._error
    is_open = _is_open_and_empty(self)
    self._error = error
    return is_open


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
        f"{CONNECTION}.ResetTest.test_reset_is_an_end_after_a_send_that_failed",
        UpstreamConnection,
        "receive",
        _end_after_a_failed_send,
    ),
    MethodDefect(
        "a look at a connection hides its reset",
        f"{CONNECTION}.ResetTest.test_reset_is_an_end_after_a_look_at_the_connection",
        UpstreamConnection,
        "is_open_and_empty",
        _look_and_forget,
    ),
    MethodDefect(
        "an answer without a length ends amid its request",
        f"{UPLOADS}.test_end_of_the_connection_amid_an_upload_looks_like_the_end",
        Exchange,
        "_check_upload",
        lambda self: None,
    ),
    MethodDefect(
        "events wait until the body is sent",
        f"{TESTS}.test_events_wait_until_the_body_is_read",
        UpstreamConnection,
        "send_rest",
        _wait_until_all_is_sent,
    ),
)
