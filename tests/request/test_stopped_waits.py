from unittest import mock

import eventlet
import msgspec
from eventlet.green import socket

from boragedeck.process.relaying.limits.limit_messages import SendDecision
from boragedeck.version.replicas import RateLimit
from boragedeck.version.routing import CallKind
from tests.request.test_stops import GRACE_S, LONG_S, TOKENS, StopCase, stream_slowly
from tests.support.replicas import (
    answer,
    drop,
    event,
    events,
    read_response,
    send_request,
    stay_silent,
)

REJECTIONS_PER_S = 2.3
SOON_S = 0.3
LARGE = b"x" * 4_000_000
RECEIVE_BYTES = 64 * 1024


def never_answer(*args):
    """Stand for a question to a router that doesn't answer."""
    eventlet.sleep(LONG_S)


class WaitCase(StopCase):
    def setUp(self):
        self.asked = 0

    def patch(self, target, name, function):
        """Replace a function by one whose calls are counted."""

        def ask(*args, **kwargs):
            self.asked += 1
            return function(*args, **kwargs)

        patcher = mock.patch.object(target, name, ask)
        patcher.start()
        self.addCleanup(patcher.stop)

    def state(self):
        return self.harness.registry.get("one")

    def assert_nothing_kept(self):
        """Fail if the request has left a place, a wait or itself behind."""
        self.assertEqual(self.state().running, 0)
        self.assertEqual(self.state().own.tokens, 0)
        self.assertEqual(self.harness.admission.waiting(), 0)
        counts = self.harness.parts.open_requests.counts()
        self.assertEqual(sum(counts.values()), 0)

    def assert_refused(self, sock):
        self.stop()
        self.assertEqual(self.asked, 1)
        self.assert_not_run(sock)
        self.assertEqual(self.replica.relayed(), [])
        self.assert_nothing_kept()


class OtherRouterTest(WaitCase):
    """A request waits for another router when the stop begins."""

    def limit(self):
        self.start_calls(answer())
        self.harness.limits.note_answer(self.state(), RateLimit(5.0, "5"))

    def test_request_that_asks_for_a_turn_is_cut(self):
        self.limit()
        self.patch(self.harness.limits, "take", never_answer)
        self.assert_refused(self.send())

    def test_request_that_waits_for_its_turn_is_cut(self):
        self.limit()
        decision = SendDecision(True, LONG_S, 5.0, 0.0)
        self.patch(self.harness.limits, "take", lambda *_: decision)
        self.assert_refused(self.send())

    def test_turn_of_a_request_that_the_stop_ends_stays_unused(self):
        self.limit()
        returned = []
        self.patch(self.harness.limits.grants, "give_back", returned.append)
        decision = SendDecision(True, LONG_S, 5.0, 0.0)
        with mock.patch.object(self.harness.limits, "take", lambda *_: decision):
            sock = self.send()
            self.stop()
        self.assert_not_run(sock)
        self.assertEqual([each.run for each in returned], [self.state().run])
        self.assertLess(returned[0].wait_s, LONG_S)

    def test_request_that_asks_for_room_at_a_brittle_replica_is_cut(self):
        self.start_calls(answer())
        self.state().rejections_per_s = REJECTIONS_PER_S
        self.patch(self.harness.brittle, "take", never_answer)
        self.assert_refused(self.send())

    def test_request_that_asks_for_a_trial_is_cut(self):
        self.start_calls(answer())
        self.patch(self.harness.parts.crash_blame, "admits", never_answer)
        self.assert_refused(self.send())

    def test_request_that_asks_for_a_repeat_is_cut(self):
        self.start_calls(answer(b"bad", 500), kind=CallKind.IDEMPOTENT)
        self.patch(self.harness.parts.retries, "take", never_answer)
        sock = self.send()
        self.stop()
        self.assertEqual(self.asked, 1)
        response = read_response(sock)
        self.assertEqual((response.status, response.body), (500, b"bad"))
        self.assert_nothing_kept()


