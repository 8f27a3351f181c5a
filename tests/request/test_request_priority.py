import unittest

import msgspec

from boragedeck.version.routing import CallKind, RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    drop,
    events,
    stream_rule,
)

POOL = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
NAME = b"request-priority"


class RequestPriorityTest(unittest.TestCase):
    """Guards against engines that read a less urgent prompt before an urgent one."""

    def harness(self, rule, *other_priorities, pool=POOL, priorities=None):
        harness = RelayHarness(rule, pool=pool)
        self.addCleanup(harness.close)
        others = tuple(
            msgspec.structs.replace(rule, name=f"o{each}", prefix="/o/", priority=each)
            for each in other_priorities
        )
        harness.table = msgspec.structs.replace(
            harness.table,
            routes={rule.host: (rule, *others)},
            priorities=priorities or {},
        )
        return harness

    def sent(self, harness, *lines, steps=None):
        """Return the priorities that came with the attempts of one request."""
        replicas = [ScriptedReplica("one", *(steps or [events(1, 2)]))]
        harness.add(*replicas)
        response = harness.fetch(TOKENS, *lines)
        self.assertEqual(response.status, 200)
        return [req.headers.get(NAME) for each in replicas for req in each.received]

    def test_engine_is_told_the_priority_of_the_route(self):
        harness = self.harness(stream_rule(priority=2), 0, 1)
        self.assertEqual(self.sent(harness), [b"2"])

    def test_priority_of_the_organisation_counts_before_that_of_the_route(self):
        harness = self.harness(stream_rule(priority=2), 0, priorities={"org-1": 0})
        # All requests are of one organisation, so the routes make the difference.
        self.assertEqual(self.sent(harness), [b"1"])
        harness.table = msgspec.structs.replace(
            harness.table,
            organisations=harness.table.organisations | {"key-2": "org-2"},
            priorities={"org-1": 3, "org-2": 0},
        )
        self.assertEqual(self.sent(harness), [b"3"])

    def test_nothing_is_sent_where_priorities_are_equal(self):
        """The requests to earlier deployments' engines stay as they were."""
        harness = self.harness(stream_rule(priority=2), 2)
        self.assertEqual(self.sent(harness, b"Request-Priority: 0"), [None])

    def test_priority_of_the_caller_is_dropped(self):
        harness = self.harness(stream_rule(priority=2), 0, 1)
        self.assertEqual(self.sent(harness, b"Request-Priority: 0"), [b"2"])

    def test_each_attempt_tells_the_priority(self):
        harness = self.harness(stream_rule(priority=2), 0, 1)
        self.assertEqual(self.sent(harness, steps=[drop, events(1, 2)]), [b"2", b"2"])

    def test_replicas_that_are_no_engines_are_told_nothing(self):
        pool = RelayPool("engines", 100)
        harness = self.harness(call_rule(CallKind.IDEMPOTENT, priority=2), 0, pool=pool)
        self.assertEqual(self.sent(harness, steps=[answer()]), [None])

    def test_calls_to_engines_tell_the_priority(self):
        harness = self.harness(call_rule(CallKind.ONCE, priority=2), 0, 1)
        self.assertEqual(self.sent(harness, steps=[answer()]), [b"2"])
