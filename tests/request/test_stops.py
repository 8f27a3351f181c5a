import unittest
from unittest import mock

import eventlet
import msgspec
from eventlet.green import socket

from boragedeck.process.relaying.draining import DrainPeriod
from boragedeck.version.routing import CallKind, RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    events,
    head_of,
    not_run,
    read_response,
    report_model,
    send_chunk,
    send_request,
    stay_silent,
    stream_rule,
)

GRACE_S = 1.2
LONG_S = 25.0
BODY = b"x" * 100_000
TOKENS = b"Token-Counts: 1000,100"
MUCH_MEMORY = b"Token-Counts: 80000,100"
POOL = RelayPool("engines", 100, ENGINE)


def is_probe(req):
    return b"request-id" not in req.headers


def beside_probes(step):
    """Return a step that answers probes, too."""

    def serve(sock, req):
        return (report_model if is_probe(req) else step)(sock, req)

    return serve


def hold(seconds):
    """Return a step that rejects a request and asks to wait."""

    def step(sock, req):
        lines = b"Not-Executed: 1", b"Retry-After: %d" % seconds, b"Content-Length: 0"
        sock.sendall(head_of(req, 503, *lines) + b"\r\n")
        return True

    return step


def stream_slowly(sock, req):
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in range(1, 200):
        send_chunk(sock, event(number))
        eventlet.sleep(0.05)
    return False


class StopCase(unittest.TestCase):
    def start(self, rule, pool=None):
        self.harness = RelayHarness(rule, pool=pool)
        self.addCleanup(self.harness.close)
        self.period = DrainPeriod(self.harness.timers, lambda: GRACE_S)
        self.harness.parts = msgspec.structs.replace(
            self.harness.parts,
            time_left=self.period.time_left,
            is_late_in_stop=self.period.is_late,
        )

    def start_streams(self, *steps, pool=POOL, **fields):
        rule = stream_rule(timeout_s=LONG_S, goal_s=4.5, **fields)
        self.start(rule, pool)
        self.replica = ScriptedReplica("one", *map(beside_probes, steps))
        self.harness.add(self.replica)

    def start_calls(self, *steps, kind=CallKind.ONCE, **fields):
        self.start(call_rule(kind, timeout_s=LONG_S, **fields))
        self.replica = ScriptedReplica("one", *map(beside_probes, steps))
        self.harness.add(self.replica)

    def send(self, *lines, name=b"id-1", body=b""):
        sock = self.harness.connect()
        send_request(sock, *lines, name=name, body=body, ms=round(LONG_S * 1e3))
        eventlet.sleep(0.05)
        return sock

    def begin_stop(self):
        self.begun = self.harness.timers.now()
        self.addCleanup(eventlet.spawn(self._stop).kill)
        eventlet.sleep(0)

    def stop(self):
        self.begin_stop()
        eventlet.sleep(GRACE_S)

    def _stop(self):
        parts = self.harness.parts
        self.period.run([self.harness.edge], parts.open_requests)
        # The process ends, with its connections.
        for conn in list(self.harness.edge._conns):
            conn._sock.shutdown(socket.SHUT_RDWR)

    def assert_not_run(self, sock):
        response = read_response(sock)
        self.assertEqual(response.status, 503)
        self.assertTrue(response.is_complete)
        self.assertEqual(float(response.headers[b"retry-after"]), 0.0)

    def assert_may_have_run(self, sock):
        response = read_response(sock)
        self.assertEqual(response.status, 502)
        self.assertTrue(response.is_complete)
        self.assertNotIn(b"retry-after", response.headers)


