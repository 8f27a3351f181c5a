import unittest
from types import SimpleNamespace
from unittest import mock

import eventlet
import msgspec
from eventlet import wsgi
from eventlet.green import socket
from result import Ok

from boragedeck.connection.caller_connection import CallerConnection
from boragedeck.process.composition import Router
from boragedeck.process.relaying.draining import DrainPeriod
from boragedeck.process.settings import parse_settings
from boragedeck.process.timers import ManualTimers
from boragedeck.request.calls import CallRequest, CallResponse
from boragedeck.version.routing import CallerLimits, CallKind
from standins.memory import MemoryPlatform
from standins.platform import PlatformApp
from tests.request.test_silent_gateways import LARGE_BODY, SilentGatewayCase
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


class Edge:
    is_leaving = False

    def stop_accepting(self):
        pass

    close_idle = refuse_incomplete = stop_accepting

    def active_requests(self):
        return 1

    def unanswered_ids(self, most):
        return []


class Requests:
    def __init__(self, period):
        self._period = period
        self.left_s = None

    def counts(self):
        return {}

    def end_outlasting(self, left_s):
        pass

    def end_unbegun(self, left_s):
        self.left_s = self._period.time_left()

    def log_unanswered(self):
        pass


class FinalAnswersTest(unittest.TestCase):
    def test_final_answers_have_time_to_be_sent_in_a_short_stop(self):
        for grace_s in (0.6, 1.0, 1.2, 2.0, 8.0):
            with self.subTest(grace_s=grace_s):
                timers = ManualTimers()
                period = DrainPeriod(timers, lambda grace_s=grace_s: grace_s)
                requests = Requests(period)
                thread = eventlet.spawn(period.run, [Edge()], requests)
                eventlet.sleep(0)
                while requests.left_s is None:
                    timers.advance(0.001)
                thread.kill()
                self.assertGreater(requests.left_s, grace_s / 48)


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
        (job,), (thread,) = zip(*requests._requests.items(), strict=True)
        self.assertEqual(len(job.evidence.running), 2)
        [conn] = self.harness.edge._conns
        eventlet.spawn(conn._interrupt, thread)
        eventlet.spawn(requests.end_unbegun, 0.0)
        eventlet.sleep(0.2)
        self.assertEqual(job.evidence.running, set())


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


class GatewayStopTest(SilentGatewayCase):
    def test_stop_of_a_gateway_that_still_reads_is_not_held_against_the_replica(self):
        self.start(call_rule(CallKind.ONCE, timeout_s=6.0), answer())
        edge, read = self.gateways[0].forward_edge, CallerConnection._read_event

        def read_slowly(conn):
            if conn._server is edge:
                eventlet.sleep(0.05)
            return read(conn)

        eventlet.spawn_after(1.2, edge.refuse_incomplete)
        with mock.patch.object(CallerConnection, "_read_event", read_slowly):
            self.router.fetch(body=LARGE_BODY, ms=3000)
        self.assertEqual(self.ran(), 0)
        state = self.router.registry.of_pool("engines")[0]
        self.assertEqual(state.failure_share, 0.0)


class StandaloneStopTest(unittest.TestCase):
    def test_router_that_stops_waits_for_a_call_that_may_be_repeated(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        app = PlatformApp(MemoryPlatform())
        eventlet.spawn_n(wsgi.server, listener, app, log_output=False)
        self.addCleanup(listener.close)
        url = "http://{}:{}".format(*listener.getsockname())
        flags = ["--listen=127.0.0.1:0", "--peer-listen=127.0.0.1:0", "--vm=vm-1"]
        flags += ["--failure-domain=fd-1", f"--platform-url={url}", "--drain-s=5"]
        router = Router(parse_settings(flags, {}).ok())
        router.start()
        calls, answered = router._calls.calls, []
        call = SimpleNamespace(route=SimpleNamespace(repeatable=True), name="call")

        def run(call):
            eventlet.sleep(1.5)
            answered.append(call)
            return Ok(CallResponse(200))

        calls._validate = lambda req: Ok(call)
        calls._repeatables = SimpleNamespace(run=run)
        request = CallRequest("o", "pay", "GET", "/x", (), b"", "k")
        self.addCleanup(eventlet.spawn(calls.handle, request).kill)
        eventlet.sleep(0)
        router.drain()
        self.assertEqual(answered, [call])
