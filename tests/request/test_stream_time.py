import time
import unittest
from unittest import mock

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
    stream_rule,
)

ENGINES = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
CALLER_S = 1.0
BODY_S = 0.5
BODY = b"prompt"
INTERVAL_S = 0.02
EVENTS = 400


def stream(sock, req):
    """Stream more events than there is time for; answer probes."""
    if b"request-id" not in req.headers:
        return report_model(sock, req)
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in range(1, EVENTS + 1):
        send_chunk(sock, event(number))
        eventlet.sleep(INTERVAL_S)
    return True


class StreamTimeTest(unittest.TestCase):
    def harness(self, step=stream, **fields):
        harness = RelayHarness(
            stream_rule(**{"timeout_s": 8.0, "gap_goal_s": 0.4} | fields),
            pool=ENGINES,
        )
        self.addCleanup(harness.close)
        self.replica = ScriptedReplica("one", step)
        harness.add(self.replica)
        return harness

    def assert_begun(self, response):
        self.assertEqual(response.status, 200)
        self.assertIn(event(1), response.body)

    def test_begun_stream_is_cut_before_its_callers_time(self):
        harness = self.harness()
        sent = time.monotonic()
        self.assert_begun(harness.fetch(TOKENS, ms=round(CALLER_S * 1e3)))
        self.assertGreaterEqual(time.monotonic() - sent, CALLER_S)

    def test_begun_stream_is_cut_before_the_time_that_counts_from_its_last_byte(self):
        for timeout_s, caller_s in ((8.0, CALLER_S), (CALLER_S, 8.0)):
            with self.subTest(timeout_s=timeout_s, caller_s=caller_s):
                sock = self.harness(timeout_s=timeout_s).connect()
                sock.sendall(_head(caller_s))
                eventlet.sleep(BODY_S)
                sent = time.monotonic()
                sock.sendall(BODY)
                self.assert_begun(read_response(sock))
                self.assertGreaterEqual(time.monotonic() - sent, CALLER_S)

    def test_replica_that_ends_a_stream_in_time_is_taken_for_lost(self):
        def obey(sock, req):
            if b"request-id" not in req.headers:
                return report_model(sock, req)
            sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
            with eventlet.Timeout(int(req.headers[b"deadline-ms"]) / 1e3, False):
                for number in range(1, EVENTS + 1):
                    send_chunk(sock, event(number))
                    eventlet.sleep(INTERVAL_S)
            return False

        harness = self.harness(obey)
        sock = harness.connect()
        sock.sendall(_head(CALLER_S))
        eventlet.sleep(BODY_S)
        sock.sendall(BODY)
        with mock.patch.object(harness.registry, "note_miss") as note_miss:
            self.assert_begun(read_response(sock))
        note_miss.assert_not_called()

    def test_replica_is_told_to_end_a_stream_before_its_callers_time(self):
        harness = self.harness()
        sock = harness.connect()
        sock.sendall(_head(CALLER_S))
        eventlet.sleep(BODY_S)
        sock.sendall(BODY)
        self.assert_begun(read_response(sock))
        [req] = self.replica.relayed()
        told_s = int(req.headers[b"deadline-ms"]) / 1e3
        self.assertGreater(told_s, CALLER_S - BODY_S / 2)
        self.assertLessEqual(told_s, CALLER_S)

    def test_room_at_a_replica_ends_before_its_work_on_a_stream(self):
        harness = self.harness()
        admission = harness.parts.limited_admission
        sock = harness.connect()
        sock.sendall(_head(CALLER_S))
        eventlet.sleep(BODY_S)
        sent = harness.timers.now()
        with mock.patch.object(
            admission, "acquire", side_effect=admission.acquire
        ) as acquire:
            sock.sendall(BODY)
            self.assert_begun(read_response(sock))
        [req] = acquire.call_args.args
        self.assertGreaterEqual(req.deadline, sent + CALLER_S)


def _head(caller_s):
    lines = (
        b"POST /r/x HTTP/1.1",
        b"Host: here.example",
        b"Request-Id: id-1",
        b"Deadline-Ms: %d" % round(caller_s * 1e3),
        b"Api-Key: key-1",
        b"Content-Length: %d" % len(BODY),
        TOKENS,
    )
    return b"\r\n".join(lines) + b"\r\n\r\n"
