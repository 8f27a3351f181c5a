from tests.support.crowd_case import BODY_BYTES, MB, CrowdCase, request_head
from tests.support.uncontrolled_callers import CHUNK, SLOW_RECEIVE_BYTES

FILLER_BYTES = 7_500
"""A header line; the stand-in of a replica takes no line of over 8 KB."""
BODIES = 30
ANSWERS = 30
STREAMS = 30
IDLE = 200
PIPELINED = 16
REQUESTS_AHEAD = 300


def unfinished_body():
    """Return a body with its length, without its last byte."""
    head = request_head("/calls/x", f"Content-Length: {BODY_BYTES}")
    return [head, *[b"x" * CHUNK] * (BODY_BYTES // CHUNK - 1), b"x" * (CHUNK - 1)]


def unfinished_chunks():
    """Return a body in chunks, without the last one."""
    head = request_head("/calls/x", "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (CHUNK, b"x" * CHUNK)
    return [head, *[chunk] * (BODY_BYTES // CHUNK)]


class UncontrolledCallersTest(CrowdCase):
    """Crowds of callers that make a router hold memory or descriptors for them.

    They guard against a process that grows beyond its VM, or serves nobody else.
    """

    def test_bodies_that_stop_just_short_of_their_end(self):
        self.crowd.send_all(unfinished_body(), BODIES)
        self.assert_held()

    def test_bodies_in_chunks_that_stop_just_short_of_their_end(self):
        self.crowd.send_all(unfinished_chunks(), BODIES)
        self.assert_held()

    def test_large_answers_that_are_not_read(self):
        head = request_head("/calls/large", "Content-Length: 0")
        self.crowd.send_all([head], ANSWERS, SLOW_RECEIVE_BYTES)
        self.assert_held()

    def test_long_streams_that_are_not_read(self):
        head = request_head("/streams/x", "Content-Length: 0")
        self.crowd.send_all([head], STREAMS, SLOW_RECEIVE_BYTES)
        self.assert_held()

    def test_requests_sent_ahead_whose_answers_are_not_read(self):
        head = request_head("/calls/large", "Content-Length: 0")
        parts = [head] * REQUESTS_AHEAD
        self.crowd.send_all(parts, PIPELINED, SLOW_RECEIVE_BYTES)
        self.assert_held()

    def test_connections_that_stay_idle(self):
        for _ in range(IDLE):
            self.crowd.connect()
        self.assert_held()

    def test_single_requests_inside_the_limits_are_served_one_after_the_other(self):
        body = b"x" * BODY_BYTES
        for _ in range(4):
            self.assertEqual(self.call(body), (200, CHUNK))
            self.assertEqual(self.call(path="/calls/large"), (200, BODY_BYTES))
        long_head = {f"Filler-{number}": "x" * FILLER_BYTES for number in (1, 2)}
        self.assertEqual(self.call(headers=long_head), (200, CHUNK))
        self.assertLess(self.crowd.most_bytes, self.memory_mb * MB)
