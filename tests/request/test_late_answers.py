"""Late answers, and answers that name no request, are taken for no other sending."""

import unittest
import unittest.mock

import eventlet
import msgspec

from boragedeck.version.routing import CallKind, RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    head_of,
    moved,
)

POOL = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
LEAVING = b"Server-Leaving: 1"


def always():
    """Repeat each answer late."""
    return True


def refused(status, *lines):
    """Return a step that says that the request was not run."""

    def step(sock, req):
        not_executed = b"Not-Executed: 1", b"Content-Length: 0"
        sock.sendall(head_of(req, status, *not_executed, *lines) + b"\r\n")
        return True

    return step


def nameless(status, *lines):
    """Return a step whose answer names no request."""

    def step(sock, req):
        head = b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n" % status
        sock.sendall(head + b"".join(line + b"\r\n" for line in lines) + b"\r\n")
        return True

    return step


class RunningReplica(ScriptedReplica):
    """Counts the requests that it runs.

    It rejects the first requests by the given steps. It repeats each answer late.
    """

    def __init__(self, name, *rejections, run=None, may_repeat=always):
        self.run_ids = []
        self._run_step = run or answer()
        super().__init__(name, *rejections, self._run, may_repeat=may_repeat)

    def _run(self, sock, req):
        self.run_ids.append(req.headers.get(b"request-id"))
        return self._run_step(sock, req)


class LateAnswerCase(unittest.TestCase):
    def harness(self, *replicas, rule=None, pool=None):
        rule = rule or call_rule(CallKind.ONCE, max_attempts=3)
        harness = RelayHarness(rule, pool=pool)
        self.addCleanup(harness.close)
        harness.add(*replicas)
        return harness

    def list_successor(self, harness, replica, name):
        """List another replica at the address of a replica that has ended."""
        harness.registry.put(msgspec.structs.replace(replica.entry(), replica=name))


class MisdirectedAnswerTest(LateAnswerCase):
    # Guards against review/1: a late 421 of one call, believed for the next one.
    def test_late_copy_of_a_421_makes_the_next_call_run_twice(self):
        one, two = RunningReplica("one", moved), RunningReplica("two")
        harness = self.harness(one)
        self.assertEqual(harness.fetch(name=b"id-1").status, 503)
        self.list_successor(harness, one, "other")
        harness.add(two, domain="b")
        self.assertEqual(harness.fetch(name=b"id-2").status, 200)
        self.assertEqual((one.run_ids, two.run_ids), ([b"id-2"], []))

    # Guards against review/1: a sound successor that is removed by a late 421.
    def test_late_copy_of_a_421_removes_the_sound_successor(self):
        one = RunningReplica("one", moved)
        harness = self.harness(one)
        harness.fetch(name=b"id-1")
        self.list_successor(harness, one, "other")
        harness.fetch(name=b"id-2")
        self.assertIsNotNone(harness.registry.get("other"))


class NamelessAnswerTest(LateAnswerCase):
    def check_may_have_run(self, step):
        """Check that a call with such an answer counts as one that may have run."""
        one, two = ScriptedReplica("one", step), RunningReplica("two")
        harness = self.harness(one)
        harness.add(two, domain="b")
        self.assertEqual(harness.fetch().status, 502)
        self.assertEqual((len(one.received), two.run_ids), (1, []))
        self.assertIsNotNone(harness.registry.get("one"))

    # Guards against a promise that can't be matched to the sending.
    def test_rejection_that_names_no_request_is_believed(self):
        self.check_may_have_run(nameless(503, b"Not-Executed: 1"))

    # Guards against the same by status only.
    def test_421_that_names_no_request_is_believed(self):
        self.check_may_have_run(nameless(421, b"Instance-Id: other"))

    # Guards against an answer that names two requests, of which one is this one.
    def test_rejection_that_names_two_requests_is_believed(self):
        lines = b"Request-Id: id-0", b"Request-Id: id-1"
        self.check_may_have_run(nameless(503, b"Not-Executed: 1", *lines))

    # Guards against a failure that another request may have had.
    def test_failure_that_names_no_request_is_passed_on(self):
        self.check_may_have_run(nameless(500, b"Response-Seal: seal"))


class NoticeTest(LateAnswerCase):
    # Guards against a wait that the replica asked for long ago, and which is over.
    def test_hold_off_in_a_late_answer_counts_again(self):
        one = RunningReplica("one", refused(503, b"Retry-After: 0.2"))
        harness = self.harness(one, rule=call_rule(CallKind.ONCE, max_attempts=1))
        harness.fetch(name=b"id-1")
        eventlet.sleep(0.25)
        self.assertEqual(harness.fetch(name=b"id-2").status, 200)
        self.assertLess(harness.registry.get("one").held_until, harness.timers.now())

    # Guards against the notice of a replica that the 421 after it shows to be another.
    def test_leaving_in_a_late_answer_is_believed_of_another_replica(self):
        def leaving_then_moved(sock, req):
            length = b"Content-Length: 0"
            late = head_of(req, 200, LEAVING, length, request_id=b"id-0")
            sock.sendall(late + b"\r\n")
            return moved(sock, req)

        harness = self.harness(ScriptedReplica("one", leaving_then_moved))
        state = harness.registry.get("one")
        harness.fetch()
        self.assertFalse(state.is_leaving)
