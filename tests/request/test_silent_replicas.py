import time
import unittest
from unittest import mock

import eventlet
from eventlet.event import Event

from boragedeck.interfaces import Outcome
from boragedeck.process.relaying.crashes.crash_reports import SILENT_CONFIRM_S
from boragedeck.version.routing import CallKind, RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    head_of,
    report_model,
    send_chunk,
    send_request,
    stream_rule,
)

ENGINES = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
EVENTS = 12
INTERVAL_S = 0.05
SILENCE_AFTER_S = 0.2
SILENCE_S = 1.2
FLAP_S = 0.6
LARGE_BODY = b"x" * 4_000_000
LONG_SILENCES_S = 2.6, 4.0
LARGE_LEFT_WITHIN_S = 2.0
"""How soon a stream is whole whose body the first replica doesn't take."""
VERDICT_S = 3.0
MANY_MS = 8000
LEFT_WITHIN_S = 3.0
"""How soon a stream is whole that three replicas leave, each for good."""
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


def serve(step):
    """Return a step that also answers probes."""

    def run(sock, req):
        is_probe = b"request-id" not in req.headers
        return (report_model if is_probe else step)(sock, req)

    return run


def stream(sock, req):
    """Stream the events that the request misses, at an even pace; answer probes."""
    if b"request-id" not in req.headers:
        return report_model(sock, req)
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in range(int(req.headers.get(b"last-event-id", 0)) + 1, EVENTS + 1):
        send_chunk(sock, event(number))
        eventlet.sleep(INTERVAL_S)
    sock.sendall(b"0\r\n\r\n")
    return True


