import itertools
import unittest
from functools import partial

import eventlet
from eventlet import patcher

from boragedeck.version.routing import CallKind
from tests.request.test_silent_gateways import SilentGatewayCase
from tests.request.test_stops import GRACE_S, StopCase
from tests.support.early_replicas import (
    EarlyReplica,
    closing,
    finishing,
    resetting,
    without_length,
)
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    events,
    head_of,
    not_run,
    read_response,
    send_chunk,
    stream_rule,
)

# Green threads run during a patched sleep.
stand_still = patcher.original("time").sleep

SIZES_BYTES = (100_000, 300_000, 3_000_000)
SMALL_BUFFER_BYTES = 4096
BUFFERS_BYTES = (None, SMALL_BUFFER_BYTES)
CLOSE_AFTER_S = (0.0, 0.02)
CLOSE_LATE_S = 2.0
READ_AFTER_S = 0.1
BETWEEN_EVENTS_S = 0.05
REQUESTS = 4
RESET_AFTER_S = (0.0, 0.02, 0.05, 0.1, 0.15)
STANDSTILL_S = 0.08
"""Longer than the interval at which a router that uploads looks for an answer."""
EVENTS = b"".join(event(number) for number in (1, 2, 3))
ANSWERS = (
    ("success", answer(), 200),
    ("failure", answer(b"", 500), 500),
    ("rejection", not_run, 503),
)


def slow_events(sock, req):
    """Stream three events, one after another."""
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in (1, 2, 3):
        send_chunk(sock, event(number))
        eventlet.sleep(BETWEEN_EVENTS_S)
    sock.sendall(b"0\r\n\r\n")
    return True


STREAMS = (("at once", events(1, 2)), ("slow", slow_events))


