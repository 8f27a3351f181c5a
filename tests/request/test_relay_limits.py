import unittest

import eventlet

from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.version.replicas import RateLimit
from boragedeck.version.routing import CallKind
from tests.request.test_relay_attempt import POOL, TOKENS, answer_with_status
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    call_rule,
    event,
    events,
    head_of,
    report_model,
    send_chunk,
    stream_rule,
)


def limited(per_s):
    """Return a step that answers a call and names a limit."""
    return answer_with_status(200, b"Server-Limit: " + per_s, body=b"whole")


class LimitedReplicaTest(unittest.TestCase):
    def harness(self, *replicas, **fields):
        harness = RelayHarness(**fields)
        self.addCleanup(harness.close)
        harness.add(*replicas)
        return harness

    def test_limit_in_an_answer_is_ignored(self):
        one = ScriptedReplica("one", limited(b"1"))
        two = ScriptedReplica("two", answer_with_status(200, body=b"whole"))
        harness = self.harness(one, two, rule=call_rule(CallKind.ONCE))
        statuses = {harness.fetch(name=b"id-%d" % i).status for i in range(30)}
        self.assertEqual(statuses, {200})
        self.assertLessEqual(len(one.received), 4)

    def test_call_that_exceeds_the_limit_of_the_only_replica_is_sent(self):
        one = ScriptedReplica("one", limited(b"0.5"))
        harness = self.harness(one, rule=call_rule(CallKind.ONCE))
        answers = [harness.fetch(name=b"id-%d" % i, ms=1500) for i in range(6)]
        refused = [each for each in answers if each.status == 503]
        self.assertGreaterEqual(len(refused), 4)
        self.assertLessEqual(len(one.received), 2)
        for each in refused:
            self.assertGreaterEqual(float(each.headers[b"retry-after"]), 1.9)

    def test_stream_resumes_from_its_copy_at_a_replica_beyond_its_limit(self):
        one = ScriptedReplica("one", events(1, ends=False))
        two = ScriptedReplica("two", events(2))
        three = ScriptedReplica("three", events(2))
        harness = self.harness(one, three, rule=stream_rule(), pool=POOL)
        harness.registry.get("three").peers = Load(1)
        harness.add(two, domain="b")
        state = harness.registry.get("two")
        harness.limits.note_answer(state, RateLimit(0.5, "0.5"))
        harness.limits.take(state, 0.0, "other")
        self.assertTrue(harness.fetch(TOKENS).is_complete)
        received = [len(each.received) for each in (one, two, three)]
        self.assertEqual(received, [1, 0, 1])

    def test_limit_ends_with_the_answer_to_a_probe_that_names_none(self):
        def slow_stream(sock, req):
            lines = b"Server-Limit: 2", b"Transfer-Encoding: chunked"
            sock.sendall(head_of(req, 200, *lines) + b"\r\n")
            send_chunk(sock, event(1))
            eventlet.sleep(0.35)
            send_chunk(sock, event(2))
            sock.sendall(b"0\r\n\r\n")
            return True

        one = ScriptedReplica("one", slow_stream, report_model)
        harness = self.harness(one, rule=stream_rule(), pool=POOL)
        self.assertTrue(harness.fetch(TOKENS).is_complete)
        self.assertEqual(len(one.received), 2)
        self.assertEqual(harness.registry.get("one").limit.per_s, 2.0)

    def test_limit_ends_with_a_late_answer_to_an_earlier_request(self):
        def late_then_limited(sock, req):
            late = head_of(req, 200, b"Content-Length: 0", request_id=b"id-0")
            sock.sendall(late + b"\r\n")
            return limited(b"2")(sock, req)

        harness = self.harness(
            ScriptedReplica("one", late_then_limited), rule=call_rule(CallKind.ONCE)
        )
        state = harness.registry.get("one")
        harness.limits.note_answer(state, RateLimit(2.0, "2"))
        self.assertEqual(harness.fetch().status, 200)
        lifted = harness.metrics.limit_changes.labels("lifted")
        self.assertEqual(lifted._value.get(), 0)