class RepeatTest(WaitCase):
    def leave(self, sock, req):
        """Take a request, and leave the registry without an answer."""
        self.left = self.state()
        self.harness.registry.remove("one", "left")
        return drop(sock, req)

    def assert_failed_at_once(self):
        sock = self.send(TOKENS)
        self.begin_stop()
        self.assert_may_have_run(sock)
        self.assertLess(self.harness.timers.now() - self.begun, SOON_S)
        self.assertEqual(self.left.running, 0)

    def test_call_that_may_be_repeated_waits_until_the_stop_ends(self):
        self.start_calls(self.leave, kind=CallKind.IDEMPOTENT, max_attempts=5)
        self.assert_failed_at_once()

    def test_stream_that_may_be_repeated_waits_until_the_stop_ends(self):
        self.start_streams(self.leave)
        self.assert_failed_at_once()

    def test_stream_that_waits_for_a_verdict_on_crashes_is_cut(self):
        self.start_streams(events(ends=False))
        module = "boragedeck.request.relay_stream.await_crash_verdict"
        with mock.patch(module, never_answer):
            sock = self.send(TOKENS)
            self.stop()
        self.assert_may_have_run(sock)
        self.assert_nothing_kept()


class BegunAnswerTest(WaitCase):
    def test_begun_stream_that_waits_for_a_place_is_cut_before_the_last_sixth(self):
        self.start_streams(stream_slowly)
        sock = self.send(TOKENS)
        state = self.state()
        self.harness.registry.remove("one", "left")
        self.replica.stop()
        self.begin_stop()
        response = read_response(sock)
        self.assertEqual((response.status, response.is_complete), (200, False))
        self.assertGreater(self.harness.timers.now() - self.begun, GRACE_S * 5 / 6)
        self.assertEqual(state.running, 0)

    def test_begun_stream_does_not_go_on_at_a_replica_that_joins(self):
        self.start_streams(events(1, ends=False), events(2))
        entry = self.replica.entry()
        lost_at_once = self.replica._steps[0]

        def leave(sock, req):
            self.harness.registry.remove("one", "left")
            return lost_at_once(sock, req)

        self.replica._steps[0] = leave
        sock = self.send(TOKENS)
        self.begin_stop()
        eventlet.sleep(SOON_S)
        self.harness.registry.put(msgspec.structs.replace(entry, replica="two"))
        response = read_response(sock)
        self.assertTrue(response.is_complete)
        self.assertEqual(response.body, event(1) + event(2))

    def test_answer_that_is_read_slowly_is_cut_though_time_is_left(self):
        self.start_calls(answer(LARGE))
        sock = self.connect_slowly()
        send_request(sock)
        eventlet.sleep(0.1)
        self.begin_stop()
        eventlet.sleep(0.6 * GRACE_S)
        response = read_response(sock)
        self.assertTrue(response.is_complete)
        self.assertEqual(len(response.body), len(LARGE))

    def test_caller_that_leaves_during_the_last_answer_fails_its_handler(self):
        self.start_calls(
            answer(LARGE, 500), stay_silent, kind=CallKind.IDEMPOTENT, max_attempts=5
        )
        sock = self.connect_slowly()
        send_request(sock, ms=round(LONG_S * 1e3))
        eventlet.sleep(0.2)
        self.assertEqual(self.harness.parts.open_requests.counts()["at_replica"], 1)
        self.begin_stop()
        with eventlet.Timeout(2 * GRACE_S):
            while self.harness.parts.open_requests.counts()["at_replica"]:
                eventlet.sleep(0.01)
        sock.close()
        eventlet.sleep(0.1)
        left = self.harness.metrics.requests.labels(CallKind.IDEMPOTENT.value, "left")
        self.assertEqual(left._value.get(), 1)
        self.assert_nothing_kept()

    def connect_slowly(self):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.connect(self.harness.listener.getsockname())
        self.addCleanup(sock.close)
        return sock


class UnreadRequestTest(WaitCase):
    def test_requests_in_the_accept_queue_are_cut_when_the_stop_begins(self):
        self.start_calls(stay_silent)
        blocking = eventlet.patcher.original("socket")
        address = self.harness.listener.getsockname()
        socks = []
        self.harness._server.kill()
        for number in range(3):
            raw = blocking.create_connection(address)
            socks.append(eventlet.greenio.GreenSocket(raw))
            self.addCleanup(socks[-1].close)
            send_request(socks[-1], name=b"id-%d" % number, ms=round(LONG_S * 1e3))
        self.stop()
        for sock in socks:
            self.assert_not_run(sock)
        self.assertEqual(self.replica.relayed(), [])

    def test_request_without_a_route_is_cut(self):
        self.start_calls(answer())
        self.begin_stop()
        response = self.harness.fetch(path=b"/other")
        self.assertEqual(response.status, 404)

    def test_request_without_a_table_is_cut(self):
        self.start_calls(answer())
        self.harness.table = msgspec.structs.replace(self.harness.table, version=0)
        self.begin_stop()
        self.assertEqual(self.harness.fetch().status, 503)
        self.assertEqual(self.replica.relayed(), [])
