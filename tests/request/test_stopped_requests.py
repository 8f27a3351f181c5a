from unittest import mock

import eventlet
import msgspec
from eventlet.green import socket

from boragedeck.process.relaying.draining import DrainPeriod
from boragedeck.version.routing import CallerLimits, CallKind
from tests.request.test_stops import LONG_S, MUCH_MEMORY, StopCase, beside_probes
from tests.support.replicas import (
    ScriptedReplica,
    answer,
    call_rule,
    events,
    read_response,
    send_request,
    stay_silent,
)


def answer_after(seconds):
    def step(sock, req):
        eventlet.sleep(seconds)
        return answer()(sock, req)

    return step


def stream_for(seconds):
    def step(sock, req):
        eventlet.sleep(seconds)
        return events(1)(sock, req)

    return step


class PlaceFreedByTheStopTest(StopCase):
    def test_request_that_waits_is_not_sent_to_a_place_that_the_stop_has_freed(self):
        self.start_calls(stay_silent)
        for _ in range(30):
            self.harness.parts.durations.note("engines", 0.01)
        for number in range(40):
            self.send(name=b"running-%d" % number)
            if self.harness.admission.waiting():
                break
        waiting = [self.send(name=b"waiting-%d" % number) for number in range(4)]
        sent = len(self.replica.relayed())
        self.assertGreaterEqual(sent, 3)
        self.stop()
        self.assertEqual(len(self.replica.relayed()), sent)
        for sock in waiting:
            self.assert_not_run(sock)


class LateRequestTest(StopCase):
    def test_late_request_whose_whole_time_fits_is_not_ended_by_the_stop(self):
        self.start_calls(answer_after(3.75), kind=CallKind.ONCE)
        self.period = DrainPeriod(self.harness.timers, lambda: 7.2)
        self.harness.parts = msgspec.structs.replace(
            self.harness.parts,
            time_left=self.period.time_left,
            is_late_in_stop=self.period.is_late,
        )
        self.begin_stop()
        eventlet.sleep(2.9)
        self.assertTrue(self.period.is_late())
        sock = self.harness.connect()
        send_request(sock, ms=3850)
        self.assertEqual(read_response(sock).status, 200)


class RejectedRequestTest(StopCase):
    def test_refusal_that_is_on_its_way_is_not_reset_by_the_stop(self):
        self.start(call_rule())
        self.harness.edge.limits = lambda: CallerLimits(body_bytes=10)
        sock = self.harness.connect()
        lines = b"POST /r/x HTTP/1.1", b"Host: here.example", b"Content-Length: 5000"
        sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + b"x" * 100)
        eventlet.sleep(0.1)
        self.harness.edge.refuse_incomplete()
        eventlet.sleep(0.05)
        # The rest that the caller was sending.
        sock.sendall(b"x" * 4000)
        eventlet.sleep(0.05)
        self.assertEqual(read_response(sock).status, 413)
        self.assertEqual(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), 0)


class ConnectingTest(StopCase):
    def test_request_whose_connection_is_not_open_yet_is_said_not_to_have_run(self):
        self.start_calls(answer())
        with mock.patch.object(
            self.harness.upstreams, "_open", lambda *_: eventlet.sleep(LONG_S)
        ):
            sock = self.send()
            self.stop()
        self.assertEqual(self.replica.relayed(), [])
        self.assert_not_run(sock)


class TwoEndsTest(StopCase):
    def test_attempt_ends_though_the_stop_ends_a_request_as_its_caller_leaves(self):
        self.start(call_rule(timeout_s=LONG_S, goal_s=0.2))
        for name in ("one", "two"):
            self.harness.add(ScriptedReplica(name, beside_probes(stay_silent)))
        self.send()
        eventlet.sleep(0.3)
        requests = self.harness.parts.open_requests
        (open_relay,), (thread,) = zip(*requests._requests.items(), strict=True)
        job = open_relay._job
        self.assertEqual(len(job.attempts.running), 2)
        [conn] = self.harness.edge._conns
        eventlet.spawn(conn._interrupt, thread)
        eventlet.spawn(requests.end_unbegun, 0.0)
        eventlet.sleep(0.2)
        self.assertEqual(job.attempts.running, set())


class NeededTimeTest(StopCase):
    def test_wait_of_earlier_requests_does_not_count_as_time_to_serve_the_next(self):
        self.start_streams(stream_for(0.05))
        callers = [self.send(MUCH_MEMORY, name=b"old-%d" % n) for n in range(2)]
        callers += [self.connect_and_send(b"queued-%d" % n) for n in range(40)]
        for sock in callers:
            self.assertEqual(read_response(sock).status, 200)
        self.replica._steps = [beside_probes(stream_for(0.4))]
        first = self.send(MUCH_MEMORY, name=b"first")
        second = self.send(MUCH_MEMORY, name=b"second")
        self.assertEqual(self.harness.admission.waiting(), 1)
        self.begin_stop()
        self.assertEqual(read_response(first).status, 200)
        self.assertEqual(read_response(second).status, 200)

    def connect_and_send(self, name):
        sock = self.harness.connect()
        send_request(sock, MUCH_MEMORY, name=name, ms=25_000)
        return sock
