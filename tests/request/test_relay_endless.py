"""Tests of the whole relaying path with replicas that send bytes without end."""

import resource
import unittest

import eventlet

from boragedeck.connection.peer import Address
from boragedeck.version.replicas import Replica, ReplicaStage
from boragedeck.version.routing import CallKind, RelayPool
from tests.support.flood import MODES, Flood
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    events,
    stream_rule,
)
from tests.support.turns import MAX_BLOCK_S, BlockingMonitor

POOL = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
CALLER_TIMEOUT_MS = 2_000
MAX_GROWTH_KB = 48 * 1024
STREAM_ONLY_MODES = {"event", "empty_events"}
COMPLETE_ANSWER_MODES = {"junk"}
"""In these modes the answer is complete and the bytes after it belong to no request."""


def flood_replica(port, domain="a"):
    return Replica(
        replica="flood",
        pool="engines",
        address=Address("127.0.0.1", port),
        failure_domain=domain,
        version="v1",
        slots=6,
        stage=ReplicaStage.READY,
    )


class EndlessTest(unittest.TestCase):
    def run_flood(self, mode, pace, rule, good, *lines, pool=None):
        harness = RelayHarness(rule, pool=pool)
        self.addCleanup(harness.close)
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        with Flood(mode, pace) as flood, BlockingMonitor() as monitor:
            harness.registry.put(flood_replica(flood.port))
            # The good replica is busier, so that it is chosen second.
            harness.add(good, domain="b")
            busy_state = harness.registry.get("good")
            busy_state.peers.running, busy_state.peers.unread_tokens = 2, 20_000
            with eventlet.Timeout(3 * CALLER_TIMEOUT_MS / 1000.0):
                response = harness.fetch(*lines, ms=CALLER_TIMEOUT_MS)
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.assertLess(monitor.longest_block_s, MAX_BLOCK_S)
        self.assertLess(after - before, MAX_GROWTH_KB)
        return harness, response

    def check_calls(self, pace):
        for mode in sorted(MODES.keys() - STREAM_ONLY_MODES):
            with self.subTest(mode=mode):
                good = ScriptedReplica("good", answer())
                rule = call_rule(kind=CallKind.IDEMPOTENT)
                _, response = self.run_flood(mode, pace, rule, good)
                self.assertEqual((response.status, response.body), (200, b"whole"))
                self.assertEqual(len(good.received), mode not in COMPLETE_ANSWER_MODES)

    def check_streams(self, pace):
        for mode in sorted(MODES.keys() - COMPLETE_ANSWER_MODES):
            with self.subTest(mode=mode):
                good = ScriptedReplica("good", events(1, 2, 3))
                rule = stream_rule(goal_s=0.4, gap_goal_s=0.4)
                _, response = self.run_flood(mode, pace, rule, good, TOKENS, pool=POOL)
                self.assertEqual(response.status, 200)
                self.assertTrue(response.is_complete)
                self.assertIn(b"id: 3\n", response.body)

    def test_calls_are_retried_elsewhere_after_fast_floods(self):
        self.check_calls("fast")

    def test_calls_are_retried_elsewhere_after_slow_floods(self):
        self.check_calls("slow")

    def test_streams_resume_elsewhere_after_fast_floods(self):
        self.check_streams("fast")

    def test_streams_resume_elsewhere_after_slow_floods(self):
        self.check_streams("slow")

    def test_command_that_may_have_run_is_not_sent_again(self):
        good = ScriptedReplica("good", answer())
        rule = call_rule(kind=CallKind.ONCE)
        harness, response = self.run_flood("interim", "fast", rule, good)
        self.assertEqual(response.status, 502)
        self.assertEqual(good.received, [])
        oversized_answers = harness.parts.metrics.oversized_answers.labels(
            CallKind.ONCE.value
        )
        self.assertEqual(oversized_answers._value.get(), 1)
