"""Seeded defects in matching answers to requests, each with its test."""

from boragedeck.connection.exchange import Exchange
from boragedeck.connection.forwarding import ForwardedExchange
from boragedeck.connection.sent_requests import AnswerMatch, SentRequests
from boragedeck.platform.replica_protocol import HttpReplicaProtocol
from boragedeck.request import answer_heads, forward
from tests.support.method_defects import MethodDefect

__all__ = ["LATE_ANSWER_DEFECTS"]

TESTS = "tests.request.test_late_answers"

_match = Exchange.match


def _status_before_the_id(self, answer_id):
    match = _match(self, answer_id)
    return AnswerMatch.OWN if match is AnswerMatch.OTHER else match


def _any_id_sent_again(self, request_id):
    return not self.is_full


def _own_without_an_id(self, answer_id):
    return AnswerMatch.OWN if answer_id is None else _match(self, answer_id)


def _first_of_several_ids(self, headers):
    return next((value for name, value in headers if name == b"Request-Id"), None)


def _probes_share_connections(self, request_id):
    is_carried = hash(request_id) in self._hashes
    return not self.is_full and (request_id is None or not is_carried)


def _read_without_matching(exchange, protocol, metrics, wait):
    head = wait(exchange, exchange.head)
    return answer_heads.ReceivedHead(head, AnswerMatch.OWN, protocol.notice(head))


LATE_ANSWER_DEFECTS = (
    MethodDefect(
        "the status is believed before the id",
        f"{TESTS}.MisdirectedAnswerTest"
        ".test_late_copy_of_a_421_makes_the_next_call_run_twice",
        Exchange,
        "match",
        _status_before_the_id,
    ),
    MethodDefect(
        "an id is sent again on its connection",
        f"{TESTS}.RejectedAnswerTest"
        ".test_late_copy_of_a_503_makes_the_rejected_call_run_twice",
        SentRequests,
        "may_send",
        _any_id_sent_again,
    ),
    MethodDefect(
        "two probes share a connection",
        f"{TESTS}.ProbeTest.test_two_probes_share_a_connection",
        SentRequests,
        "may_send",
        _probes_share_connections,
    ),
    MethodDefect(
        "an answer without an id is believed",
        f"{TESTS}.NamelessAnswerTest.test_rejection_that_names_no_request_is_believed",
        Exchange,
        "match",
        _own_without_an_id,
    ),
    MethodDefect(
        "the first of several ids counts",
        f"{TESTS}.NamelessAnswerTest"
        ".test_rejection_that_names_two_requests_is_believed",
        HttpReplicaProtocol,
        "request_id",
        _first_of_several_ids,
    ),
    MethodDefect(
        "a gateway passes each answer on",
        f"{TESTS}.GatewayTest.test_late_answer_to_an_earlier_call_passes_the_gateway",
        forward,
        "read_own_head",
        _read_without_matching,
    ),
    MethodDefect(
        "an older gateway's rejections are believed",
        f"{TESTS}.GatewayTest"
        ".test_rejection_that_the_gateway_has_not_matched_is_believed",
        ForwardedExchange,
        "match",
        _match,
    ),
)
