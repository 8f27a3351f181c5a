import unittest

import eventlet
from eventlet.green import socket

from boragedeck.version.routing import CallKind
from tests.support.queueing_replicas import QueueingReplica
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    events,
    stream_rule,
)

GOAL_S = 1.0
DROPPED_AFTER_S = 0.1
RECOVERY_S = 5.0
CALLS = 3


class DroppedConnectTest(unittest.TestCase):
    def fleet(self, rule, step):
        """Return a harness, a replica whose queue is full, and another one."""
        harness = RelayHarness(rule)
        self.addCleanup(harness.close)
        one, two = QueueingReplica("one", step), ScriptedReplica("two", step)
        harness.add(one)
        harness.add(two, domain="b")
        one.fill()
        with self.assertRaises(TimeoutError):
            socket.create_connection(
                (one.address.host, one.address.port), timeout=DROPPED_AFTER_S
            )
        return harness, one, two

    def check_goes_elsewhere(self, rule, step, body):
        harness, one, two = self.fleet(rule, step)
        begun_at = harness.timers.now()
        for number in range(CALLS):
            response = harness.fetch(name=b"id-%d" % number)
            self.assertEqual((response.status, response.body), (200, body))
        self.assertLess(harness.timers.now() - begun_at, CALLS * GOAL_S)
        self.assertEqual((len(one.relayed()), len(two.relayed())), (0, CALLS))

    def test_call_that_may_run_once_waits_for_a_dropped_connect(self):
        rule = call_rule(CallKind.ONCE, max_attempts=2)
        self.check_goes_elsewhere(rule, answer(), b"whole")

    def test_stream_waits_for_a_dropped_connect(self):
        self.check_goes_elsewhere(stream_rule(), events(1), event(1))

    def test_replica_whose_queue_was_full_is_never_used_again(self):
        rule = call_rule(max_attempts=2, timeout_s=2.0)
        harness, one, _ = self.fleet(rule, answer())
        self.assertEqual(harness.fetch(name=b"before").status, 200)
        harness.registry.remove("two", "test")
        one.go_on()
        until = harness.timers.now() + RECOVERY_S
        number, status = 0, 0
        while status != 200 and harness.timers.now() < until:
            status = harness.fetch(name=b"id-%d" % number).status
            number += 1
            eventlet.sleep(0.1)
        self.assertEqual(status, 200)
        self.assertEqual(len(one.relayed()), 1)
