import unittest

import eliot
import msgspec
from prometheus_client import CollectorRegistry

from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.scheduling.decisions import Decision, log_decision
from boragedeck.process.relaying.scheduling.pool_scheduler import Forecast
from boragedeck.process.relaying.scheduling.waiter import QueueOutcome

DECISION = Decision(
    outcome=QueueOutcome.NO_TIME,
    request_id="id-1",
    pool="engines",
    priority=2,
    is_late=True,
    work=0.1071,
    forecast=Forecast(wait_s=7.25, ahead=3, ahead_work=0.3214),
    waited_s=0.0,
    left_s=4.0,
)


class DecisionTest(unittest.TestCase):
    def test_line_says_why_a_request_was_turned_away(self):
        lines = []
        eliot.add_destinations(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        log_decision(DECISION)
        (line,) = [each for each in lines if each.get("request") == "id-1"]
        self.assertEqual(line["text"], "queue: Turned away.")
        said = {
            "pool": "engines",
            "priority": 2,
            "is_late": True,
            "outcome": "no_time",
            "ahead": 3,
            "ahead_work": 0.321,
            "work": 0.107,
            "expected_s": 7.25,
            "waited_s": 0.0,
            "left_s": 4.0,
        }
        self.assertEqual({name: line[name] for name in said}, said)

    def count(self, priority, outcome):
        registry = CollectorRegistry()
        metrics = RelayMetrics(registry)
        metrics.note_decision(
            msgspec.structs.replace(DECISION, priority=priority, outcome=outcome)
        )
        return {
            (sample.labels["priority"], sample.labels["outcome"]): sample.value
            for metric in registry.collect()
            for sample in metric.samples
            if sample.name == "boragedeck_queue_decisions_total"
        }

    def test_ends_of_waits_are_counted_by_priority(self):
        counted = self.count(2, QueueOutcome.GRANTED)
        self.assertEqual(counted, {("2", "granted"): 1.0})
        self.assertEqual(self.count(2, None), {})

    def test_labels_are_bounded(self):
        """Guards against a label for each number that operators write."""
        counted = self.count(1_000, QueueOutcome.FULL)
        self.assertEqual(counted, {("9", "full"): 1.0})
