import unittest

import eventlet
import msgspec

from boragedeck.connection.messages import FactTopic
from boragedeck.process.relaying.restraint import Reason
from boragedeck.version.routing import CallKind, RelayPool
from tests.support.replicas import (
    ENGINE,
    Facts,
    RelayWorld,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    events,
    head_of,
    read_response,
    send_chunk,
    send_request,
    silence,
    stream_rule,
)

LEAVING = b"Server-Leaving: 1"
TOKENS = b"Token-Counts: 1000,100"
POOL = RelayPool("engines", 100, ENGINE)


def say(status, *lines, body=b""):
    """Answer with a status and headers."""

    def step(sock, req):
        length = b"Content-Length: %d" % len(body)
        sock.sendall(head_of(req, status, *lines, length) + b"\r\n" + body)
        return True

    return step


def busy(*values):
    """Turn a request away, and say when to return."""
    wishes = [b"Retry-After: " + value for value in values]
    return say(503, b"Not-Executed: 1", *wishes)


def leaving_stream(sock, req):
    """Stream two events, the head of which says that the replica leaves."""
    head = head_of(req, 200, LEAVING, b"Transfer-Encoding: chunked")
    sock.sendall(head + b"\r\n")
    for number in (1, 2):
        eventlet.sleep(0.05)
        send_chunk(sock, event(number))
    sock.sendall(b"0\r\n\r\n")
    return True


class NoticeCase(unittest.TestCase):
    def world(self, rule=None, facts=None, **fields):
        world = RelayWorld(rule, facts=facts, **fields)
        self.addCleanup(world.close)
        return world

    def stream_world(self, **fields):
        return self.world(stream_rule(**fields), pool=POOL)


class LeavingAnswerTest(NoticeCase):
    def check(self, step, rule=None, lines=(), pool=None):
        """Return how often a leaving replica is reached in two requests."""
        world = self.world(rule, pool=pool)
        one = ScriptedReplica("one", step)
        world.add(one)
        world.ask(*lines)
        world.add(ScriptedReplica("two", events(1) if pool else answer()), domain="b")
        world.ask(*lines, name=b"id-2")
        return len(one.seen)

    def test_success_of_a_call(self):
        self.assertEqual(self.check(say(200, LEAVING, body=b"whole")), 1)

    def test_failure_of_a_call(self):
        rule = call_rule(CallKind.ONCE)
        self.assertEqual(self.check(say(500, LEAVING), rule), 1)

    def test_refusal_of_a_call(self):
        rule = call_rule(CallKind.ONCE, max_attempts=1)
        self.assertEqual(self.check(say(503, b"Not-Executed: 1", LEAVING), rule), 1)

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

    def test_report_of_an_engine_under_a_stream(self):
        world = self.stream_world()

        def slow(sock, req):
            eventlet.sleep(0.35)
            send_chunk(sock, event(2))
            sock.sendall(b"0\r\n\r\n")
            return True

        report = say(200, LEAVING, body=b"{}")
        one = ScriptedReplica("one", events(1, ends=False, then=slow), report)
        world.add(one)
        self.assertTrue(world.ask(TOKENS).is_complete)
        self.assertTrue(world.registry.get("one").is_leaving)

    def test_run_under_way_goes_on_and_its_mark_holds_meanwhile(self):
        world = self.stream_world()
        one = ScriptedReplica("one", leaving_stream)
        two = ScriptedReplica("two", events(1))
        world.add(one)
        first = world.connect()
        send_request(first, TOKENS)
        eventlet.sleep(0.03)
        world.add(two, domain="b")
        self.assertEqual(world.ask(TOKENS, name=b"id-2").body, event(1))
        response = read_response(first)
        self.assertEqual(response.body, event(1) + event(2))
        self.assertTrue(response.is_complete)
        self.assertEqual((len(one.seen), len(two.seen)), (1, 1))

    def test_notice_of_another_replica_at_the_address_is_not_this_ones(self):
        world = self.world()
        step = say(421, b"Instance-Id: other", LEAVING)
        world.add(ScriptedReplica("one", step))
        world.add(ScriptedReplica("two", answer()), domain="b")
        state = world.registry.get("one")
        world.ask()
        self.assertFalse(state.is_leaving)

    def test_copy_at_a_leaving_engine_is_not_gone_on_from(self):
        world = self.stream_world()
        two = ScriptedReplica("two", events(3))
        three = ScriptedReplica("three", events(3))

        def leave(sock, req):
            world.registry.note_leaving(world.registry.get("two").run, "test")
            world.add(three, domain="c")
            return False

        world.add(ScriptedReplica("one", events(1, 2, ends=False, then=leave)))
        world.add(two, domain="b")
        response = world.ask(TOKENS)
        self.assertEqual(response.body, event(1) + event(2) + event(3))
        self.assertEqual((len(two.seen), len(three.seen)), (0, 1))

    def test_leaving_engine_holds_no_copy(self):
        world = self.stream_world()
        one = ScriptedReplica("one", events(1))
        world.add(one)
        world.add(ScriptedReplica("two", events(1)), domain="b")
        world.registry.note_leaving(world.registry.get("two").run, "test")
        world.ask(TOKENS)
        self.assertNotIn(b"kv-backup", one.seen[0].headers)

    def test_hundred_answers_in_the_same_instant(self):
        world = self.world(call_rule(CallKind.ONCE))
        gate = eventlet.Event()

        def wait(sock, req):
            gate.wait()
            return say(200, LEAVING, body=b"whole")(sock, req)

        one = ScriptedReplica("one", wait)
        world.add(one)
        world.registry.put(msgspec.structs.replace(one.entry(), slots=100))
        socks = [world.connect() for _ in range(100)]
        for number, sock in enumerate(socks):
            send_request(sock, name=b"id-%d" % number)
        while len(one.seen) < len(socks):
            eventlet.sleep(0.01)
        gate.send()
        statuses = {read_response(sock).status for sock in socks}
        self.assertEqual(statuses, {200})
        self.assertEqual(len(world.facts.facts(FactTopic.LEAVING)), 1)
        reached = len(one.seen)
        self.assertEqual(world.ask(name=b"late").status, 503)
        self.assertEqual(len(one.seen), reached)

    def test_other_router_is_told_by_the_first_answer(self):
        shared = {}
        here = self.world(facts=Facts("r-1", shared))
        there = self.world(facts=Facts("r-2", shared))
        one = ScriptedReplica("one", say(200, LEAVING, body=b"whole"))
        here.add(one)
        there.registry.put(one.entry())
        here.ask()
        self.assertEqual(there.ask(ms=300).status, 503)
        self.assertEqual(len(one.seen), 1)


