import time
import unittest
from unittest import mock

import eventlet

from boragedeck.interfaces import Outcome
from boragedeck.process.relaying.crashes.crash_blame import SILENT_CONFIRM_S
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
    stream_rule,
)

ENGINES = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
EVENTS = 12
INTERVAL_S = 0.05
SILENCE_AFTER_S = 0.2
SILENCE_S = 1.2
MANY_MS = 8000
MISSES = 5
"""Number of misses after which a replica is avoided for longer than a silence."""
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


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

    def fetch(self, harness, *silent, after_s=SILENCE_AFTER_S, silence_s=SILENCE_S):
        """Return the response to a stream during which replicas fall silent."""
        fetched = eventlet.spawn(harness.fetch, TOKENS, ms=MANY_MS)
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

    def test_second_attempt_goes_to_the_silent_replica(self):
        one = ScriptedReplica("one", stream)
        self.assert_whole(self.fetch(self.harness(one), one))
        self.assertEqual(len(one.relayed()), 1)

    def test_second_attempt_goes_to_a_replica_that_is_avoided(self):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        harness = self.harness(one, two)
        for _ in range(MISSES):
            harness.registry.get("two").note_miss(harness.timers.now())
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
        fetched = eventlet.spawn(self.fetch, harness, one)
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
