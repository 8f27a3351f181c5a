import unittest

import eventlet
import msgspec

from boragedeck.connection.messages import FactTopic
from boragedeck.process.relaying.crashes.crash_messages import (
    CrashVerdict,
    VerdictState,
    part_signature,
)
from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    FakeFactBoard,
    RelayHarness,
    ScriptedReplica,
    event,
    events,
    head_of,
    read_response,
    report_model,
    send_chunk,
    send_request,
    stay_silent,
    stream_rule,
)

POOL = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
DEADLY = b"dead"
MAX_REPLICAS_LOST = 4
PATIENT_RULE = stream_rule(goal_s=20.0, gap_goal_s=10.0, timeout_s=30.0)
"""With these objectives no engine is probed because it is silent for a while."""
REPLICAS = 24
DOMAINS = 4


class SilentReplicaTest(unittest.TestCase):
    """Sound replicas fall silent for a second, one after the other, and go on."""

    silence_s = 1.2

    def setUp(self):
        self.harness = RelayHarness(stream_rule(timeout_s=8.0), pool=POOL)
        self.addCleanup(self.harness.close)
        self.silent_until = {}
        for number in range(8):
            replica = ScriptedReplica(f"engine-{number}", None)
            replica._steps[0] = self.engine(replica)
            self.harness.add(replica)
            self.harness.registry.put(replica.entry(domain=f"d{number % DOMAINS}"))

    def now(self):
        return self.harness.timers.now()

    def fall_silent(self, replica):
        """Make a replica silent for the first time, unless another one still is."""
        is_alone = self.now() >= max(self.silent_until.values(), default=0.0)
        if is_alone and replica.name not in self.silent_until:
            self.silent_until[replica.name] = self.now() + self.silence_s

    def wait_until_awake(self, replica):
        while self.now() < self.silent_until.get(replica.name, 0.0):
            eventlet.sleep(0.01)

    def engine(self, replica):
        def serve(sock, req):
            self.wait_until_awake(replica)
            if b"request-id" not in req.headers:
                return report_model(sock, req)
            sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
            first = int(req.headers.get(b"last-event-id", b"0")) + 1
            for number in range(first, 9):
                # The first silent moment hits the stream before its output has lasted.
                if number == 2:
                    self.fall_silent(replica)
                self.wait_until_awake(replica)
                send_chunk(sock, event(number))
                eventlet.sleep(0.02)
            sock.sendall(b"0\r\n\r\n")
            return True

        return serve

    def fetch(self, number):
        prefix = b"Prompt-Prefix: a:200,%x:800" % number
        name, body = b"id-%d" % number, b"body %d" % number
        return self.harness.fetch(TOKENS, prefix, name=name, body=body, ms=8000)

    def test_silence_of_sound_replicas_is_taken_for_crashes(self):
        fetched = []
        for number in range(16):
            fetched.append(eventlet.spawn(self.fetch, number))
            eventlet.sleep(0.3)
        for thread in fetched:
            response = thread.wait()
            self.assertEqual((response.status, response.is_complete), (200, True))
        self.assertGreaterEqual(len(self.silent_until), 4)
        eventlet.sleep(2.5)
        self.assertEqual(self.harness.metrics.crashes_reported._value.get(), 0)
        self.assertEqual(self.fetch(99).status, 200)

    def test_replica_is_used_again_soon_after_its_silence(self):
        self.fetch(0)
        silent = [self.harness.registry.get(name) for name in self.silent_until]
        until = max(self.silent_until.values())
        while any(state.avoid_until > self.now() for state in silent):
            eventlet.sleep(0.02)
        self.assertLess(self.now(), until + 1.0)


class DeadlyPartTest(unittest.TestCase):
    def setUp(self):
        self.harness = RelayHarness(stream_rule(timeout_s=8.0), pool=POOL)
        self.addCleanup(self.harness.close)
        self.ended = []
        for number in range(REPLICAS):
            replica = ScriptedReplica(f"engine-{number}", None)
            replica._steps[0] = self.engine(replica)
            self.harness.add(replica)
            entry = replica.entry(domain=f"d{number % DOMAINS}")
            self.harness.registry.put(entry)

    def engine(self, replica):
        def serve(sock, req):
            if b"request-id" not in req.headers:
                return report_model(sock, req)
            if DEADLY not in req.headers.get(b"prompt-prefix", b""):
                return events(1, 2)(sock, req)
            sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
            eventlet.sleep(0.01)
            self.ended.append(replica.name)
            replica.stop()
            return False

        return serve

    def fetch(self, number, parts):
        prefix = b"Prompt-Prefix: %s:200,%x:800" % (parts, number)
        name, body = b"id-%d" % number, b"body %d" % number
        return self.harness.fetch(TOKENS, prefix, name=name, body=body, ms=8000)

    def test_part_that_crashes_replicas_ends_few_of_them(self):
        statuses = [self.fetch(n, b"a:200,dead").status for n in range(8)]
        self.assertLessEqual(len(self.ended), MAX_REPLICAS_LOST)
        self.assertEqual(statuses[-1], 500)

    def test_sound_requests_with_the_first_part_of_a_deadly_one_are_served(self):
        for number in range(5):
            self.fetch(number, b"a:200,dead")
            sound = self.fetch(100 + number, b"a:200,b")
            self.assertEqual((sound.status, sound.is_complete), (200, True))
        self.assertLessEqual(len(self.ended), MAX_REPLICAS_LOST)


