from unittest import mock

import eventlet

from boragedeck.version.routing import CallKind
from tests.request.test_stops import (
    LONG_S,
    POOL,
    TOKENS,
    StopCase,
    beside_probes,
    stream_slowly,
)
from tests.support.replicas import (
    ScriptedReplica,
    answer,
    event,
    events,
    head_of,
    read_response,
    send_chunk,
    stream_rule,
)

SOON_S = 0.3
SILENCE_S = 0.8


def late(step):
    """Return a step that waits before it answers."""

    def serve(sock, req):
        eventlet.sleep(SOON_S)
        return step(sock, req)

    return serve


def one_by_one(numbers):
    """Return a step that streams events each of which is read by itself."""

    def step(sock, req):
        sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
        for number in numbers:
            send_chunk(sock, event(number))
            eventlet.sleep(0.001)
        sock.sendall(b"0\r\n\r\n")
        return True

    return step


class UnreadAnswerTest(StopCase):
    """A hedge fails, and the call's first answer arrives while a repeat is asked."""

    def start_hedged(self, first, asking_s):
        self.start_calls(late(first), kind=CallKind.IDEMPOTENT, max_attempts=5)
        failing = ScriptedReplica("two", beside_probes(answer(b"bad", 500)))
        self.harness.add(failing, domain="b")
        hedge_early = mock.patch("boragedeck.request.relay_call.HEDGE_DELAY_SHARE", 0.1)
        hedge_early.start()
        self.addCleanup(hedge_early.stop)
        self.asked = 0
        self.asking_s = asking_s
        self.harness.parts.retries.take = self.take_repeat

    def take_repeat(self, pool):
        """Grant the hedge, and ask the hubs for the next repeat in vain."""
        self.asked += 1
        if self.asked == 1:
            return True
        eventlet.sleep(self.asking_s)
        return False

    def test_success_that_arrives_while_a_repeat_is_asked_for_is_lost(self):
        self.start_hedged(answer(b"whole"), asking_s=2 * SOON_S)
        response = read_response(self.send())
        self.assertEqual((response.status, response.body), (200, b"whole"))

    def test_success_that_nobody_has_read_is_lost_at_the_end_of_the_stop(self):
        self.start_hedged(answer(b"whole"), asking_s=LONG_S)
        sock = self.send()
        self.stop()
        response = read_response(sock)
        self.assertEqual((response.status, response.body), (200, b"whole"))

    def test_failure_that_nobody_has_read_is_replaced_at_the_end_of_the_stop(self):
        self.start_hedged(answer(b"worse", 504), asking_s=LONG_S)
        sock = self.send()
        self.stop()
        response = read_response(sock)
        self.assertEqual((response.status, response.body), (504, b"worse"))


class UnreadStreamTest(StopCase):
    """A silent replica answers while a second attempt is asked for."""

    def send_silent(self, step):
        self.start(stream_rule(timeout_s=LONG_S, goal_s=0.4), POOL)
        self.replica = ScriptedReplica("one", beside_probes(step))
        self.harness.add(self.replica)
        self.harness.add(ScriptedReplica("two", beside_probes(events(1))), domain="b")
        self.harness.parts.retries.take = self.take_repeat
        self.is_asked = False
        self.replica.silence.begin_for(SILENCE_S)
        sock = self.send(TOKENS)
        self.stop()
        self.assertTrue(self.is_asked)
        return read_response(sock)

    def take_repeat(self, pool):
        self.is_asked = True
        eventlet.sleep(LONG_S)
        return False

    def test_whole_stream_that_nobody_has_read_is_lost(self):
        response = self.send_silent(events(1, 2))
        self.assertEqual((response.status, response.is_complete), (200, True))
        self.assertEqual(response.body, event(1) + event(2))

    def test_whole_stream_of_many_events_that_nobody_has_read_is_lost(self):
        numbers = range(1, 101)
        response = self.send_silent(one_by_one(numbers))
        self.assertEqual((response.status, response.is_complete), (200, True))
        self.assertEqual(response.body, b"".join(map(event, numbers)))

    def test_failure_of_a_stream_that_nobody_has_read_is_replaced(self):
        response = self.send_silent(answer(b"bad", 500))
        self.assertEqual((response.status, response.body), (500, b"bad"))

    def test_unread_part_of_a_stream_is_begun_only_to_be_cut(self):
        response = self.send_silent(stream_slowly)
        self.assertEqual((response.status, response.is_complete), (502, True))
