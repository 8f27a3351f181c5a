"""What a caller gets of a stream goes on exactly where its last event ended."""

from unittest import mock

import eventlet

from boragedeck.process.relaying.relay_metrics import OrderCheck
from boragedeck.request.stream_attempt import StreamAttempt
from boragedeck.request.stream_messages import Events
from tests.request.test_stops import LONG_S, POOL, TOKENS, StopCase, beside_probes
from tests.support.replicas import (
    ScriptedReplica,
    event,
    events,
    head_of,
    read_response,
    send_chunk,
    stream_rule,
)

SILENCE_S = 0.8
APART_S = 0.05
WHOLE = event(1) + event(2) + event(3)


def events_apart(sock, req):
    """Stream events that arrive one by one."""
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in (1, 2, 3):
        send_chunk(sock, event(number))
        eventlet.sleep(APART_S)
    sock.sendall(b"0\r\n\r\n")
    return True


def events_at_once(sock, req):
    """Stream events that arrive with their end in one read."""
    lines = b"Transfer-Encoding: chunked"
    head = head_of(req, 200, lines) + b"\r\n"
    sock.sendall(head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(WHOLE), WHOLE))
    return True


class OrderCase(StopCase):
    def start_replica(self, step, **fields):
        self.start(stream_rule(**{"timeout_s": LONG_S, "goal_s": 0.4} | fields), POOL)
        self.replica = ScriptedReplica("one", beside_probes(step))
        self.harness.add(self.replica)

    def order_breaks(self, check):
        """Return how many breaks of the order a check has found."""
        return self.harness.metrics.order_breaks.labels(check.value)._value.get()

    def assert_whole(self, response):
        self.assertEqual((response.status, response.body), (200, WHOLE))
        self.assertTrue(response.is_complete)


class StopBetweenAttemptsTest(OrderCase):
    """A stop comes while the attempt that stays behind is being ended."""

    def fetch_during_end(self, step):
        """Return the response; ending an attempt takes until after the stop."""
        self.start_replica(events_apart)
        end, self.ended = StreamAttempt.cancel, []

        def end_slowly(attempt):
            end(attempt)
            self.ended.append(attempt.place.state.replica.replica)
            if len(self.ended) == 1:
                eventlet.sleep(LONG_S)

        patched = mock.patch.object(StreamAttempt, "cancel", end_slowly)
        patched.start()
        self.addCleanup(patched.stop)
        self.replica.silence.begin()
        sock = self.send(TOKENS)
        second = ScriptedReplica("two", beside_probes(step))
        second.silence.begin_for(SILENCE_S)
        self.harness.add(second, domain="b")
        eventlet.sleep(SILENCE_S + 0.3)
        self.assertEqual(self.ended, ["one"])
        self.stop()
        return read_response(sock)

    def test_first_event_is_lost_by_a_stop_that_ends_the_handler(self):
        self.assert_whole(self.fetch_during_end(events_apart))

    def test_whole_stream_of_one_read_is_lost_by_a_stop_that_ends_the_handler(self):
        self.assert_whole(self.fetch_during_end(events_at_once))


class FirstEventTest(OrderCase):
    def test_stream_that_begins_at_its_third_event_looks_whole(self):
        self.start_replica(events(3, 4), max_attempts=1)
        response = read_response(self.send(TOKENS))
        self.assertNotEqual(response.status, 200)
        self.assertNotIn(event(3), response.body)
        self.assertEqual(self.order_breaks(OrderCheck.READ), 1)


class WriteTest(OrderCase):
    def fetch_without(self, is_lost):
        """Return the response to a stream of which the router loses some messages."""
        self.start_replica(events_apart)
        tell = StreamAttempt._tell

        def tell_others(attempt, message):
            if not is_lost(message):
                tell(attempt, message)

        with mock.patch.object(StreamAttempt, "_tell", tell_others):
            return read_response(self.send(TOKENS))

    def assert_incomplete(self, response, body):
        self.assertEqual((response.status, response.body), (200, body))
        self.assertFalse(response.is_complete)
        self.assertEqual(self.order_breaks(OrderCheck.WRITTEN), 1)

    def test_stream_that_lost_an_event_inside_the_router_looks_whole(self):
        response = self.fetch_without(lambda each: getattr(each, "position", 0) == 2)
        self.assert_incomplete(response, event(1))

    def test_stream_that_lost_its_last_event_inside_the_router_looks_whole(self):
        response = self.fetch_without(
            lambda each: isinstance(each, Events) and each.position == 3
        )
        self.assert_incomplete(response, event(1) + event(2))

    def test_stream_that_lost_its_first_event_inside_the_router_looks_whole(self):
        response = self.fetch_without(lambda each: getattr(each, "position", 0) == 1)
        self.assertEqual((response.status, response.is_complete), (502, True))
        self.assertEqual(self.order_breaks(OrderCheck.WRITTEN), 1)

    def test_resumed_stream_that_begins_too_late_looks_whole(self):
        self.start_replica(events(7, 8))
        response = read_response(self.send(TOKENS, b"Last-Event-Id: 5"))
        self.assertEqual((response.status, response.is_complete), (502, True))
        self.assertGreater(self.order_breaks(OrderCheck.READ), 0)

    def test_resumed_stream_goes_on_after_the_caller_s_last_event(self):
        self.start_replica(events(6, 7))
        response = read_response(self.send(TOKENS, b"Last-Event-Id: 5"))
        self.assertEqual((response.status, response.body), (200, event(6) + event(7)))
        self.assertTrue(response.is_complete)
