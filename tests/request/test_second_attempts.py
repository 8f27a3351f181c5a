"""Attempts beside a silent one: which may start, and how they end."""

import unittest
from unittest import mock

import eventlet

from boragedeck.process.relaying.replicas.restraint import Reason
from boragedeck.request.stream_attempt import StreamAttempt
from boragedeck.version.replicas import ReplicaId
from tests.request.test_silent_replicas import ENGINES, TOKENS, WHOLE, stream
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    event,
    head_of,
    read_response,
    report_model,
    send_chunk,
    send_request,
    stream_rule,
)

MAX_OVERLAP_S = 0.4
PROMPT_S = 2.0
MANY_MS = 8000


def begin(sock, req):
    """Send the head of a stream."""
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")


def is_probe(req):
    return b"request-id" not in req.headers


class SecondAttemptCase(unittest.TestCase):
    def harness(self, *replicas, **fields):
        rule = stream_rule(**{"timeout_s": 4.0, "gap_goal_s": 0.4} | fields)
        harness = RelayHarness(rule, pool=ENGINES)
        self.addCleanup(harness.close)
        for replica, domain in zip(replicas, "abcdef", strict=False):
            harness.add(replica, domain=domain)
        return harness

    def pair(self, **fields):
        one, two = ScriptedReplica("one", stream), ScriptedReplica("two", stream)
        return self.harness(one, two, **fields), one, two

    def spawn(self, function, *args, **kwargs):
        """Run a function in a green thread that doesn't outlive a failed test."""
        thread = eventlet.spawn(function, *args, **kwargs)
        self.addCleanup(thread.kill)
        return thread

    def fetch(self, harness, ms=MANY_MS):
        """Return the response to a stream, and how long it took."""
        began = harness.timers.now()
        response = harness.fetch(TOKENS, ms=ms)
        return response, harness.timers.now() - began

    def fetch_during(self, harness, replica, silence_s=None):
        """Return the same; the replica falls silent meanwhile, by default for good."""
        fetched = self.spawn(self.fetch, harness)
        eventlet.sleep(0.2)
        if silence_s is None:
            replica.silence.begin()
        else:
            replica.silence.begin_for(silence_s)
        return fetched.wait()

    def assert_whole(self, response):
        self.assertEqual((response.status, response.body), (200, WHOLE))
        self.assertTrue(response.is_complete)

    def running(self, harness, *names):
        return [harness.registry.get(ReplicaId(name)).own.running for name in names]


class OverlapTest(SecondAttemptCase):
    """Two replicas don't work on a stream side by side for long."""

    def overlap_s(self, probe_s, hold_s=0.0):
        """Return how long both ran while a replica answers probes after a time."""
        starts = []

        def reading(name, probe_s):
            def step(sock, req):
                if is_probe(req):
                    eventlet.sleep(probe_s)
                    return report_model(sock, req)
                starts.append((name, harness.timers.now()))
                eventlet.sleep(PROMPT_S)
                return stream(sock, req)

            return step

        one = ScriptedReplica("one", reading("one", probe_s))
        harness = self.harness(one, ScriptedReplica("two", reading("two", 0.0)))
        fetched = self.spawn(self.fetch, harness)
        eventlet.sleep(0.05)
        if hold_s:
            until = harness.timers.now() + hold_s
            harness.registry.get("one").restraints.extend(Reason.HELD_OFF, until)
        ended = None
        while not fetched.dead:
            eventlet.sleep(0.01)
            if len(starts) > 1 and self.running(harness, "one", "two") == [1, 1]:
                ended = harness.timers.now()
        self.assert_whole(fetched.wait()[0])
        return 0.0 if ended is None else ended - starts[1][1]

    def test_replica_that_answers_probes_late_is_found_to_be_at_work(self):
        self.assertLess(self.overlap_s(probe_s=0.4), MAX_OVERLAP_S)

    def test_replica_that_asked_to_wait_is_left_for_the_second_one(self):
        self.assertLess(self.overlap_s(probe_s=0.0, hold_s=5.0), MAX_OVERLAP_S)


