import unittest

import eventlet

from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    event,
    head_of,
    read_response,
    report_model,
    send_chunk,
    send_request,
    stream_rule,
)

ENGINES = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
EVENTS = 10
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


class MisdirectedTest(unittest.TestCase):
    def play(self, *lines):
        """Stream, and answer another request with 421 meanwhile; return the stream."""

        def step(sock, req):
            match req.headers.get(b"request-id"):
                case None:
                    return report_model(sock, req)
                case b"id-2":
                    head = head_of(req, 421, *lines, b"Content-Length: 0")
                    sock.sendall(head + b"\r\n")
                    return True
            sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
            for number in range(1, EVENTS + 1):
                send_chunk(sock, event(number))
                eventlet.sleep(0.05)
            sock.sendall(b"0\r\n\r\n")
            return True

        rule = stream_rule(is_resumable=False, timeout_s=5.0)
        harness = RelayHarness(rule, pool=ENGINES)
        self.addCleanup(harness.close)
        harness.add(ScriptedReplica("one", step))
        first, second = harness.connect(), harness.connect()
        send_request(first, TOKENS)
        eventlet.sleep(0.15)
        send_request(second, TOKENS, name=b"id-2", ms=300)
        return read_response(first)

    def test_misdirected_answer_that_names_no_other_replica_ends_a_stream(self):
        for lines in ((), (b"Instance-Id: one",)):
            with self.subTest(lines=lines):
                response = self.play(*lines)
                self.assertTrue(response.is_complete)
                self.assertEqual(response.body, WHOLE)

    def test_stream_goes_on_though_another_replica_is_at_the_address(self):
        self.assertFalse(self.play(b"Instance-Id: other").is_complete)