class BlamedRequestTest(unittest.TestCase):
    def setUp(self):
        self.shared = {}
        self.board = FakeFactBoard("judge", self.shared)

    def harness(self, *steps):
        facts = FakeFactBoard("r-1", self.shared)
        harness = RelayHarness(PATIENT_RULE, pool=POOL, facts=facts)
        self.addCleanup(harness.close)
        self.replica = ScriptedReplica("engine", *steps)
        harness.add(self.replica)
        return harness

    def publish(self, state, trial_after_s=30.0):
        verdict = CrashVerdict(part_signature("engines", "x"), state, 0, trial_after_s)
        body = msgspec.msgpack.encode(verdict)
        self.board.publish(FactTopic.CRASH, "engines x", body)

    def fetch_then_blame(self, harness):
        sock = harness.connect()
        send_request(sock, TOKENS, b"Prompt-Prefix: x:200,b:800")
        while not self.replica.received:
            eventlet.sleep(0.01)
        eventlet.sleep(0.1)
        self.publish(VerdictState.BLAMED)
        return read_response(sock)

    def test_request_that_is_being_read_is_withdrawn_when_its_part_is_blamed(self):
        withdrawn = []

        def read(sock, req):
            withdrawn.append(stay_silent(sock, req))
            return False

        harness = self.harness(read)
        started = harness.timers.now()
        response = self.fetch_then_blame(harness)
        self.assertEqual(response.status, 500)
        self.assertLess(harness.timers.now() - started, 2.0)
        eventlet.sleep(0.05)
        self.assertEqual((len(withdrawn), len(self.replica.received)), (1, 1))

    def test_answer_that_has_begun_goes_on_when_its_part_is_blamed(self):
        def slow(sock, req):
            eventlet.sleep(0.2)
            send_chunk(sock, event(2))
            sock.sendall(b"0\r\n\r\n")
            return True

        harness = self.harness(events(1, ends=False, then=slow))
        response = self.fetch_then_blame(harness)
        self.assertEqual(response.body, event(1) + event(2))
        self.assertTrue(response.is_complete)

    def test_blamed_request_is_refused_without_retry_after_and_not_sent(self):
        harness = self.harness(events(1))
        self.publish(VerdictState.BLAMED)
        response = harness.fetch(TOKENS, b"Prompt-Prefix: x:200,b:800")
        self.assertEqual(response.status, 500)
        self.assertNotIn(b"retry-after", response.headers)
        self.assertEqual(self.replica.received, [])

    def test_requests_without_the_blamed_part_are_served(self):
        harness = self.harness(events(1))
        self.publish(VerdictState.BLAMED)
        for prefix in (b"b:200,x:800", b"y:200,b:800"):
            response = harness.fetch(TOKENS, b"Prompt-Prefix: " + prefix)
            self.assertTrue(response.is_complete)

    def test_one_request_is_sent_as_a_trial_and_its_answer_ends_the_blame(self):
        def lasting(sock, req):
            for number in range(2, 7):
                eventlet.sleep(0.1)
                send_chunk(sock, event(number))
            sock.sendall(b"0\r\n\r\n")
            return True

        harness = self.harness(events(1, ends=False, then=lasting))
        self.publish(VerdictState.BLAMED, trial_after_s=0.0)
        prefix = b"Prompt-Prefix: x:200,b:800"
        trial = harness.connect()
        send_request(trial, TOKENS, prefix, name=b"id-1")
        eventlet.sleep(0.1)
        other = harness.fetch(TOKENS, prefix, name=b"id-2")
        self.assertEqual(other.status, 500)
        self.assertTrue(read_response(trial).is_complete)
        self.assertTrue(harness.fetch(TOKENS, prefix, name=b"id-3").is_complete)