class HeldOffAnswerTest(NoticeCase):
    def test_request_goes_elsewhere_and_the_next_ones_too(self):
        world = self.world(call_rule(CallKind.ONCE))
        one = ScriptedReplica("one", busy(b"5"))
        world.add(one)
        world.add(ScriptedReplica("two", answer(b"two")), domain="b")
        for number in range(5):
            response = world.ask(name=b"id-%d" % number)
            self.assertEqual(response.body, b"two")
        self.assertEqual(len(one.seen), 1)

    def test_fraction_of_a_second_is_waited_for(self):
        world = self.world(call_rule(CallKind.ONCE))
        one = ScriptedReplica("one", busy(b"0.3"), answer())
        world.add(one)
        began = world.timers.now()
        self.assertEqual(world.ask().status, 200)
        took_s = world.timers.now() - began
        self.assertGreaterEqual(took_s, 0.3)
        self.assertLess(took_s, 0.8)

    def test_half_a_second_is_kept_though_it_is_less_than_a_whole_one(self):
        world = self.world(call_rule(CallKind.ONCE, max_attempts=1))
        one = ScriptedReplica("one", busy(b"0.9"))
        world.add(one)
        world.ask()
        eventlet.sleep(0.4)
        world.ask(name=b"id-2", ms=300)
        self.assertEqual(len(one.seen), 1)

    def test_caller_hears_at_once_when_to_return(self):
        world = self.world(call_rule(CallKind.ONCE))
        one = ScriptedReplica("one", busy(b"7.5"))
        world.add(one)
        began = world.timers.now()
        response = world.ask()
        self.assertLess(world.timers.now() - began, 0.2)
        self.assertEqual(response.status, 503)
        self.assertGreaterEqual(float(response.headers[b"retry-after"]), 7.0)
        self.assertEqual(world.ask(name=b"id-2").status, 503)
        self.assertEqual(len(one.seen), 1)

    def test_stream_goes_elsewhere_without_counting_a_miss(self):
        world = self.stream_world()
        one = ScriptedReplica("one", busy(b"5"))
        world.add(one)
        two = ScriptedReplica("two", events(1))
        world.add(two, domain="b")
        for number in range(4):
            world.ask(TOKENS, name=b"id-%d" % number)
        state = world.registry.get("one")
        self.assertLessEqual(len(one.seen), 1)
        self.assertEqual((state.consecutive_misses, state.failure_share), (0, 0.0))

    def test_engine_that_is_held_off_is_not_asked_whether_it_lives(self):
        world = self.stream_world()

        def slow(sock, req):
            world.registry.get("one").restraints.extend(
                Reason.HELD_OFF, world.timers.now() + 5.0
            )
            silence(sock, req)
            return False

        one = ScriptedReplica("one", events(1, ends=False, then=slow))
        two = ScriptedReplica("two", events(2))
        world.add(one)
        world.add(two, domain="b")
        self.assertTrue(world.ask(TOKENS).is_complete)
        self.assertEqual(len(one.seen), 1)

    def test_503_without_the_header_holds_nothing_off(self):
        world = self.world(call_rule(CallKind.ONCE))
        one = ScriptedReplica("one", busy(), answer(b"one"))
        world.add(one)
        self.assertEqual(world.ask().status, 200)
        self.assertEqual(world.registry.get("one").held_until, 0.0)

    def test_other_statuses_hold_nothing_off(self):
        world = self.world(call_rule(CallKind.ONCE))
        world.add(ScriptedReplica("one", say(500, b"Retry-After: 5")))
        world.ask()
        self.assertEqual(world.registry.get("one").held_until, 0.0)
