import unittest

from boragedeck.process.relaying.replica_state import Load
from boragedeck.version.replicas import RateLimit
from boragedeck.version.routing import CallKind
from tests.request.test_relay_attempt import POOL, TOKENS, answer_with_status
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    call_rule,
    events,
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