class SilentReplicaTest(unittest.TestCase):
    def harness(self, *replicas, **fields):
        rule = stream_rule(**{"timeout_s": 8.0, "gap_goal_s": 0.4} | fields)
        harness = RelayHarness(rule, pool=ENGINES)
        self.addCleanup(harness.close)
        for replica, domain in zip(replicas, "abcdef", strict=False):
            harness.add(replica, domain=domain)
        return harness

    def spawn(self, function, *args, **kwargs):
        """Run a function in a green thread that doesn't outlive a failed test."""
        thread = eventlet.spawn(function, *args, **kwargs)
        self.addCleanup(thread.kill)
        return thread

    def fetch(self, harness, *silent, after_s=SILENCE_AFTER_S, silence_s=SILENCE_S):
        """Return the response to a stream during which replicas fall silent."""
        fetched = self.spawn(harness.fetch, TOKENS, ms=MANY_MS)
        eventlet.sleep(after_s)
        for replica in silent:
            replica.silence.begin_for(silence_s)
        return fetched.wait()

    def assert_whole(self, response):
        self.assertEqual((response.status, response.body), (200, WHOLE))
        self.assertTrue(response.is_complete)

    def test_silence_cuts_a_stream_that_cannot_be_resumed(self):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two, is_resumable=False)
        self.assert_whole(self.fetch(harness, one))
        self.assertEqual((len(one.relayed()), len(two.relayed())), (1, 0))

    def test_silence_cuts_a_stream_without_attempts_left(self):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two, max_attempts=1)
        self.assert_whole(self.fetch(harness, one))
        self.assertEqual((len(one.relayed()), len(two.relayed())), (1, 0))

    def test_silence_of_all_replicas_cuts_a_stream(self):
        replicas = [ScriptedReplica(name, stream) for name in ("one", "two", "three")]
        harness = self.harness(*replicas, max_attempts=2)
        self.assert_whole(self.fetch(harness, *replicas))

    def test_silence_before_the_first_event_ends_a_stream(self):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two, is_resumable=False)
        one.silence.begin()
        self.assert_whole(self.fetch(harness, one, after_s=0.0))
        self.assertEqual((len(one.relayed()), len(two.relayed())), (1, 0))

    def test_silence_in_the_middle_of_an_event_cuts_a_stream(self):
        def part(sock, req):
            if b"request-id" not in req.headers:
                return report_model(sock, req)
            sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
            for piece in (WHOLE[:4], WHOLE[4:8], WHOLE[8:12], WHOLE[12:]):
                send_chunk(sock, piece)
                eventlet.sleep(INTERVAL_S)
            sock.sendall(b"0\r\n\r\n")
            return True

        one = ScriptedReplica("one", part)
        harness = self.harness(one, is_resumable=False)
        self.assert_whole(self.fetch(harness, one, after_s=1.5 * INTERVAL_S))

    def test_stream_that_the_silent_replica_continues_first_has_no_event_twice(self):
        def slow(sock, req):
            if b"request-id" in req.headers:
                eventlet.sleep(2.0 * SILENCE_S)
            return stream(sock, req)

        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", slow)
        harness = self.harness(one, two)
        began = time.monotonic()
        self.assert_whole(self.fetch(harness, one))
        self.assertLess(time.monotonic() - began, 2.0 * SILENCE_S)
        self.assertEqual((len(one.relayed()), len(two.relayed())), (1, 1))
        self.assertEqual(harness.registry.get("two").own.running, 0)

    def test_events_of_both_attempts_reach_the_caller(self):
        def late(sock, req):
            if b"request-id" in req.headers:
                eventlet.sleep(0.6 * SILENCE_S)
            return stream(sock, req)

        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", late)
        harness = self.harness(one, two)
        self.assert_whole(self.fetch(harness, one))
        self.assertEqual((len(one.relayed()), len(two.relayed())), (1, 1))

    def test_stream_goes_on_at_the_second_replica_if_that_sends_first(self):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two)
        began = time.monotonic()
        self.assert_whole(self.fetch(harness, one))
        self.assertLess(time.monotonic() - began, SILENCE_S)
        self.assertEqual((len(one.relayed()), len(two.relayed())), (1, 1))
        self.assertEqual(harness.registry.get("one").own.running, 0)

    def test_second_replica_that_falls_silent_too_holds_a_stream(self):
        replicas = {}

        def hang(sock, req):
            """Fall silent for good at the first two attempts that go on."""
            resumed = [
                each
                for r in replicas.values()
                for each in r.relayed()
                if b"last-event-id" in each.headers
            ]
            if b"last-event-id" in req.headers and len(resumed) <= 2:
                name = req.headers[b"expect-instance"].decode()
                replicas[name].silence.begin()
            return stream(sock, req)

        for name in ("one", "two", "three", "four"):
            replicas[name] = ScriptedReplica(name, hang)
        harness = self.harness(*replicas.values(), max_attempts=4)
        fetched = self.spawn(harness.fetch, TOKENS, ms=MANY_MS)
        eventlet.sleep(SILENCE_AFTER_S)
        [first] = [each for each in replicas.values() if each.relayed()]
        first.silence.begin()
        began = time.monotonic()
        self.assert_whole(fetched.wait())
        self.assertLess(time.monotonic() - began, LEFT_WITHIN_S)
        self.assertEqual([len(each.relayed()) for each in replicas.values()], [1] * 4)
        for name in replicas:
            self.assertEqual(harness.registry.get(name).own.running, 0)

    def test_silences_that_end_use_up_the_attempts_of_a_stream(self):
        def slow(sock, req):
            if b"request-id" in req.headers and is_flapping:
                eventlet.sleep(2.0 * FLAP_S)
            return stream(sock, req)

        is_flapping = True
        others = [ScriptedReplica(name, slow) for name in ("two", "three")]
        one = ScriptedReplica("one", stream)
        harness = self.harness(one, *others, max_attempts=3)
        fetched = self.spawn(harness.fetch, TOKENS, ms=MANY_MS)
        for _ in range(3):
            eventlet.sleep(0.12)
            one.silence.begin_for(FLAP_S)
            eventlet.sleep(FLAP_S)
        is_flapping = False
        eventlet.sleep(0.02)
        one.stop()
        self.assert_whole(fetched.wait())
        sent = one.relayed() + [r for each in others for r in each.relayed()]
        self.assertLessEqual(len(sent), 1 + 3)

    def test_caller_who_leaves_while_a_repeat_is_asked_for_leaves_a_place_taken(self):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two)
        asked = Event()

        def take(pool):
            asked.send()
            eventlet.sleep(SILENCE_S)
            return True

        harness.parts.retries.take = take
        sock = harness.connect()
        send_request(sock, TOKENS, ms=MANY_MS)
        eventlet.sleep(SILENCE_AFTER_S)
        one.silence.begin_for(SILENCE_S)
        asked.wait()
        sock.close()
        eventlet.sleep(SILENCE_AFTER_S)
        for name in ("one", "two"):
            self.assertEqual(harness.registry.get(name).own.running, 0)

    def test_silence_that_has_ended_starts_a_second_attempt(self):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two)
        asked = Event()

        def take(pool):
            asked.send()
            eventlet.sleep(FLAP_S)
            return True

        harness.parts.retries.take = take
        self.assert_whole(self.fetch(harness, one, silence_s=FLAP_S))
        self.assertTrue(asked.ready())
        self.assertEqual((len(one.relayed()), len(two.relayed())), (1, 0))
        self.assertEqual(harness.registry.get("two").own.running, 0)

    def test_second_attempt_goes_to_the_silent_replica(self):
        one = ScriptedReplica("one", stream)
        self.assert_whole(self.fetch(self.harness(one), one))
        self.assertEqual(len(one.relayed()), 1)

    def test_second_attempt_goes_to_a_replica_that_is_silent_too(self):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two)
        harness.registry.get("two").note_silent(harness.timers.now())
        self.assert_whole(self.fetch(harness, one, two))
        self.assertEqual((len(one.relayed()), len(two.relayed())), (1, 0))

    def test_second_attempt_starts_though_the_shared_limit_is_reached(self):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two)
        with mock.patch.object(harness.parts.retries, "take", return_value=False):
            self.assert_whole(self.fetch(harness, one))
        self.assertEqual((len(one.relayed()), len(two.relayed())), (1, 0))
        self.assertEqual(harness.registry.get("two").own.running, 0)

    def test_second_attempt_is_not_charged_to_the_shared_limit(self):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two)
        retries = harness.parts.retries
        with mock.patch.object(retries, "take", side_effect=retries.take) as take:
            self.assert_whole(self.fetch(harness, one))
        self.assertEqual(len(two.relayed()), 1)
        take.assert_called_once()

    def test_second_attempt_runs_on_after_the_silent_replica_is_heard(self):
        def paused(sock, req):
            if b"request-id" not in req.headers:
                return report_model(sock, req)
            sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
            send_chunk(sock, WHOLE[: len(event(1))])
            eventlet.sleep(2.0 * SILENCE_S)
            send_chunk(sock, WHOLE[len(event(1)) :])
            sock.sendall(b"0\r\n\r\n")
            return True

        def slow(sock, req):
            if b"request-id" in req.headers:
                eventlet.sleep(3.0 * SILENCE_S)
            return stream(sock, req)

        one, two = ScriptedReplica("one", paused), ScriptedReplica("two", slow)
        harness = self.harness(one, two)
        fetched = self.spawn(self.fetch, harness, one)
        eventlet.sleep(1.7 * SILENCE_S)
        self.assertEqual(len(two.relayed()), 1)
        self.assertEqual(harness.registry.get("two").own.running, 0)
        self.assertEqual(harness.registry.get("one").own.running, 1)
        self.assert_whole(fetched.wait())

    def test_silence_counts_against_a_version_though_its_replica_is_heard(self):
        self.assertEqual(self.failures_after(SILENCE_S), [])

    def test_replica_that_stays_silent_does_not_count_against_its_version(self):
        self.assertEqual(self.failures_after(2.0 * SILENT_CONFIRM_S), ["one"])

    def failures_after(self, silence_s):
        """Return which replicas count as failed once one of two was silent."""
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two)
        with mock.patch.object(harness.parts.rollouts, "note") as note:
            self.assert_whole(self.fetch(harness, one, silence_s=silence_s))
            self.assertEqual(len(two.relayed()), 1)
            eventlet.sleep(1.5 * SILENT_CONFIRM_S)
        samples = [call.args[1] for call in note.call_args_list]
        return [each.upstream for each in samples if each.outcome is Outcome.FAILED]

    def test_silence_longer_than_the_objective_ends_a_call_that_may_run_once(self):
        one = ScriptedReplica("one", answer())
        rule = call_rule(CallKind.ONCE, goal_s=0.2, timeout_s=4.0)
        harness = RelayHarness(rule)
        self.addCleanup(harness.close)
        harness.add(one)
        one.silence.begin_for(SILENCE_S)
        response = harness.fetch(ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(len(one.relayed()), 1)

    def test_silence_while_a_large_body_is_sent_loses_a_call_that_may_run_once(self):
        one = ScriptedReplica("one", answer())
        harness = RelayHarness(call_rule(CallKind.ONCE, goal_s=0.2, timeout_s=4.0))
        self.addCleanup(harness.close)
        harness.add(one)
        one.silence.begin_for(SILENCE_S)
        response = harness.fetch(body=LARGE_BODY, ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(len(one.relayed()), 1)

    def test_long_silence_while_a_body_is_sent_loses_a_call_that_may_run_once(self):
        for silence_s in LONG_SILENCES_S:
            with self.subTest(silence_s=silence_s):
                one = ScriptedReplica("one", answer())
                rule = call_rule(CallKind.ONCE, goal_s=0.2, timeout_s=8.0)
                harness = RelayHarness(rule)
                self.addCleanup(harness.close)
                harness.add(one)
                one.silence.begin_for(silence_s)
                response = harness.fetch(body=LARGE_BODY, ms=MANY_MS)
                self.assertEqual((response.status, response.body), (200, b"whole"))
                self.assertEqual(len(one.relayed()), 1)

    def test_long_silence_while_a_body_is_sent_ends_a_stream(self):
        one = ScriptedReplica("one", stream)
        harness = self.harness(one, is_resumable=False)
        one.silence.begin_for(LONG_SILENCES_S[0])
        response = harness.fetch(TOKENS, body=LARGE_BODY, ms=MANY_MS)
        self.assert_whole(response)
        self.assertEqual(len(one.relayed()), 1)

    def test_body_that_is_not_taken_holds_a_stream(self):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two)
        one.silence.begin()
        began = time.monotonic()
        response = harness.fetch(TOKENS, body=LARGE_BODY, ms=MANY_MS)
        self.assert_whole(response)
        self.assertLess(time.monotonic() - began, LARGE_LEFT_WITHIN_S)
        self.assertEqual(len(two.relayed()), 1)
        self.assertEqual(harness.registry.get("one").own.running, 0)

    def test_silence_in_the_middle_of_a_body_loses_a_call_that_may_run_once(self):
        def part(sock, req):
            sock.sendall(head_of(req, 200, b"Content-Length: 5") + b"\r\n")
            for piece in (b"w", b"ho", b"le"):
                eventlet.sleep(SILENCE_AFTER_S)
                sock.sendall(piece)
            return True

        one = ScriptedReplica("one", part)
        harness = RelayHarness(call_rule(CallKind.ONCE, goal_s=0.2, timeout_s=4.0))
        self.addCleanup(harness.close)
        harness.add(one)
        response = self.fetch(harness, one, after_s=1.5 * SILENCE_AFTER_S)
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(len(one.relayed()), 1)


class SilentVersionTest(unittest.TestCase):
    """What silences count against a version."""

    def start(self, replica, rule):
        harness = RelayHarness(rule, pool=ENGINES)
        self.addCleanup(harness.close)
        harness.add(replica)
        self.outcomes = []
        harness.parts.rollouts.note = self.note
        return harness

    def note(self, replica, sample):
        self.outcomes.append(sample.outcome)

    def play(self, rule, step, silence_s, ms=500):
        """Send a request to a replica that falls silent, and wait for a verdict."""
        replica = ScriptedReplica("one", step)
        harness = self.start(replica, rule)
        self.assertEqual(harness.fetch(TOKENS, name=b"id-0").status, 200)
        eventlet.sleep(0.3)
        self.outcomes.clear()
        replica.silence.begin_for(silence_s)
        harness.fetch(TOKENS, ms=ms)
        eventlet.sleep(VERDICT_S)

    def test_silence_fails_the_version_of_a_call(self):
        self.play(call_rule(), serve(answer()), SILENCE_S)
        self.assertEqual(self.outcomes, [])

    def test_silence_fails_the_version_of_a_stream(self):
        self.play(stream_rule(max_attempts=1), stream, SILENCE_S)
        self.assertNotIn(Outcome.FAILED, self.outcomes)

    def test_loss_does_not_fail_the_version_of_a_stream(self):
        self.play(stream_rule(max_attempts=1), stream, MANY_MS)
        self.assertEqual(self.outcomes, [Outcome.FAILED])
