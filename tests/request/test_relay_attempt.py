import unittest

import eventlet
import msgspec

from boragedeck.connection.messages import FactTopic
from boragedeck.process.relaying.replicas.restraint import Reason
from boragedeck.version.routing import CallKind, RelayPool
from tests.support.replicas import (
    ENGINE,
    FakeFactBoard,
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    events,
    head_of,
    read_response,
    send_chunk,
    send_request,
    stay_silent,
    stream_rule,
)

LEAVING = b"Server-Leaving: 1"
TOKENS = b"Token-Counts: 1000,100"
POOL = RelayPool("engines", 100, ENGINE)


def answer_with_status(status, *lines, body=b""):
    """Return a step that answers with a status and headers."""

    def step(sock, req):
        length = b"Content-Length: %d" % len(body)
        sock.sendall(head_of(req, status, *lines, length) + b"\r\n" + body)
        return True

    return step


def retry_later(*values):
    """Return a step that refuses a request, with a Retry-After header per value."""
    retry_after = [b"Retry-After: " + value for value in values]
    return answer_with_status(503, b"Not-Executed: 1", *retry_after)


def leaving_stream(sock, req):
    """Stream two events after a head with the header Server-Leaving."""
    head = head_of(req, 200, LEAVING, b"Transfer-Encoding: chunked")
    sock.sendall(head + b"\r\n")
    for number in (1, 2):
        eventlet.sleep(0.05)
        send_chunk(sock, event(number))
    sock.sendall(b"0\r\n\r\n")
    return True


class NoticeCase(unittest.TestCase):
    def harness(self, rule=None, facts=None, **fields):
        harness = RelayHarness(rule, facts=facts, **fields)
        self.addCleanup(harness.close)
        return harness

    def stream_harness(self, **fields):
        return self.harness(stream_rule(**fields), pool=POOL)


class LeavingAnswerTest(NoticeCase):
    def check(self, step, rule=None, lines=(), pool=None):
        """Return how many of two requests reach a leaving replica."""
        harness = self.harness(rule, pool=pool)
        one = ScriptedReplica("one", step)
        harness.add(one)
        harness.fetch(*lines)
        harness.add(ScriptedReplica("two", events(1) if pool else answer()), domain="b")
        harness.fetch(*lines, name=b"id-2")
        return len(one.received)

    def test_success_of_a_call(self):
        self.assertEqual(self.check(answer_with_status(200, LEAVING, body=b"whole")), 1)

    def test_failure_of_a_call(self):
        rule = call_rule(CallKind.ONCE)
        self.assertEqual(self.check(answer_with_status(500, LEAVING), rule), 1)

    def test_refusal_of_a_call(self):
        rule = call_rule(CallKind.ONCE, max_attempts=1)
        self.assertEqual(
            self.check(answer_with_status(503, b"Not-Executed: 1", LEAVING), rule), 1
        )

    def test_late_answer_to_another_request(self):
        def stray(sock, req):
            sock.sendall(
                head_of(req, 200, LEAVING, b"Content-Length: 0", request_id=b"id-0")
                + b"\r\n"
            )
            return answer()(sock, req)

        self.assertEqual(self.check(stray), 1)

    def test_head_of_a_stream(self):
        lines = (TOKENS,)
        self.assertEqual(self.check(leaving_stream, stream_rule(), lines, POOL), 1)

    def test_probe_answer_during_a_stream(self):
        harness = self.stream_harness()

        def slow(sock, req):
            eventlet.sleep(0.35)
            send_chunk(sock, event(2))
            sock.sendall(b"0\r\n\r\n")
            return True

        report = answer_with_status(200, LEAVING, body=b"{}")
        one = ScriptedReplica("one", events(1, ends=False, then=slow), report)
        harness.add(one)
        self.assertTrue(harness.fetch(TOKENS).is_complete)
        self.assertTrue(harness.registry.get("one").is_leaving)

    def test_running_stream_continues_while_new_requests_go_elsewhere(self):
        harness = self.stream_harness()
        one = ScriptedReplica("one", leaving_stream)
        two = ScriptedReplica("two", events(1))
        harness.add(one)
        first = harness.connect()
        send_request(first, TOKENS)
        eventlet.sleep(0.03)
        harness.add(two, domain="b")
        self.assertEqual(harness.fetch(TOKENS, name=b"id-2").body, event(1))
        response = read_response(first)
        self.assertEqual(response.body, event(1) + event(2))
        self.assertTrue(response.is_complete)
        self.assertEqual((len(one.received), len(two.received)), (1, 1))

    def test_leaving_notice_of_another_replica_at_the_address_is_not_applied(self):
        harness = self.harness()
        step = answer_with_status(421, b"Instance-Id: other", LEAVING)
        harness.add(ScriptedReplica("one", step))
        harness.add(ScriptedReplica("two", answer()), domain="b")
        state = harness.registry.get("one")
        harness.fetch()
        self.assertFalse(state.is_leaving)

    def test_stream_does_not_resume_from_a_copy_at_a_leaving_engine(self):
        harness = self.stream_harness()
        two = ScriptedReplica("two", events(3))
        three = ScriptedReplica("three", events(3))

        def leave(sock, req):
            harness.registry.note_leaving(harness.registry.get("two").run, "test")
            harness.add(three, domain="c")
            return False

        harness.add(ScriptedReplica("one", events(1, 2, ends=False, then=leave)))
        harness.add(two, domain="b")
        response = harness.fetch(TOKENS)
        self.assertEqual(response.body, event(1) + event(2) + event(3))
        self.assertEqual((len(two.received), len(three.received)), (0, 1))

    def test_leaving_engine_is_not_chosen_as_backup(self):
        harness = self.stream_harness()
        one = ScriptedReplica("one", events(1))
        harness.add(one)
        harness.add(ScriptedReplica("two", events(1)), domain="b")
        harness.registry.note_leaving(harness.registry.get("two").run, "test")
        harness.fetch(TOKENS)
        self.assertNotIn(b"kv-backup", one.received[0].headers)

    def test_hundred_leaving_answers_at_once_publish_one_fact(self):
        harness = self.harness(call_rule(CallKind.ONCE))
        gate = eventlet.Event()

        def wait(sock, req):
            gate.wait()
            return answer_with_status(200, LEAVING, body=b"whole")(sock, req)

        one = ScriptedReplica("one", wait)
        harness.add(one)
        harness.registry.put(msgspec.structs.replace(one.entry(), slots=100))
        socks = [harness.connect() for _ in range(100)]
        for number, sock in enumerate(socks):
            send_request(sock, name=b"id-%d" % number)
        while len(one.received) < len(socks):
            eventlet.sleep(0.01)
        gate.send()
        statuses = {read_response(sock).status for sock in socks}
        self.assertEqual(statuses, {200})
        self.assertEqual(len(harness.facts.facts(FactTopic.LEAVING)), 1)
        reached = len(one.received)
        self.assertEqual(harness.fetch(name=b"late").status, 503)
        self.assertEqual(len(one.received), reached)

    def test_first_leaving_answer_is_published_to_other_routers(self):
        shared = {}
        here = self.harness(facts=FakeFactBoard("r-1", shared))
        there = self.harness(facts=FakeFactBoard("r-2", shared))
        one = ScriptedReplica("one", answer_with_status(200, LEAVING, body=b"whole"))
        here.add(one)
        there.registry.put(one.entry())
        here.fetch()
        self.assertEqual(there.fetch(ms=300).status, 503)
        self.assertEqual(len(one.received), 1)


