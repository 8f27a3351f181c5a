"""Handlers and attempts that are ended from outside while they end something."""

from unittest import mock

import eventlet

from boragedeck.connection.upstream_connection import UpstreamConnection
from boragedeck.exceptions import RouterStoppingError
from boragedeck.process.threads import end_thread
from boragedeck.request import relay_stream, unread_reports
from boragedeck.request.relay_call import CallRelay
from boragedeck.request.replica_probe import ReplicaProbe
from tests.request.test_stops import (
    LONG_S,
    POOL,
    TOKENS,
    StopCase,
    beside_probes,
    is_probe,
)
from tests.support.replicas import (
    ScriptedReplica,
    answer,
    call_rule,
    event,
    events,
    moved,
    read_response,
    stay_silent,
    stream_rule,
)

GOAL_S = 1.0
LATE_S = 0.3
"""When a late answer comes: its replica is probed, and isn't found to be silent yet."""
END_S = 0.6
ENDED_WITHIN_S = 0.3
CALL_S = 0.5
SILENCE_S = 1.0


class InterruptionCase(StopCase):
    def setUp(self):
        self.at_work, self.sent = set(), set()

    def replica(self, name, serve=stay_silent):
        """Return a replica that notes whether it works on a request."""

        def step(sock, req):
            if is_probe(req):
                return stay_silent(sock, req)
            self.at_work.add(name)
            self.sent.add(name)
            try:
                return serve(sock, req)
            finally:
                self.at_work.discard(name)

        return ScriptedReplica(name, step)

    def start_pair(self, second=stay_silent):
        """Start with a silent replica and another one, which are both sent a stream."""
        self.start(stream_rule(timeout_s=LONG_S, goal_s=GOAL_S), POOL)
        self.harness.add(self.replica("one"))
        self.harness.add(self.replica("two", second), domain="b")

    def patch(self, *args, **kwargs):
        patcher = mock.patch.object(*args, **kwargs)
        self.addCleanup(patcher.stop)
        return patcher.start()

    def lengthen_stop_of_probe(self):
        """Let the first end of a probe take long."""
        stop, self.is_stopping = ReplicaProbe.stop, False

        def stop_slowly(probe):
            is_first, self.is_stopping = not self.is_stopping, True
            stop(probe)
            if is_first:
                eventlet.sleep(LONG_S)

        self.patch(ReplicaProbe, "stop", stop_slowly)

    def lengthen_end_of(self, module):
        """Let each end of an attempt take long."""

        def end_slowly(thread):
            end_thread(thread)
            self.is_ending = True
            eventlet.sleep(END_S)

        self.is_ending = False
        path = f"boragedeck.request.{module}.end_thread"
        patcher = mock.patch(path, end_slowly)
        patcher.start()
        self.addCleanup(patcher.stop)

    def wait_for(self, condition, timeout_s=5.0):
        with eventlet.Timeout(timeout_s):
            while not condition():
                eventlet.sleep(0.01)

    def assert_ends_work(self):
        eventlet.sleep(ENDED_WITHIN_S)
        self.assertEqual(self.at_work, set())


class EndOfAnAttemptTest(InterruptionCase):
    """The other attempt is being ended, as one goes on."""

    def begin_end(self):
        self.start_pair(second=events(1, ends=False, then=stay_silent))
        self.lengthen_stop_of_probe()
        self.lengthen_end_of("stream_attempt")
        sock = self.send(TOKENS)
        self.wait_for(lambda: self.is_stopping)
        return sock

    def test_attempt_goes_on_for_a_caller_that_left_meanwhile(self):
        self.begin_end().close()
        self.assert_ends_work()

    def test_attempt_goes_on_for_a_request_that_was_given_up_meanwhile(self):
        self.begin_end()
        self.harness.parts.open_requests.end_unbegun(0.0)
        self.assert_ends_work()

    def test_places_are_kept_by_a_caller_that_left_meanwhile(self):
        self.begin_end().close()
        eventlet.sleep(ENDED_WITHIN_S)
        running = [self.harness.registry.get(n).own.running for n in ("one", "two")]
        self.assertEqual(running, [0, 0])


