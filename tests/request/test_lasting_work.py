import unittest

import eventlet
from eventlet.green import socket

from boragedeck.version.routing import CallKind
from tests.request.test_silent_replicas import (
    ENGINES,
    EVENTS,
    INTERVAL_S,
    MANY_MS,
    TOKENS,
    WHOLE,
    stream,
)
from tests.support.lasting_work import LastingWork
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    call_rule,
    event,
    head_of,
    send_chunk,
    send_request,
    stream_rule,
)

WORK_S = 1.0
PIECE_S = 0.05
SILENCE_AFTER_S = 0.2
SILENCE_S = 2.0
SLOW_INTERVAL_S = 0.1
MAX_OVERLAP_S = 0.4
LEAVES_AFTER_S = 0.15
CLOSED_WITHIN_S = 0.5
"""How soon a replica can see that its caller has left."""
LOST_AFTER_EVENTS = 4
CALLS = 4


def lasting_call(sock, req):
    """Answer with the request's body, bit by bit, and work on in between."""
    length = b"Content-Length: %d" % len(req.body)
    sock.sendall(head_of(req, 200, length) + b"\r\n")
    for number in range(len(req.body)):
        eventlet.sleep(PIECE_S)
        sock.sendall(req.body[number : number + 1])
    return True


def lost_stream(sock, req):
    """Stream events; the connection is closed early, and the work goes on."""
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    first = int(req.headers.get(b"last-event-id", b"0")) + 1
    for number in range(first, EVENTS + 1):
        if number == first + LOST_AFTER_EVENTS:
            sock.shut_down(socket.SHUT_RDWR)
        send_chunk(sock, event(number))
        eventlet.sleep(INTERVAL_S)
    eventlet.sleep(WORK_S)
    return True


def slow_stream(sock, req):
    """Stream the events that the request misses, slowly."""
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in range(int(req.headers.get(b"last-event-id", 0)) + 1, EVENTS + 1):
        send_chunk(sock, event(number))
        eventlet.sleep(SLOW_INTERVAL_S)
    sock.sendall(b"0\r\n\r\n")


class LastingWorkTest(unittest.TestCase):
    def harness(self, rule, *steps, **fields):
        """Return a harness with a replica for each step."""
        harness = RelayHarness(rule, **fields)
        self.addCleanup(harness.close)
        self.work = LastingWork(harness.timers.now)
        self.replicas = []
        for name, domain, step in zip("123456", "abcdef", steps, strict=False):
            replica = ScriptedReplica(name, self.work.step(name, step))
            self.replicas.append(replica)
            harness.add(replica, domain=domain)
        return harness

    def streams(self, *steps, **fields):
        rule = stream_rule(**{"timeout_s": 8.0} | fields)
        return self.harness(rule, *steps, pool=ENGINES)

    def runs_of(self, name):
        return [run for run in self.work.runs if run.request_id == name]

    def leave(self, harness, *lines, body=b""):
        """Send a request, leave, and return when, once its work has ended."""
        sock = harness.connect()
        send_request(sock, *lines, body=body, name=b"left", ms=MANY_MS)
        eventlet.sleep(LEAVES_AFTER_S)
        sock.close()
        left_at = harness.timers.now()
        self.work.wait()
        eventlet.sleep(CLOSED_WITHIN_S)
        return left_at

    def check_left_alone(self, harness, left_at):
        [run] = self.runs_of(b"left")
        self.assertIsNotNone(run.lost_at)
        self.assertLess(run.lost_at - left_at, CLOSED_WITHIN_S)
        self.assertGreater(run.ended_at, run.lost_at)
        self.assertEqual(harness.edge.active_requests(), 0)

    def last_time_of_both(self, harness, fetched):
        """Return when both replicas last had a request, until a response is there."""
        both_at = 0.0
        while not fetched.dead:
            eventlet.sleep(0.01)
            states = [harness.registry.get(replica.name) for replica in self.replicas]
            if all(state.own.running for state in states):
                both_at = harness.timers.now()
        return both_at

    def test_call_is_sent_elsewhere_after_its_caller_left(self):
        rule = call_rule(max_attempts=3, timeout_s=4.0, goal_s=2.0)
        harness = self.harness(rule, lasting_call, lasting_call)
        left_at = self.leave(harness, body=b"x" * 20)
        self.check_left_alone(harness, left_at)

    def test_stream_is_sent_elsewhere_after_its_caller_left(self):
        harness = self.streams(stream, stream)
        left_at = self.leave(harness, TOKENS)
        self.check_left_alone(harness, left_at)

    def test_answer_of_work_that_goes_on_reaches_the_next_call(self):
        rule = call_rule(max_attempts=2, timeout_s=4.0, goal_s=2.0)
        harness = self.harness(rule, lasting_call)
        sock = harness.connect()
        send_request(sock, body=b"x" * 10, name=b"left", ms=MANY_MS)
        eventlet.sleep(LEAVES_AFTER_S)
        sock.close()
        for number in range(CALLS):
            body = b"%04d" % number
            response = harness.fetch(body=body, name=b"id-%d" % number)
            self.assertEqual((response.status, response.body), (200, body))

    def test_call_that_may_run_once_runs_again_after_its_time(self):
        rule = call_rule(CallKind.ONCE, max_attempts=3, timeout_s=0.4, goal_s=0.2)
        harness = self.harness(rule, lasting_call, lasting_call)
        response = harness.fetch(body=b"x" * 20)
        self.assertNotIn(response.status, (200, 408, 421, 429, 503))
        self.work.wait()
        eventlet.sleep(CLOSED_WITHIN_S)
        self.assertEqual(len(self.work.runs), 1)

    def test_stream_that_may_run_once_runs_again_after_a_loss(self):
        harness = self.streams(lost_stream, stream, is_resumable=False)
        response = harness.fetch(TOKENS, ms=MANY_MS)
        self.assertFalse(response.is_complete)
        self.assertTrue(WHOLE.startswith(response.body))
        self.work.wait()
        self.assertEqual(len(self.work.runs), 1)

    def test_events_of_a_lost_run_that_goes_on_come_twice(self):
        harness = self.streams(lost_stream, stream)
        response = harness.fetch(TOKENS, ms=MANY_MS)
        self.assertEqual((response.body, response.is_complete), (WHOLE, True))
        self.assertLessEqual(len(self.work.runs), stream_rule().max_attempts)
        first, second = self.work.runs[:2]
        self.assertIsNone(first.ended_at)
        self.assertGreater(second.began_at, first.began_at)

    def test_events_of_a_silent_run_that_goes_on_come_twice(self):
        harness = self.streams(slow_stream, slow_stream)
        fetched = eventlet.spawn(harness.fetch, TOKENS, ms=MANY_MS)
        eventlet.sleep(SILENCE_AFTER_S)
        self.replicas[0].silence.begin_for(SILENCE_S)
        both_at = self.last_time_of_both(harness, fetched)
        response = fetched.wait()
        self.assertEqual((response.body, response.is_complete), (WHOLE, True))
        self.work.wait()
        silent, other = self.work.runs
        self.assertEqual((silent.replica, other.replica), ("1", "2"))
        self.assertLess(both_at - other.began_at, MAX_OVERLAP_S)
        # The router closed its connection, though the work went on.
        self.assertIsNotNone(silent.lost_at)
        self.assertIsNone(other.lost_at)
        for number in range(CALLS):
            again = harness.fetch(TOKENS, name=b"n-%d" % number, ms=MANY_MS)
            self.assertEqual((again.body, again.is_complete), (WHOLE, True))