class HeldOffAnswerTest(NoticeCase):
    def test_held_off_replica_gets_no_further_requests(self):
        harness = self.harness(call_rule(CallKind.ONCE))
        one = ScriptedReplica("one", retry_later(b"5"))
        harness.add(one)
        harness.add(ScriptedReplica("two", answer(b"two")), domain="b")
        for number in range(5):
            response = harness.fetch(name=b"id-%d" % number)
            self.assertEqual(response.body, b"two")
        self.assertEqual(len(one.received), 1)

    def test_retry_after_of_a_fraction_of_a_second_is_waited_for(self):
        harness = self.harness(call_rule(CallKind.ONCE))
        one = ScriptedReplica("one", retry_later(b"0.3"), answer())
        harness.add(one)
        began = harness.timers.now()
        self.assertEqual(harness.fetch().status, 200)
        took_s = harness.timers.now() - began
        self.assertGreaterEqual(took_s, 0.3)
        self.assertLess(took_s, 0.8)

    def test_retry_after_below_one_second_is_not_rounded_down(self):
        harness = self.harness(call_rule(CallKind.ONCE, max_attempts=1))
        one = ScriptedReplica("one", retry_later(b"0.9"))
        harness.add(one)
        harness.fetch()
        eventlet.sleep(0.4)
        harness.fetch(name=b"id-2", ms=300)
        self.assertEqual(len(one.received), 1)

    def test_caller_gets_a_long_retry_after_at_once(self):
        harness = self.harness(call_rule(CallKind.ONCE))
        one = ScriptedReplica("one", retry_later(b"7.5"))
        harness.add(one)
        began = harness.timers.now()
        response = harness.fetch()
        self.assertLess(harness.timers.now() - began, 0.2)
        self.assertEqual(response.status, 503)
        self.assertGreaterEqual(float(response.headers[b"retry-after"]), 7.0)
        self.assertEqual(harness.fetch(name=b"id-2").status, 503)
        self.assertEqual(len(one.received), 1)

    def test_stream_goes_elsewhere_without_counting_a_miss(self):
        harness = self.stream_harness()
        one = ScriptedReplica("one", retry_later(b"5"))
        harness.add(one)
        two = ScriptedReplica("two", events(1))
        harness.add(two, domain="b")
        for number in range(4):
            harness.fetch(TOKENS, name=b"id-%d" % number)
        state = harness.registry.get("one")
        self.assertLessEqual(len(one.received), 1)
        self.assertEqual((state.consecutive_misses, state.failure_share), (0, 0.0))

    def test_held_off_engine_is_not_probed(self):
        harness = self.stream_harness()

        def slow(sock, req):
            harness.registry.get("one").restraints.extend(
                Reason.HELD_OFF, harness.timers.now() + 5.0
            )
            stay_silent(sock, req)
            return False

        one = ScriptedReplica("one", events(1, ends=False, then=slow))
        two = ScriptedReplica("two", events(2))
        harness.add(one)
        harness.add(two, domain="b")
        self.assertTrue(harness.fetch(TOKENS).is_complete)
        self.assertEqual(len(one.received), 1)

    def test_503_without_retry_after_does_not_hold_off_the_replica(self):
        harness = self.harness(call_rule(CallKind.ONCE))
        one = ScriptedReplica("one", retry_later(), answer(b"one"))
        harness.add(one)
        self.assertEqual(harness.fetch().status, 200)
        self.assertEqual(harness.registry.get("one").held_until, 0.0)

    def test_retry_after_of_other_statuses_does_not_hold_off_the_replica(self):
        harness = self.harness(call_rule(CallKind.ONCE))
        harness.add(ScriptedReplica("one", answer_with_status(500, b"Retry-After: 5")))
        harness.fetch()
        self.assertEqual(harness.registry.get("one").held_until, 0.0)