class EndOfAllAttemptsTest(InterruptionCase):
    """A handler that fails by itself ends its attempts, and the caller leaves."""

    def leave_while_attempts_end(self, sock):
        self.wait_for(lambda: self.is_ending)
        self.assertEqual(self.sent, {"one", "two"})
        sock.close()
        eventlet.sleep(2 * END_S)
        self.assert_ends_work()

    def test_second_attempt_of_a_call_goes_on(self):
        self.start(call_rule(timeout_s=LONG_S, goal_s=CALL_S))
        self.harness.add(self.replica("one"))
        self.harness.add(self.replica("two"), domain="b")
        next_result = CallRelay._next_result

        def fail_at_two(relay):
            if len(relay._running_attempts) > 1:
                eventlet.sleep(0.01)
                raise RuntimeError("a defect")
            return next_result(relay)

        self.patch(CallRelay, "_next_result", fail_at_two)
        self.lengthen_end_of("relay_call")
        self.leave_while_attempts_end(self.send())

    def test_second_attempt_of_a_stream_goes_on(self):
        self.start_pair()
        may_start = relay_stream.may_start_beside

        def fail_at_two(job, silent):
            if len(job.attempts.running) > 1:
                raise RuntimeError("a defect")
            return may_start(job, silent)

        self.patch(relay_stream, "may_start_beside", fail_at_two)
        self.lengthen_end_of("stream_attempt")
        self.leave_while_attempts_end(self.send(TOKENS))


def late_whole(sock, req):
    eventlet.sleep(LATE_S)
    return events(1, 2)(sock, req)


class EndOfAProbeTest(InterruptionCase):
    """An attempt has read a whole stream, and its probe is being stopped."""

    def begin_end(self):
        self.start(stream_rule(timeout_s=LONG_S, goal_s=GOAL_S), POOL)
        self.harness.add(self.replica("one", late_whole))
        self.lengthen_stop_of_probe()
        sock = self.send(TOKENS)
        self.wait_for(lambda: self.is_stopping)
        return sock

    def test_whole_stream_does_not_end(self):
        response = read_response(self.begin_end())
        self.assertEqual(response.body, event(1) + event(2))
        self.assertTrue(response.is_complete)

    def test_place_is_kept(self):
        self.begin_end()
        eventlet.sleep(0.01)
        self.assertEqual(self.harness.registry.get("one").own.running, 0)


class MovedTest(InterruptionCase):
    """An attempt asks which replica has an address, and its caller leaves."""

    def test_connection_is_neither_kept_nor_closed(self):
        self.start(stream_rule(timeout_s=LONG_S), POOL)
        one = self.replica("one", moved)
        self.harness.add(one)
        sock = self.send(TOKENS)
        self.assertEqual(len(one.relayed()), 1)
        sock.close()
        eventlet.sleep(0.05)
        self.assertEqual(one.closed_after, [2])


class UnstartedAttemptTest(InterruptionCase):
    """The stop gives a request up whose attempt hasn't run yet."""

    def give_up_after(self, relay_type, name):
        start = getattr(relay_type, name)

        def start_and_stop(relay, *args, **kwargs):
            start(relay, *args, **kwargs)
            raise RouterStoppingError("the router stops", step="relay")

        self.patch(relay_type, name, start_and_stop)

    def assert_ended_unsent(self, sock):
        self.assert_not_run(sock)
        eventlet.sleep(ENDED_WITHIN_S)
        self.assertEqual(self.sent, set())
        self.assertEqual(self.harness.registry.get("one").own.running, 0)

    def test_call_is_said_not_to_have_run_and_is_sent(self):
        self.start(call_rule(timeout_s=LONG_S))
        self.harness.add(self.replica("one"))
        self.give_up_after(CallRelay, "_start_attempt")
        self.assert_ended_unsent(self.send())

    def test_stream_is_said_not_to_have_run_and_is_sent(self):
        self.start(stream_rule(timeout_s=LONG_S), POOL)
        self.harness.add(self.replica("one"))
        self.give_up_after(relay_stream.StreamRelay, "_start")
        self.assert_ended_unsent(self.send(TOKENS))


