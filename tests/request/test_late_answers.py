"""Late answers, and answers that name no request, are taken for no other sending."""

import unittest
import unittest.mock

import eventlet
import msgspec

from boragedeck.connection.forwarding import answer_headers
from boragedeck.connection.http_message import AnswerHead
from boragedeck.version.routing import CallKind, RelayPool
from tests.support.cut_fleet import Cut, CutFleet
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    events,
    head_of,
    moved,
    not_run,
    report_model,
    send_chunk,
    stream_rule,
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

    # Guards against a call that is sent to the successor of its replica and runs twice.
    def test_call_is_sent_twice_on_the_connection_of_its_421(self):
        one = RunningReplica("one", moved, report_model)
        harness = self.harness(one, pool=POOL)
        self.assertEqual(harness.fetch().status, 200)
        self.assertEqual(one.run_ids, [b"id-1"])
        self.assertEqual(harness.registry.get("other").replica.replica, "other")


class RejectedAnswerTest(LateAnswerCase):
    # Guards against review/2: a late rejection, believed for the second sending.
    def test_late_copy_of_a_503_makes_the_rejected_call_run_twice(self):
        one = RunningReplica("one", not_run)
        response = self.harness(one).fetch()
        self.assertEqual((response.status, one.run_ids), (200, [b"id-1"]))

    # Guards against review/2: a call that is refused though it has run.
    def test_late_copy_of_a_503_makes_a_call_that_ran_look_refused(self):
        one = RunningReplica("one", not_run)
        harness = self.harness(one, rule=call_rule(CallKind.ONCE, max_attempts=2))
        self.assertEqual((harness.fetch().status, one.run_ids), (200, [b"id-1"]))

    # Guards against the same with the other status that promises a request hasn't run.
    def test_late_copy_of_a_429_makes_the_rejected_call_run_twice(self):
        one = RunningReplica("one", refused(429))
        response = self.harness(one).fetch()
        self.assertEqual((response.status, one.run_ids), (200, [b"id-1"]))

    # Guards against late copies when many connections have carried the id.
    def test_call_that_is_rejected_again_and_again_runs_once(self):
        one = RunningReplica("one", *[not_run] * 6)
        rule = call_rule(CallKind.ONCE, max_attempts=9)
        response = self.harness(one, rule=rule).fetch()
        self.assertEqual((response.status, one.run_ids), (200, [b"id-1"]))

    # Guards against a stream that may run once and is sent again after a rejection.
    def test_late_copy_of_a_503_makes_a_rejected_stream_run_twice(self):
        one = RunningReplica("one", not_run, run=events(1, 2))
        rule = stream_rule(is_resumable=False)
        response = self.harness(one, rule=rule, pool=POOL).fetch(TOKENS)
        self.assertEqual(response.body, event(1) + event(2))
        self.assertEqual(one.run_ids, [b"id-1"])

    # Guards against a copy that is refused and then taken for the run at its holder.
    def test_late_copy_of_a_503_is_taken_for_the_resumed_stream(self):
        one = ScriptedReplica("one", events(1, ends=False))
        two = RunningReplica("two", refused(503), run=events(2))
        harness = self.harness(one, rule=stream_rule(), pool=POOL)
        harness.add(two, domain="b")
        response = harness.fetch(TOKENS)
        self.assertEqual(response.body, event(1) + event(2))
        self.assertEqual(two.run_ids, [b"id-1"])

    # Guards against the answer to a caller's first request, when it resumes by its id.
    def test_late_stream_is_taken_for_its_resumption_by_the_caller(self):
        def run(sock, req):
            after = int(req.headers.get(b"last-event-id", b"0"))
            return events(*range(after + 1, 4))(sock, req)

        one = RunningReplica("one", run=run)
        harness = self.harness(one, rule=stream_rule(), pool=POOL)
        harness.fetch(TOKENS)
        response = harness.fetch(TOKENS, b"Last-Event-Id: 2")
        self.assertEqual(response.body, event(3))
        self.assertEqual(one.run_ids, [b"id-1", b"id-1"])


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


