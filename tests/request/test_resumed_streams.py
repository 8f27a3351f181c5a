"""Streams that have begun and whose replica is lost."""

import time
import unittest
from unittest import mock

from boragedeck.process.relaying.placing.placement import choose_replica
from boragedeck.version.replicas import HoldOff
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    drop,
    event,
    events,
    stream_rule,
)

TOKENS = b"Token-Counts: 1000,100"
CALLER_MS = 8_000
WHOLE = b"".join(map(event, range(1, 5)))
DENIED_S = 0.3
FULL_S = 0.4
HOLD_S = 0.5
LONG_SERVICE_S = 60.0
CHOOSE = "boragedeck.process.relaying.placing.admission.choose_replica"


class ResumedStreamTest(unittest.TestCase):
    def setUp(self):
        rule = stream_rule(timeout_s=CALLER_MS / 1e3, gap_goal_s=0.4)
        self.harness = RelayHarness(rule)
        self.addCleanup(self.harness.close)
        self.one = ScriptedReplica("one", events(1, 2, ends=False), drop)
        self.harness.add(self.one)
        self.harness.add(ScriptedReplica("two", events(3, 4)), domain="b")

    def assert_whole(self):
        response = self.harness.fetch(TOKENS, ms=CALLER_MS)
        self.assertEqual((response.status, response.body), (200, WHOLE))
        self.assertTrue(response.is_complete)

    def test_begun_stream_is_cut_because_a_repeat_is_denied_for_a_moment(self):
        until = time.monotonic() + DENIED_S
        retries = self.harness.parts.retries
        with mock.patch.object(retries, "take", lambda _: time.monotonic() > until):
            self.assert_whole()

    def test_begun_stream_is_cut_because_a_long_wait_for_a_place_is_expected(self):
        self.harness.admission._mean_service_s["engines"] = LONG_SERVICE_S
        free_at = time.monotonic() + FULL_S

        def choose(states, *args):
            is_full = time.monotonic() < free_at
            left = [s for s in states if not is_full or s.replica.replica == "one"]
            return choose_replica(left, *args)

        with mock.patch(CHOOSE, choose):
            self.assert_whole()

    def test_begun_stream_is_cut_because_all_replicas_asked_to_wait(self):
        self.harness.admission._mean_service_s["engines"] = LONG_SERVICE_S
        registry = self.harness.registry

        def lose(sock, req):
            events(1, 2, ends=False)(sock, req)
            for name in ("one", "two"):
                registry.hold_off(registry.get(name), HoldOff(HOLD_S, str(HOLD_S)))
            return False

        self.one._steps[:1] = [lose]
        registry.hold_off(registry.get("two"), HoldOff(HOLD_S, str(HOLD_S)))
        self.assert_whole()