def body_of(number, size):
    """Return a body of its own for each request."""
    return (b"%06d|" % number * (size // 7 + 1))[:size]


class EarlyAnswerTest(unittest.TestCase):
    def harness(self, rule):
        harness = RelayHarness(rule)
        self.addCleanup(harness.close)
        return harness

    def once(self, max_attempts=1):
        return call_rule(CallKind.ONCE, timeout_s=3.0, max_attempts=max_attempts)

    def check_bodies(self, replica, size):
        """Check that a replica got each body, or its beginning, and nothing else."""
        self.assertEqual(len(replica.received), REQUESTS)
        for req in replica.received:
            number = int(req.headers[b"request-id"])
            self.assertEqual(req.target, b"/r/%d" % number)
            whole = body_of(number, size)
            self.assertTrue(whole.startswith(req.body), (number, len(req.body)))

    def send_several(self, rule, step, size, buffer_bytes, expected):
        harness = self.harness(rule)
        replica = EarlyReplica(
            "one", step, pause_s=READ_AFTER_S, buffer_bytes=buffer_bytes
        )
        harness.add(replica)
        for number in range(REQUESTS):
            body = body_of(number, size)
            path, name = b"/r/%d" % number, b"%d" % number
            response = harness.fetch(path=path, body=body, name=name)
            self.assertEqual((response.status, response.is_complete), expected)
        eventlet.sleep(READ_AFTER_S * 2)
        self.check_bodies(replica, size)

    def test_next_call_is_put_where_the_rest_of_a_body_is_due(self):
        cases = itertools.product(ANSWERS, SIZES_BYTES, BUFFERS_BYTES)
        for (name, step, status), size, buffer_bytes in cases:
            with self.subTest(name, size=size, buffer=buffer_bytes):
                expected = status, True
                self.send_several(self.once(), step, size, buffer_bytes, expected)

    def test_next_stream_is_put_where_the_rest_of_a_body_is_due(self):
        cases = itertools.product(STREAMS, SIZES_BYTES, BUFFERS_BYTES)
        for (name, step), size, buffer_bytes in cases:
            with self.subTest(name, size=size, buffer=buffer_bytes):
                expected = 200, True
                self.send_several(stream_rule(), step, size, buffer_bytes, expected)

    def test_answer_is_lost_with_a_connection_that_was_closed_early(self):
        cases = itertools.product(ANSWERS, SIZES_BYTES, BUFFERS_BYTES, CLOSE_AFTER_S)
        for (name, step, status), size, buffer_bytes, after_s in cases:
            with self.subTest(name, size=size, buffer=buffer_bytes, after_s=after_s):
                harness = self.harness(self.once())
                step = closing(step, after_s)
                harness.add(EarlyReplica("one", step, buffer_bytes=buffer_bytes))
                response = harness.fetch(body=b"x" * size)
                self.assertEqual(
                    (response.status, response.is_complete), (status, True)
                )

    def test_call_that_was_rejected_early_goes_to_no_other_replica(self):
        for size, after_s in itertools.product(SIZES_BYTES, CLOSE_AFTER_S):
            with self.subTest(size=size, after_s=after_s):
                harness = self.harness(self.once(2))
                step = closing(not_run, after_s)
                one = EarlyReplica("one", step, buffer_bytes=SMALL_BUFFER_BYTES)
                two = ScriptedReplica("two", answer())
                harness.add(one)
                harness.add(two, domain="b")
                body = body_of(0, size)
                self.assertEqual(harness.fetch(body=body).status, 200)
                self.assertEqual((len(one.received), len(two.received)), (1, 1))
                self.assertEqual(two.received[0].body, body)

    def test_events_wait_until_the_body_is_read(self):
        cases = itertools.product(SIZES_BYTES, BUFFERS_BYTES, (0.0, CLOSE_LATE_S))
        for size, buffer_bytes, after_s in cases:
            with self.subTest(size=size, buffer=buffer_bytes, after_s=after_s):
                harness = self.harness(stream_rule())
                step = closing(slow_events, after_s)
                replica = EarlyReplica("one", step, buffer_bytes=buffer_bytes)
                harness.add(replica)
                begun_at = harness.timers.now()
                response = harness.fetch(body=b"x" * size)
                self.assertLess(harness.timers.now() - begun_at, CLOSE_LATE_S)
                self.assertEqual(response.body, EVENTS)
                self.assertTrue(response.is_complete)
                self.assertEqual(len(replica.received), 1)

    def test_early_answer_without_length_looks_complete_after_a_reset(self):
        harness = self.harness(self.once())
        step = closing(without_length)
        harness.add(EarlyReplica("one", step, buffer_bytes=SMALL_BUFFER_BYTES))
        response = harness.fetch(body=b"x" * SIZES_BYTES[-1])
        self.assertEqual(response.status, 502)


class UnreadUploadTest(unittest.TestCase):
    """A replica answers without a length, and reads no more of the body."""

    def start(self, step, kind=CallKind.ONCE, max_attempts=1):
        rule = call_rule(kind, timeout_s=3.0, max_attempts=max_attempts)
        self.harness = RelayHarness(rule)
        self.addCleanup(self.harness.close)
        self.replica = EarlyReplica("one", step, buffer_bytes=SMALL_BUFFER_BYTES)
        self.harness.add(self.replica)

    def check_lost(self, response):
        self.assertEqual((response.status, response.is_complete), (502, True))
        self.assertNotIn(b"whole", response.body)

    def fetch(self, step, size=SIZES_BYTES[-1]):
        self.start(step)
        return self.harness.fetch(body=b"x" * size)

    def test_reset_that_is_seen_after_a_standstill_looks_like_the_end(self):
        for after_s in (0.0, *CLOSE_AFTER_S, 0.06):
            with self.subTest(after_s=after_s):
                pause = partial(stand_still, STANDSTILL_S)
                step = resetting(without_length, after_s, pause)
                self.check_lost(self.fetch(step))

    def test_reset_at_any_time_of_an_upload_looks_like_the_end(self):
        for size, after_s in itertools.product(SIZES_BYTES[1:], RESET_AFTER_S):
            with self.subTest(size=size, after_s=after_s):
                self.check_lost(self.fetch(resetting(without_length, after_s), size))

    def test_end_of_the_connection_amid_an_upload_looks_like_the_end(self):
        for size in SIZES_BYTES[1:]:
            with self.subTest(size=size):
                step = finishing(without_length, 2 * READ_AFTER_S)
                self.check_lost(self.fetch(step, size))

    def test_end_on_a_connection_that_is_kept_looks_like_the_end(self):
        def first_whole(sock, req):
            if req.headers[b"request-id"] == b"first":
                return answer()(sock, req)
            return finishing(without_length, READ_AFTER_S)(sock, req)

        self.start(first_whole)
        self.assertEqual(self.harness.fetch(name=b"first").status, 200)
        self.check_lost(self.harness.fetch(body=b"x" * SIZES_BYTES[-1]))
        self.assertEqual(self.replica.connections, 1)

    def test_end_amid_a_body_that_came_in_chunks_looks_like_the_end(self):
        self.start(finishing(without_length, READ_AFTER_S))
        sock = self.harness.connect()
        lines = (
            b"POST /r/x HTTP/1.1",
            b"Host: here.example",
            b"Request-Id: id-1",
            b"Deadline-Ms: 3000",
            b"Api-Key: key-1",
            b"Transfer-Encoding: chunked",
        )
        sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n")
        send_chunk(sock, b"x" * SIZES_BYTES[-1])
        sock.sendall(b"0\r\n\r\n")
        self.check_lost(read_response(sock))

    def test_repeatable_call_is_not_repeated_after_such_an_end(self):
        step = finishing(without_length, READ_AFTER_S)
        self.start(step, CallKind.IDEMPOTENT, max_attempts=2)
        two = ScriptedReplica("two", answer())
        self.harness.add(two, domain="b")
        response = self.harness.fetch(body=b"x" * SIZES_BYTES[-1])
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(len(two.received), 1)

    def test_answer_without_length_to_a_body_that_was_read_is_lost(self):
        def whole(sock, req):
            without_length(sock, req)
            return False

        self.harness = RelayHarness(call_rule(CallKind.ONCE, timeout_s=3.0))
        self.addCleanup(self.harness.close)
        self.harness.add(ScriptedReplica("one", whole))
        for size in (0, *SIZES_BYTES):
            with self.subTest(size=size):
                response = self.harness.fetch(body=b"x" * size, name=b"%d" % size)
                self.assertEqual((response.status, response.body), (200, b"whole"))

    def test_answer_without_length_before_a_body_that_is_read_is_lost(self):
        def read_on(sock, req):
            without_length(sock, req)
            return True

        response = self.fetch(read_on, SIZES_BYTES[-1])
        self.assertEqual((response.status, response.is_complete), (504, True))


class ForwardedUploadTest(SilentGatewayCase):
    def test_end_amid_an_upload_at_a_gateway_looks_like_the_end(self):
        steps = finishing(without_length, READ_AFTER_S), resetting(without_length, 0.06)
        for step in steps:
            with self.subTest(step=step.__name__):
                self.start(call_rule(CallKind.ONCE, timeout_s=3.0), step)
                response = self.router.fetch(body=b"x" * SIZES_BYTES[-1])
                self.assertEqual((response.status, response.is_complete), (502, True))

    def replica(self, name, step):
        return EarlyReplica(name, step, buffer_bytes=SMALL_BUFFER_BYTES)


class StoppedUploadTest(StopCase):
    def test_end_amid_an_upload_beside_a_stop_looks_like_the_end(self):
        for after_s in (0.3, GRACE_S - 0.1):
            with self.subTest(after_s=after_s):
                self.start(call_rule(CallKind.ONCE, timeout_s=3.0))

                def late(sock, req, after_s=after_s):
                    eventlet.sleep(after_s)
                    return finishing(without_length, READ_AFTER_S)(sock, req)

                replica = EarlyReplica("one", late, buffer_bytes=SMALL_BUFFER_BYTES)
                self.harness.add(replica)
                sock = self.send(body=b"x" * SIZES_BYTES[-1])
                self.stop()
                self.assert_may_have_run(sock)
