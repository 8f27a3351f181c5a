"""Copies of runs that a second attempt has used up."""

import unittest

import eventlet

from tests.request.test_silent_replicas import ENGINES, TOKENS, WHOLE, stream
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    event,
    head_of,
    not_run,
    report_model,
    send_chunk,
    stream_rule,
)

SILENCE_S = 0.7
SLOW_S = 2.0
MANY_MS = 8000


def is_probe(req):
    return b"request-id" not in req.headers


class UsedCopyTest(unittest.TestCase):
    def play(self, take_copy):
        """Return the sendings to the engine with the copy, and the response.

        The first engine stands still, goes on, and breaks; the other holds the copy.
        """
        engines = {}

        def break_later(sock, req):
            if is_probe(req):
                return report_model(sock, req)
            if b"last-event-id" in req.headers:
                return stream(sock, req)
            sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
            send_chunk(sock, event(1))
            engines["one"].silence.begin_for(SILENCE_S)
            send_chunk(sock, event(2))
            eventlet.sleep(0.1)
            return False

        def hold_copy(sock, req):
            if is_probe(req):
                return report_model(sock, req)
            is_first = len(engines["two"].relayed()) == 1
            return (take_copy if is_first else stream)(sock, req)

        engines["one"] = ScriptedReplica("one", break_later)
        engines["two"] = ScriptedReplica("two", hold_copy)
        harness = RelayHarness(stream_rule(timeout_s=6.0), pool=ENGINES)
        self.addCleanup(harness.close)
        harness.add(engines["one"])
        harness.add(engines["two"], domain="b")
        response = harness.fetch(TOKENS, ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, WHOLE))
        return [b"kv-from" in req.headers for req in engines["two"].relayed()]

    def test_copy_that_a_second_attempt_has_used_is_asked_for_again(self):
        def work_long(sock, req):
            eventlet.sleep(SLOW_S)
            return False

        self.assertNotIn(True, self.play(work_long)[1:])

    def test_copy_that_was_not_taken_is_given_up(self):
        sent_from_copy = self.play(not_run)
        self.assertEqual(sent_from_copy[:2], [True, True])
