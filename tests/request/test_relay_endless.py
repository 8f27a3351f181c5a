"""Replicas that send bytes without end, before the whole relaying path."""

import resource
import unittest

import eventlet

from boragedeck.connection.peer import Address
from boragedeck.version.replicas import Replica, ReplicaStage
from boragedeck.version.routing import CallKind, RelayPool
from tests.support.flood import MODES, Flood
from tests.support.replicas import (
    ENGINE,
    RelayWorld,
    ScriptedReplica,
    answer,
    call_rule,
    events,
    stream_rule,
)
from tests.support.turns import MAX_TURN_S, Turns

POOL = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
PATIENCE_MS = 2_000
MAX_GROWTH_KB = 48 * 1024
STREAM_ONLY = {"event", "empty_events"}
KEPT_WHOLE = {"junk"}
"""The answer itself is whole, and what follows belongs to no request."""


def flooding(port, domain="a"):
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
    def play(self, mode, pace, rule, good, *lines, pool=None):
        world = RelayWorld(rule, pool=pool)
        self.addCleanup(world.close)
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        with Flood(mode, pace) as flood, Turns() as turns:
            world.registry.put(flooding(flood.port))
            # The good replica comes second in the choice: it is busier.
            world.add(good, domain="b")
            busy = world.registry.get("good")
            busy.peers.running, busy.peers.unread_tokens = 2, 20_000
            with eventlet.Timeout(3 * PATIENCE_MS / 1000.0):
                response = world.ask(*lines, ms=PATIENCE_MS)
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.assertLess(turns.longest_s, MAX_TURN_S)
        self.assertLess(after - before, MAX_GROWTH_KB)
        return world, response

    def play_calls(self, pace):
        for mode in sorted(MODES.keys() - STREAM_ONLY):
            with self.subTest(mode=mode):
                good = ScriptedReplica("good", answer())
                rule = call_rule(kind=CallKind.IDEMPOTENT)
                _, response = self.play(mode, pace, rule, good)
                self.assertEqual((response.status, response.body), (200, b"whole"))
                self.assertEqual(len(good.seen), mode not in KEPT_WHOLE)

    def play_streams(self, pace):
        for mode in sorted(MODES.keys() - KEPT_WHOLE):
            with self.subTest(mode=mode):
                good = ScriptedReplica("good", events(1, 2, 3))
                rule = stream_rule(goal_s=0.4, gap_goal_s=0.4)
                _, response = self.play(mode, pace, rule, good, TOKENS, pool=POOL)
                self.assertEqual(response.status, 200)
                self.assertTrue(response.is_complete)
                self.assertIn(b"id: 3\n", response.body)

    def test_calls_go_on_elsewhere_from_fast_floods(self):
        self.play_calls("fast")

    def test_calls_go_on_elsewhere_from_slow_floods(self):
        self.play_calls("slow")

    def test_streams_go_on_elsewhere_from_fast_floods(self):
        self.play_streams("fast")

    def test_streams_go_on_elsewhere_from_slow_floods(self):
        self.play_streams("slow")

    def test_command_that_may_have_run_gets_its_final_answer(self):
        good = ScriptedReplica("good", answer())
        rule = call_rule(kind=CallKind.ONCE)
        world, response = self.play("interim", "fast", rule, good)
        self.assertEqual(response.status, 502)
        self.assertEqual(good.seen, [])
        oversized_answers = world.parts.metrics.oversized_answers.labels(
            CallKind.ONCE.value
        )
        self.assertEqual(oversized_answers._value.get(), 1)
