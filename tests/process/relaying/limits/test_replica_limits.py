import unittest

import msgspec
from prometheus_client import CollectorRegistry

from boragedeck.connection.messages import FactTopic
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import RateLimit
from tests.process.relaying.placing.test_admission import replica
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

    def test_answer_to_a_probe_lifts_a_limit(self):
        self.note(2.0)
        self.limits.note_answer(self.state, None, may_lift=False)
        self.assertEqual(self.state.limit.per_s, 2.0)
        self.limits.note_answer(self.state, RateLimit(1.0, "1"), may_lift=False)
        self.assertEqual(self.state.limit.per_s, 1.0)


class FactTest(unittest.TestCase):
    """A fact about a limit that was published seconds ago."""

    def setUp(self):
        self.timers = ManualTimers()
        self.board = FakeFactBoard()
        self.registry = ReplicaRegistry(self.timers)
        self.registry.put(replica("one", born_ms=1))
        self.state = self.registry.get("one")
        self.limits = single_router_limits(
            self.timers, self.registry, self.board, RelayMetrics(CollectorRegistry())
        )

    def publish(self, per_s, born_ms=1, body=None):
        fact = msgspec.msgpack.encode(["one", born_ms, per_s, 0.0])
        other = FakeFactBoard("r-2", self.board._store)
        topic = FactTopic.REPLICA_LIMIT
        other.publish(topic, "1/one", fact if body is None else body)

    def test_old_fact_replaces_what_the_replica_has_said_since(self):
        self.timers.advance(10.0)
        self.limits.note_answer(self.state, None)
        self.timers.advance(1.0)
        self.board.fact_age_s = 2.0
        self.publish(2.0)
        self.assertFalse(self.state.is_limited)
        self.board.fact_age_s = 0.5
        self.publish(1.5)
        self.assertEqual(self.state.limit.per_s, 1.5)

    def test_fact_about_an_earlier_run_limits_the_replica(self):
        self.publish(2.0, born_ms=7)
        self.assertFalse(self.state.is_limited)

    def test_fact_that_cannot_be_parsed_ends_the_subscription(self):
        self.publish(2.0, body=b"?")
        self.publish(2.0)
        self.assertTrue(self.state.is_limited)