class ConnectedAttemptTest(InterruptionCase):
    """An attempt is given up when its connection is open."""

    def give_up(self, rule, *lines):
        self.start(rule, POOL)
        self.harness.add(self.replica("one"))
        send = UpstreamConnection.send

        def send_slowly(conn, data):
            send(conn, data)
            eventlet.sleep(LONG_S)

        self.patch(UpstreamConnection, "send", send_slowly)
        sock = self.send(*lines)
        self.harness.parts.open_requests.end_unbegun(0.0)
        return sock

    def test_stream_that_was_sent_and_not_counted_is_said_not_to_have_run(self):
        sock = self.give_up(stream_rule(timeout_s=LONG_S), TOKENS)
        self.assert_may_have_run(sock)
        self.assert_ends_work()

    def test_call_that_was_sent_and_not_counted_is_said_not_to_have_run(self):
        self.assert_may_have_run(self.give_up(call_rule(timeout_s=LONG_S)))
        self.assert_ends_work()


class OutlastingAnswerTest(InterruptionCase):
    """A call's first answer comes while a repeat is asked for, and the stop begins."""

    def test_success_that_nobody_has_read_is_lost(self):
        self.start(call_rule(timeout_s=LONG_S, goal_s=CALL_S, max_attempts=3))
        self.harness.add(self.replica("one", late_answer))
        self.harness.add(self.replica("two", answer(b"bad", 500)), domain="b")
        for _ in range(30):
            self.harness.parts.durations.note("engines", LONG_S)
        self.asked = 0
        self.harness.parts.retries.take = self.take_repeat
        sock = self.send()
        eventlet.sleep(2 * CALL_S)
        self.assertEqual((self.at_work, self.asked), (set(), 2))
        self.harness.parts.open_requests.end_outlasting(1.0)
        response = read_response(sock)
        self.assertEqual((response.status, response.body), (200, b"whole"))

    def take_repeat(self, pool):
        """Grant the hedge, and ask the hubs for the next repeat in vain."""
        self.asked += 1
        if self.asked > 1:
            eventlet.sleep(LONG_S)
        return True


def late_answer(sock, req):
    eventlet.sleep(CALL_S)
    return answer()(sock, req)


class UnreadHeardTest(InterruptionCase):
    """A silent replica is heard while the reports of its attempt aren't read."""

    def test_thread_of_its_probe_waits_for_ever_once_the_caller_has_left(self):
        self.patch(unread_reports, "MAX_UNREAD_BYTES", 1)
        start, probes = ReplicaProbe.__init__, []

        def start_noted(probe, *args):
            probes.append(probe)
            start(probe, *args)

        self.patch(ReplicaProbe, "__init__", start_noted)
        self.start(stream_rule(timeout_s=LONG_S, goal_s=GOAL_S), POOL)
        replica = ScriptedReplica("one", beside_probes(stay_silent))
        replica.silence.begin_for(SILENCE_S)
        self.harness.add(replica)
        self.harness.add(self.replica("two"), domain="b")
        # The handler asks for a second attempt, and reads nothing meanwhile.
        self.harness.parts.retries.take = lambda pool: eventlet.sleep(LONG_S)
        sock = self.send(TOKENS)
        self.wait_for(lambda: any(each.answered_at for each in probes))
        sock.close()
        eventlet.sleep(ENDED_WITHIN_S)
        self.assertEqual([each for each in probes if not each._thread.dead], [])
