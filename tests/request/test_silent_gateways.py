import time
import unittest

import eventlet

from boragedeck.version.routing import CallKind, RelayPool
from tests.support.cut_fleet import Cut, CutFleet
from tests.support.replicas import (
    ENGINE,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    events,
    report_model,
    stream_rule,
)

ENGINES = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
SILENCE_S = 1.2
LEFT_WITHIN_S = 0.9
"""How soon a request at a gateway that stays silent is sent another way."""
MANY_MS = 6000
LONG_SILENCE_S = 2.6
LARGE_BODY = b"x" * 4_000_000
WHOLE = b"".join(map(event, range(1, 9)))


def serve(step):
    """Return a step that also answers probes."""

    def run(sock, req):
        is_probe = b"request-id" not in req.headers
        return (report_model if is_probe else step)(sock, req)

    return run


class SilentGatewayCase(unittest.TestCase):
    """One router is cut off from all replicas, and knows it."""

    def start(self, rule, step, pool=None, gateways=1, replicas=1):
        scripted = [self.replica(f"r-{n}", serve(step)) for n in range(replicas)]
        self.fleet = CutFleet(1 + gateways, scripted, rule=rule, pool=pool)
        self.addCleanup(self.fleet.close)
        self.router, *self.gateways = self.fleet.routers
        self.fleet.cut(Cut.REFUSE, 0)
        for each in scripted:
            self.router.paths._start_check(each.address, frozenset())
        with eventlet.Timeout(2.0):
            while not all(
                self.router.paths.is_own_loss(each.address) for each in scripted
            ):
                eventlet.sleep(0.01)

    def replica(self, name, step):
        """Return a replica."""
        return ScriptedReplica(name, step)

    def fall_silent(self):
        """Let the gateway that is tried next fall silent; return it."""
        gateways = self.router.paths._sender._gateways
        first, *_ = self.gateways
        for replica in self.fleet.replicas:
            gateways.forget(replica.address)
            gateways.note_reached(replica.address, first.member)
        first.silence.begin()
        return first

    def ran(self):
        """Return the number of callers' requests that reached a replica."""
        return sum(len(each.relayed()) for each in self.fleet.replicas)


class SilentGatewayTest(SilentGatewayCase):
    def test_silence_of_the_gateway_loses_a_call_that_may_run_once(self):
        self.start(call_rule(CallKind.ONCE, timeout_s=4.0), answer())
        gateway = self.fall_silent()
        eventlet.spawn_after(SILENCE_S, gateway.silence.end)
        response = self.router.fetch(ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(self.ran(), 1)

    def test_silence_of_the_gateway_loses_a_stream_that_cannot_be_resumed(self):
        rule = stream_rule(is_resumable=False, timeout_s=4.0)
        self.start(rule, events(*range(1, 9)), ENGINES)
        gateway = self.fall_silent()
        eventlet.spawn_after(SILENCE_S, gateway.silence.end)
        response = self.router.fetch(TOKENS, ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, WHOLE))
        self.assertEqual(self.ran(), 1)

    def test_silence_of_the_replica_loses_a_large_call_that_may_run_once(self):
        self.start(call_rule(CallKind.ONCE, timeout_s=4.0), answer())
        self.fleet.replicas[0].silence.begin_for(SILENCE_S)
        response = self.router.fetch(body=LARGE_BODY, ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(self.ran(), 1)

    def test_long_silence_of_the_replica_loses_a_large_call_at_the_gateway(self):
        self.start(call_rule(CallKind.ONCE, timeout_s=6.0), answer())
        self.fleet.replicas[0].silence.begin_for(LONG_SILENCE_S)
        response = self.router.fetch(body=LARGE_BODY, ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(self.ran(), 1)

    def test_gateway_that_declines_after_a_silence_loses_a_call_that_may_run_once(self):
        self.start(call_rule(CallKind.ONCE, timeout_s=4.0), answer(), gateways=2)
        gateway = self.fall_silent()
        gateway.time_left_s = 0.0
        eventlet.spawn_after(SILENCE_S, gateway.silence.end)
        response = self.router.fetch(ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(self.ran(), 1)

    def test_call_waits_for_a_gateway_that_stays_silent(self):
        rule = call_rule(goal_s=3.0, timeout_s=4.0)
        self.start(rule, answer(), gateways=2, replicas=2)
        self.fall_silent()
        began = time.monotonic()
        response = self.router.fetch(ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertLess(time.monotonic() - began, LEFT_WITHIN_S)

    def test_stream_waits_for_a_gateway_that_stays_silent(self):
        rule = stream_rule(goal_s=3.0, timeout_s=4.0)
        self.start(rule, events(*range(1, 9)), ENGINES, gateways=2, replicas=2)
        self.fall_silent()
        began = time.monotonic()
        response = self.router.fetch(TOKENS, ms=MANY_MS)
        self.assertEqual((response.status, response.body), (200, WHOLE))
        self.assertLess(time.monotonic() - began, LEFT_WITHIN_S)
