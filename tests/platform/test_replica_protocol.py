import unittest

from boragedeck.connection.http_message import AnswerHead
from boragedeck.connection.request_body import RequestBody
from boragedeck.connection.sent_requests import AnswerMatch
from boragedeck.platform.replica_protocol import HttpReplicaProtocol
from boragedeck.request.relay_request import AttemptPlan, RelayRequest
from tests.support.admission_plays import replica


def notice(status, *headers):
    return HttpReplicaProtocol().notice(AnswerHead(status, list(headers)))


class NoticeTest(unittest.TestCase):
    def hold(self, *values):
        headers = [(b"Retry-After", value) for value in values]
        return notice(503, *headers).hold_off

    def test_leaving_is_read_from_any_status(self):
        for status in (200, 404, 421, 500, 503):
            self.assertTrue(notice(status, (b"server-leaving", b"1")).is_leaving)
            self.assertFalse(notice(status, (b"Server-Leaving", b"0")).is_leaving)
            self.assertFalse(notice(status).is_leaving)

    def test_seconds_may_have_fractions(self):
        self.assertEqual(self.hold(b"2").asked_s, 2.0)
        self.assertEqual(self.hold(b"0.25").asked_s, 0.25)

    def test_longest_of_several_waits_is_used(self):
        self.assertEqual(self.hold(b"1", b"3", b"soon").asked_s, 3.0)

    def test_invalid_retry_after_gives_no_time(self):
        date = b"Fri, 04 Dec 2026 12:00:00 GMT"
        for value in (b"", b"-1", b"nan", b"inf", b"soon", date, b"9" * 400):
            hold = self.hold(value)
            self.assertIsNone(hold.asked_s, value)
            self.assertLessEqual(len(hold.text), 100)

    def test_hold_off_needs_status_503_and_a_value(self):
        self.assertIsNone(notice(503).hold_off)
        self.assertIsNone(notice(429, (b"Retry-After", b"5")).hold_off)
        self.assertIsNone(notice(200, (b"Retry-After", b"5")).hold_off)

    def test_limit_is_read_from_any_status(self):
        for status in (200, 404, 421, 500, 503):
            limit = notice(status, (b"server-limit", b"1.5")).rate_limit
            self.assertEqual(limit.per_s, 1.5)
            self.assertIsNone(notice(status).rate_limit)

    def test_rejection_limit_is_read_from_any_status(self):
        for status in (200, 404, 421, 500, 503):
            limit = notice(status, (b"server-brittle", b"3")).rejection_limit
            self.assertEqual(limit.per_s, 3.0)
            self.assertIsNone(notice(status).rejection_limit)
        limit = notice(200, (b"Server-Brittle", b"few")).rejection_limit
        self.assertIsNone(limit.per_s)

    def test_lowest_of_several_limits_is_used(self):
        headers = [(b"Server-Limit", value) for value in (b"3", b"0.5", b"few")]
        self.assertEqual(notice(200, *headers).rate_limit.per_s, 0.5)

    def test_limit_that_cannot_be_parsed_has_no_rate(self):
        for value in (b"", b"-1", b"nan", b"inf", b"few"):
            limit = notice(200, (b"Server-Limit", value)).rate_limit
            self.assertIsNone(limit.per_s, value)


class MessageTest(unittest.TestCase):
    def priority(self, value):
        req = RelayRequest(
            request_id="id-1",
            method=b"POST",
            target=b"/",
            host="h",
            path="/",
            headers=[],
            body=RequestBody(),
            key=None,
            caller_timeout_s=None,
            arrived=0.0,
            received=0.0,
        )
        entry = replica("one", "engines")
        plan = AttemptPlan(replica=entry, organisation=None, left_s=1.0, priority=value)
        headers = HttpReplicaProtocol().message(req, plan).headers
        return [each for name, each in headers if name == b"Request-Priority"]

    def test_priority_is_sent_within_the_range_of_the_engines(self):
        for value, sent in ((-3, b"0"), (0, b"0"), (5, b"5"), (9, b"9"), (12, b"9")):
            self.assertEqual(self.priority(value), [sent])

    def test_no_priority_is_sent_if_none_is_planned(self):
        self.assertEqual(self.priority(None), [])


class VerdictTest(unittest.TestCase):
    def test_misdirected_answer_with_an_empty_id_names_no_replica(self):
        for value, expected in ((b"", None), (b"two", "two")):
            head = AnswerHead(421, [(b"Instance-Id", value)])
            verdict = HttpReplicaProtocol().verdict(head, AnswerMatch.OWN)
            self.assertEqual(verdict.actual_replica, expected)
