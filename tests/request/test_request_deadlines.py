import unittest

from boragedeck.connection.request_body import RequestBody
from boragedeck.request.relay_request import RelayRequest
from boragedeck.request.request_deadlines import RequestDeadlines, request_deadlines
from tests.support.replicas import stream_rule

ARRIVED = 100.0
RECEIVED = 101.5


class RequestDeadlinesTest(unittest.TestCase):
    def assert_deadlines(self, caller_s, route_s, *expected):
        req = RelayRequest(
            request_id="id-1",
            method=b"POST",
            target=b"/r/x",
            host="here.example",
            path="/r/x",
            headers=[],
            body=RequestBody(),
            key=None,
            caller_timeout_s=caller_s,
            arrived=ARRIVED,
            received=RECEIVED,
        )
        found = request_deadlines(req, stream_rule(timeout_s=route_s))
        self.assertEqual(found, RequestDeadlines(*expected))

    def test_only_the_final_answer_is_due_before_the_callers_time(self):
        self.assert_deadlines(4.0, 8.0, 103.95, 105.5)
        self.assert_deadlines(0.5, 8.0, 100.475, 102.0)

    def test_route_timeout_has_no_margin(self):
        self.assert_deadlines(8.0, 4.0, 104.0, 105.5)
        self.assert_deadlines(None, 4.0, 104.0, 105.5)