class WaitForPlaceTest(StopCase):
    def fill(self):
        """Let the memory of the only engine be taken by a stream."""
        self.start_streams(stream_slowly)
        self.first = self.send(MUCH_MEMORY)
        self.waiting = self.send(MUCH_MEMORY, name=b"id-2", body=BODY)
        self.assertEqual(self.harness.admission.waiting(), 1)

    def test_request_that_waits_for_a_place_is_answered_when_the_router_stops(self):
        self.fill()
        self.stop()
        self.assert_not_run(self.waiting)

    def test_request_that_would_outlast_the_stop_is_refused_as_soon_as_it_begins(self):
        self.fill()
        self.begin_stop()
        self.assert_not_run(self.waiting)
        self.assertLess(self.harness.timers.now() - self.begun, 0.3)

    def test_request_that_may_end_in_time_waits_on(self):
        self.start_streams(events(1))
        for _ in range(30):
            self.harness.parts.durations.note("engines", 0.2)
        self.replica._steps = [beside_probes(stream_slowly), beside_probes(events(1))]
        first = self.send(MUCH_MEMORY)
        second = self.send(MUCH_MEMORY, name=b"id-2")
        self.begin_stop()
        eventlet.sleep(0.1)
        first.close()
        self.assertEqual(read_response(second).body, event(1))

    def test_request_waits_no_longer_than_it_may_still_be_served(self):
        self.start_streams(stream_slowly)
        for _ in range(30):
            self.harness.parts.durations.note("engines", 0.6)
        self.send(MUCH_MEMORY)
        sock = self.send(MUCH_MEMORY, name=b"id-2")
        self.begin_stop()
        self.assert_not_run(sock)
        took_s = self.harness.timers.now() - self.begun
        self.assertGreater(took_s, 0.3)
        self.assertLess(took_s, 0.9)

    def test_request_that_waits_for_a_replica_to_join_is_answered(self):
        self.start(call_rule(timeout_s=LONG_S))
        sock = self.send()
        self.stop()
        self.assert_not_run(sock)

    def test_request_that_waits_for_a_replica_that_is_held_off_is_answered(self):
        self.start_calls(hold(5), answer())
        sock = self.send()
        self.stop()
        self.assert_not_run(sock)

    def test_request_that_all_replicas_reject_is_answered(self):
        self.start_calls(not_run, max_attempts=1000)
        sock = self.send()
        self.stop()
        self.assertEqual(read_response(sock).status, 503)


class NothingBegunTest(StopCase):
    def test_stream_whose_replica_says_nothing_is_answered_when_the_router_stops(self):
        self.start_streams(stay_silent)
        sock = self.send(TOKENS, body=BODY)
        self.stop()
        self.assert_may_have_run(sock)

    def test_stream_that_cannot_be_resumed_is_answered(self):
        self.start_streams(stay_silent, is_resumable=False)
        sock = self.send(TOKENS)
        self.stop()
        self.assert_may_have_run(sock)

    def test_call_that_may_run_once_is_not_said_not_to_have_run(self):
        self.start_calls(stay_silent)
        sock = self.send()
        self.stop()
        self.assert_may_have_run(sock)
        self.assertEqual(len(self.replica.relayed()), 1)

    def test_failure_of_a_replica_is_passed_on_when_no_other_answers_in_time(self):
        self.start_calls(
            answer(b"bad", 500), stay_silent, kind=CallKind.IDEMPOTENT, max_attempts=5
        )
        sock = self.send()
        self.stop()
        response = read_response(sock)
        self.assertEqual((response.status, response.body), (500, b"bad"))

    def test_body_that_a_replica_does_not_read_is_not_said_not_to_have_run(self):
        self.start_calls(answer())
        self.replica.silence.begin_for(LONG_S)
        self.addCleanup(self.replica.silence.end)
        sock = self.send(body=20 * BODY)
        self.stop()
        self.assert_may_have_run(sock)

    def test_request_that_is_being_sent_is_not_said_not_to_have_run(self):
        self.start_calls(answer())

        def send_in_vain(*args):
            check = args[-1]
            check()
            eventlet.sleep(LONG_S)

        with mock.patch.object(self.harness.paths, "send", send_in_vain):
            sock = self.send()
            self.stop()
        self.assert_may_have_run(sock)

    def test_request_whose_body_has_not_arrived_is_answered(self):
        self.start_calls(answer())
        sock = self.harness.connect()
        lines = b"POST /r/x HTTP/1.1", b"Host: here.example", b"Content-Length: 9"
        sock.sendall(b"\r\n".join(lines) + b"\r\n\r\nbody")
        self.stop()
        response = read_response(sock)
        self.assertEqual(response.status, 503)
        self.assertTrue(response.is_complete)
        self.assertEqual(self.replica.received, [])


class BegunTest(StopCase):
    def test_stream_that_has_begun_is_cut_in_the_last_sixth_only(self):
        self.start_streams(stream_slowly)
        sock = self.send(TOKENS)
        self.begin_stop()
        response = read_response(sock)
        self.assertEqual(response.status, 200)
        self.assertFalse(response.is_complete)
        self.assertGreater(self.harness.timers.now() - self.begun, GRACE_S * 5 / 6)