class ProbeTest(LateAnswerCase):
    def stream_with_a_pause(self, sock, req):
        sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
        send_chunk(sock, event(1))
        eventlet.sleep(0.35)
        send_chunk(sock, event(2))
        sock.sendall(b"0\r\n\r\n")
        return True

    def serve(self, sock, req):
        is_probe = b"request-id" not in req.headers
        return (report_model if is_probe else self.stream_with_a_pause)(sock, req)

    # Guards against a probe that is answered by the copy of an answer before it.
    def test_two_probes_share_a_connection(self):
        one = ScriptedReplica("one", self.serve, may_repeat=always)
        harness = self.harness(one, rule=stream_rule(), pool=POOL)
        for number in range(3):
            response = harness.fetch(TOKENS, name=b"id-%d" % number)
            self.assertEqual(response.body, event(1) + event(2))
        probes = [
            sum(b"request-id" not in req.headers for req in requests)
            for requests in one.by_connection()
        ]
        self.assertGreaterEqual(sum(probes), 3)
        self.assertEqual(max(probes), 1)

    # Guards against the late answer to a probe, which has no id, at a call.
    def test_late_answer_to_a_probe_is_taken_for_the_answer_to_a_call(self):
        one = ScriptedReplica("one", self.serve, may_repeat=always)
        harness = self.harness(one, rule=stream_rule(), pool=POOL)
        harness.fetch(TOKENS, name=b"id-0")
        fetched = [
            eventlet.spawn(harness.fetch, TOKENS, name=b"id-%d" % number)
            for number in (1, 2)
        ]
        for thread in fetched:
            self.assertTrue(thread.wait().is_complete)
        ids = [req.headers[b"request-id"] for req in one.relayed()]
        self.assertEqual(sorted(ids), [b"id-0", b"id-1", b"id-2"])

    # Guards against a late answer to a call that tells a probe which models there are.
    def test_late_answer_to_a_call_is_taken_for_the_answer_to_a_probe(self):
        body = b'{"models":[{"name":"m","version":1}]}'

        def moved_with_models(sock, req):
            lines = b"Instance-Id: other", b"Content-Length: %d" % len(body)
            sock.sendall(head_of(req, 421, *lines) + b"\r\n" + body)
            return True

        one = RunningReplica("one", moved_with_models, answer(b"{}"))
        harness = self.harness(one, pool=POOL)
        self.assertEqual((harness.fetch().status, one.run_ids), (503, []))
        self.assertIsNone(harness.registry.get("other"))


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


class GatewayTest(LateAnswerCase):
    def cut_off_router(self, *steps, max_attempts=3):
        """Return a router that reaches the replica through another one only."""
        self.replica = RunningReplica("one", *steps)
        rule = call_rule(CallKind.ONCE, max_attempts=max_attempts)
        self.fleet = CutFleet(2, [self.replica], rule=rule)
        self.addCleanup(self.fleet.close)
        self.fleet.cut(Cut.REFUSE, 0)
        return self.fleet.routers[0]

    # Guards against a gateway that sends a rejected call again on one connection.
    def test_late_rejection_at_the_gateway_makes_the_call_run_twice(self):
        router = self.cut_off_router(not_run)
        response = router.fetch()
        self.assertEqual((response.status, self.replica.run_ids), (200, [b"id-1"]))

    # Guards against the same at the limit of attempts.
    def test_late_rejection_at_the_gateway_makes_a_call_that_ran_look_refused(self):
        router = self.cut_off_router(not_run, max_attempts=2)
        self.assertEqual(router.fetch().status, 200)
        self.assertEqual(self.replica.run_ids, [b"id-1"])

    # Guards against a late answer that ends the attempt of another router's call.
    def test_late_answer_to_an_earlier_call_passes_the_gateway(self):
        router = self.cut_off_router()
        for number in range(3):
            response = router.fetch(name=b"id-%d" % number)
            self.assertEqual(response.status, 200)
        self.assertEqual(len(set(self.replica.run_ids)), 3)
        self.assertEqual(self.replica.connections, 1)

    # Guards against an answer that the gateway can't match to what it has sent.
    def test_rejection_that_names_no_request_passes_the_gateway(self):
        router = self.cut_off_router(nameless(503, b"Not-Executed: 1"))
        self.assertEqual((router.fetch().status, self.replica.run_ids), (502, []))

    # Guards against a gateway of an older build, which passes on each answer.
    def test_rejection_that_the_gateway_has_not_matched_is_believed(self):
        router = self.cut_off_router(not_run)
        with older_gateways():
            self.assertEqual((router.fetch().status, self.replica.run_ids), (502, []))

    # Guards against answers that can't be used while routers are replaced.
    def test_success_through_an_older_gateway_is_lost(self):
        router = self.cut_off_router()
        with older_gateways():
            self.assertEqual(router.fetch().status, 200)

    # Guards against the headers between routers in an answer for a caller.
    def test_mark_of_the_gateway_reaches_the_caller(self):
        response = self.cut_off_router().fetch()
        names = [name for name in response.headers if name.startswith(b"forward")]
        self.assertEqual((response.status, names), (200, []))

    # Guards against a replica that sets a header by which gateways report failures.
    def test_header_of_a_replica_is_taken_for_the_gateway_s_own(self):
        head = AnswerHead(503, [(b"Forward-Failure", b"not_reached")])
        names = [name for name, _ in answer_headers(head)]
        self.assertNotIn(b"Forward-Failure", names)


def older_gateways():
    """Return a context in which gateways don't say that they match answers."""
    return unittest.mock.patch("boragedeck.request.forward.SENT_HEADERS", [])
