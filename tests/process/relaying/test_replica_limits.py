import unittest

from prometheus_client import CollectorRegistry

from boragedeck.process.relaying.registry import ReplicaRegistry
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replica_state import ReplicaState
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import RateLimit
from tests.process.relaying.test_admission import replica
from tests.support.replicas import FakeFactBoard, single_router_limits


class KnownLimitTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.metrics = RelayMetrics(CollectorRegistry())
        registry = ReplicaRegistry(self.timers)
        self.limits = single_router_limits(
            self.timers, registry, FakeFactBoard(), self.metrics
        )
        self.state = ReplicaState(replica("one"))

    def note(self, per_s, text=""):
        limit = None if per_s is None and not text else RateLimit(per_s, text)
        self.limits.note_answer(self.state, limit)
        return self.state.limit.per_s

    def changes(self, change):
        return self.metrics.limit_changes.labels(change)._value.get()

    def test_each_change_is_counted_once(self):
        for per_s in (None, 2.0, 2.0, 1.5, None, None):
            self.assertEqual(self.note(per_s), per_s)
        counted = [self.changes(each) for each in ("named", "changed", "lifted")]
        self.assertEqual(counted, [1, 1, 1])

    def test_limit_that_cannot_be_parsed_changes_nothing(self):
        self.note(2.0)
        self.assertEqual(self.note(None, "few"), 2.0)