class LostReplicaTest(SecondAttemptCase):
    """A replica that hangs for good is left."""

    def test_two_replicas_that_hang_lose_a_stream(self):
        replicas = [ScriptedReplica(name, stream) for name in ("one", "two", "three")]
        harness = self.harness(*replicas)
        harness.registry.get("three").peers.running = 3
        replicas[0].silence.begin()
        replicas[1].silence.begin()
        response, _ = self.fetch(harness)
        self.assert_whole(response)

    def test_stream_with_a_suspected_part_stays_at_a_replica_that_hangs(self):
        harness, one, _ = self.pair()
        blame = harness.parts.crash_blame
        with mock.patch.object(blame, "is_suspected", lambda traits: True):
            self.assert_whole(self.fetch_during(harness, one)[0])

    def test_stream_stays_at_a_replica_that_hangs_if_the_others_are_avoided(self):
        harness, one, _ = self.pair()
        for _ in range(4):
            harness.registry.note_miss(harness.registry.get("two"))
        response, took_s = self.fetch_during(harness, one)
        self.assert_whole(response)
        self.assertLess(took_s, 3.0)

    def test_no_attempt_starts_after_the_time_is_over(self):
        lefts, run = [], StreamAttempt._run

        def note_and_run(attempt):
            lefts.append(attempt._job.left_s())
            return run(attempt)

        with mock.patch.object(StreamAttempt, "_run", note_and_run):
            for number in range(4):
                names = "one", "two", "three"
                replicas = [ScriptedReplica(name, stream) for name in names]
                harness = self.harness(*replicas, timeout_s=1.5 + 0.1 * number)
                harness.registry.get("three").peers.running = 6
                replicas[0].silence.begin()
                replicas[1].silence.begin()
                self.fetch(harness)
        self.assertGreater(min(lefts), 0.0)

    def test_final_answer_is_late_because_of_a_probe(self):
        one = ScriptedReplica("one", stream)
        fields = {"timeout_s": 3.5, "gap_goal_s": 4.0, "goal_s": 1.0}
        harness = self.harness(one, is_resumable=False, **fields)
        _, took_s = self.fetch_during(harness, one)
        self.assertLess(took_s, fields["timeout_s"] + 0.5)


class UnexpectedErrorTest(SecondAttemptCase):
    def test_unexpected_error_sends_a_stream_twice_that_may_run_once(self):
        harness, one, two = self.pair(is_resumable=False)
        send, failed = harness.paths.send, []

        def fail_once(*args, **kwargs):
            exchange = send(*args, **kwargs)
            if not failed:
                failed.append(exchange)
                raise RuntimeError("after the request was sent")
            return exchange

        with mock.patch.object(harness.paths, "send", fail_once):
            response, _ = self.fetch(harness)
        self.assertEqual(response.status, 502)
        eventlet.sleep(0.1)
        self.assertLessEqual(len(one.relayed()) + len(two.relayed()), 1)
        self.assertEqual(self.running(harness, "one", "two"), [0, 0])

    def test_unexpected_error_before_the_sending_is_retried_without_end(self):
        harness, one, two = self.pair()
        tries = []

        def fail(attempt):
            tries.append(attempt)
            raise RuntimeError("before the request is sent")

        with mock.patch.object(StreamAttempt, "_choose_backup", fail):
            response, _ = self.fetch(harness)
        self.assertGreaterEqual(response.status, 500)
        self.assertEqual(len(tries), stream_rule().max_attempts)
        self.assertEqual(one.relayed() + two.relayed(), [])


class ReportTest(SecondAttemptCase):
    """What is told of silences."""

    def test_request_is_named_once_for_a_silence_and_a_reset(self):
        def fall_silent(sock, req):
            if is_probe(req):
                eventlet.sleep(PROMPT_S)
            begin(sock, req)
            eventlet.sleep(0.9)
            return False

        one = ScriptedReplica("one", fall_silent)
        harness = self.harness(one, is_resumable=False)
        blame, suspects = harness.parts.crash_blame, []
        note_broken = blame.note_broken

        def note(suspect, *args, **kwargs):
            suspects.append(suspect)
            note_broken(suspect, *args, **kwargs)

        with mock.patch.object(blame, "note_broken", note):
            self.fetch(harness)
        self.assertEqual(len([each for each in suspects if each is not None]), 1)

    def resumed(self, harness, ending):
        samples = next(iter(harness.metrics.resume_s.collect())).samples
        return next(each.value for each in samples if each.name.endswith(ending))

    def test_time_without_events_is_measured_from_the_silence(self):
        def slow(sock, req):
            if not is_probe(req):
                eventlet.sleep(0.5)
            return stream(sock, req)

        one = ScriptedReplica("one", stream)
        harness = self.harness(one, ScriptedReplica("two", slow))
        self.fetch_during(harness, one)
        self.assertGreater(self.resumed(harness, "_sum"), 0.4)

    def test_second_attempt_that_fails_is_no_resumption(self):
        def rude(sock, req):
            return is_probe(req) and report_model(sock, req)

        one = ScriptedReplica("one", stream)
        harness = self.harness(one, ScriptedReplica("two", rude), max_attempts=2)
        self.fetch_during(harness, one, 1.0)
        self.assertEqual(self.resumed(harness, "_count"), 0)


class SlowCallerTest(SecondAttemptCase):
    def test_time_in_which_the_caller_does_not_read_cuts_a_stream(self):
        def send_halves(sock, req):
            if is_probe(req):
                return report_model(sock, req)
            begin(sock, req)
            for number in range(1, 41):
                data = event(number)[:-2] + b"x" * 200_000 + b"\n\n"
                for part in (data[:100_000], data[100_000:]):
                    send_chunk(sock, part)
                    eventlet.sleep(0.02)
            sock.sendall(b"0\r\n\r\n")
            return True

        one = ScriptedReplica("one", send_halves)
        harness = self.harness(one, is_resumable=False, timeout_s=9.0)
        sock = harness.connect()
        send_request(sock, TOKENS, ms=9000)
        eventlet.sleep(3.0)
        self.assertTrue(read_response(sock).is_complete)
