"""Replicas that fall silent while a late answer to an earlier request is skipped."""

import unittest

import eventlet

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
    report_model,
    send_chunk,
    stream_rule,
)

POOL = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
SILENCE_S = 1.2
MANY_MS = 6000
WHOLE = b"".join(map(event, range(1, 9)))
LATE_BODY = b"late" * 100


def after_late_answer(step, replicas, name="one"):
    """Return a step that falls silent amid a late answer, and then runs another."""

    def run(sock, req):
        if b"request-id" not in req.headers:
            return report_model(sock, req)
        length = b"Content-Length: %d" % len(LATE_BODY)
        head = head_of(req, 200, length, request_id=b"id-0")
        sock.sendall(head + b"\r\n" + LATE_BODY[:100])
        replicas[name].silence.begin_for(SILENCE_S)
        sock.sendall(LATE_BODY[100:])
        return step(sock, req)

    return run


def endless_late_answer(sock, req):
    """Begin a late answer, and send it without end."""
    if b"request-id" not in req.headers:
        return report_model(sock, req)
    chunked = b"Transfer-Encoding: chunked"
    sock.sendall(head_of(req, 200, chunked, request_id=b"id-0") + b"\r\n")
    while True:
        send_chunk(sock, b"x" * 50_000)
        eventlet.sleep(0.005)


class SilentSkipTest(unittest.TestCase):
    def harness(self, rule, *others, step, pool=None):
        replicas = {}
        one = ScriptedReplica("one", after_late_answer(step, replicas))
        replicas["one"] = one
        harness = RelayHarness(rule, pool=pool)
        self.addCleanup(harness.close)
        harness.add(one)
        for other in others:
            harness.add(other, domain="b")
        return harness, one

    def test_silence_in_a_late_answer_loses_a_call_that_may_run_once(self):
        rule = call_rule(CallKind.ONCE, timeout_s=4.0)
        harness, one = self.harness(rule, step=answer())
        response = harness.fetch(ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(len(one.relayed()), 1)

    def test_silence_in_a_late_answer_loses_a_stream_that_cannot_be_resumed(self):
        rule = stream_rule(is_resumable=False, timeout_s=4.0)
        harness, one = self.harness(rule, step=events(*range(1, 9)), pool=POOL)
        response = harness.fetch(TOKENS, ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, WHOLE))
        self.assertEqual(len(one.relayed()), 1)

    def test_silence_in_a_late_answer_starts_no_second_attempt(self):
        two = ScriptedReplica("two", events(*range(1, 9)))
        rule = stream_rule(timeout_s=4.0)
        step = events(*range(1, 9))
        harness, one = self.harness(rule, two, step=step, pool=POOL)
        silences = harness.metrics.silences.labels(rule.kind.value)
        response = harness.fetch(TOKENS, ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, WHOLE))
        self.assertEqual((len(one.relayed()), len(two.relayed())), (1, 1))
        self.assertEqual(silences._value.get(), 1.0)

    def test_late_answer_without_end_holds_a_call(self):
        one = ScriptedReplica("one", endless_late_answer)
        two = ScriptedReplica("two", answer())
        harness = RelayHarness(call_rule(timeout_s=4.0, goal_s=4.0))
        self.addCleanup(harness.close)
        harness.add(one)
        harness.add(two, domain="b")
        response = harness.fetch(ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, b"whole"))


class SilentSkipAtGatewayTest(unittest.TestCase):
    def play(self, rule, step, *lines, pool=None):
        """Return the response to a request that another router passes on."""
        replicas = {}
        replicas["one"] = ScriptedReplica("one", after_late_answer(step, replicas))
        fleet = CutFleet(2, [replicas["one"]], rule=rule, pool=pool)
        self.addCleanup(fleet.close)
        fleet.cut(Cut.REFUSE, 0)
        response = fleet.routers[0].fetch(*lines, ms=MANY_MS)
        self.assertEqual(len(replicas["one"].relayed()), 1)
        return response

    def test_silence_in_a_late_answer_at_a_gateway_loses_a_call(self):
        response = self.play(call_rule(CallKind.ONCE, timeout_s=4.0), answer())
        self.assertEqual((response.status, response.body), (200, b"whole"))

    def test_silence_in_a_late_answer_at_a_gateway_loses_a_stream(self):
        rule = stream_rule(is_resumable=False, timeout_s=4.0)
        response = self.play(rule, events(*range(1, 9)), TOKENS, pool=POOL)
        self.assertEqual((response.status, response.body), (200, WHOLE))
