import unittest

import msgspec

from boragedeck.connection.store import Change
from boragedeck.version.relay_rollouts import RolloutResult
from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    event,
    events,
    stream_rule,
)

ORDER = {"service": "engines", "to": "v2", "durationS": 12}
TOKENS = b"Token-Counts: 1000,100"


class RolloutEndTest(unittest.TestCase):
    def check(self, result, first_version, **fields):
        """End the rollout in the middle of a stream; return response, second replica.

        The replica of the stream stops with the rollout.
        """
        rule = stream_rule(**fields)
        harness = RelayHarness(rule, pool=RelayPool("engines", 100, ENGINE))
        self.addCleanup(harness.close)
        rollouts = harness.parts.rollouts
        body = msgspec.json.encode(ORDER)
        rollouts._on_order(Change("rollout/engines", body, 1))
        rollouts._share = lambda rollout: float(first_version == "v2")

        def end(sock, req):
            rollout = rollouts._rollouts["engines"]
            rollout.result = rollout.decided_result = result
            harness.registry.remove("one", "test")
            return False

        one = ScriptedReplica("one", events(1, 2, ends=False, then=end))
        two = ScriptedReplica("two", events(3))
        other_version = {"v1": "v2", "v2": "v1"}[first_version]
        for replica, version in ((one, first_version), (two, other_version)):
            harness.add(replica)
            entry = msgspec.structs.replace(replica.entry(), version=version)
            harness.registry.put(entry)
        response = harness.fetch(TOKENS)
        self.assertEqual(len(one.relayed()), 1)
        return response, two

    def check_resumed(self, result, first_version):
        response, two = self.check(result, first_version)
        self.assertEqual(response.body, event(1) + event(2) + event(3))
        self.assertTrue(response.is_complete)
        self.assertEqual(two.relayed()[0].headers[b"last-event-id"], b"2")

    def test_stream_of_the_old_version_is_cut_when_the_rollout_is_completed(self):
        self.check_resumed(RolloutResult.COMPLETED, "v1")

    def test_stream_of_the_new_version_is_cut_when_it_is_rolled_back(self):
        self.check_resumed(RolloutResult.ROLLED_BACK, "v2")

    def test_stream_that_may_run_once_is_resumed_at_the_version_that_is_left(self):
        response, two = self.check(RolloutResult.COMPLETED, "v1", is_resumable=False)
        self.assertFalse(response.is_complete)
        self.assertEqual(two.relayed(), [])


if __name__ == "__main__":
    unittest.main()
