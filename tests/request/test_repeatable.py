import unittest
from types import SimpleNamespace

import eventlet
from result import Err, Ok

from boragedeck.connection.service import ServiceRequest, ServiceResponse
from boragedeck.exceptions import UpstreamError, UpstreamRefusedError
from boragedeck.ids import ExecutionStatus
from boragedeck.interfaces import Outcome, SlotRequest
from boragedeck.process.timers import ManualTimers
from boragedeck.request.call_errors import overloaded
from boragedeck.request.calls import Call
from boragedeck.request.intents import CommandKey
from boragedeck.request.repeatable import RepeatableRunner
from tests.request.world import CONFIG, UPSTREAMS


class RepeatableTest(unittest.TestCase):
    """`behaviour` scripts the upstreams; `outcomes` records how slots were finished."""

    def setUp(self):
        self.timers = ManualTimers()
        self.behaviour = {}
        self.outcomes = {}
        self.calls = 0
        self.retries_left = 20
        self.runner = RepeatableRunner(self, self, self.timers)

    def acquire(self, slot_request):
        if slot_request.excluded:
            self.retries_left -= 1
            if self.retries_left < 0:
                return Err(overloaded())
        left = [one for one in UPSTREAMS if one.name not in slot_request.excluded]
        return Ok(SimpleNamespace(upstream=left[0], finish=self.finisher(left[0])))

    def finisher(self, upstream):
        return lambda outcome: self.outcomes.setdefault(upstream.name, outcome)

    def connect(self, upstream, timeout_s):
        self.calls += 1
        act = self.behaviour.get(upstream.name, lambda: Ok(ServiceResponse(200)))
        if act == "refuse":
            return Err(UpstreamRefusedError("refused"))
        return Ok(SimpleNamespace(exchange=lambda req, timeout_s: act()))

    def run_call(self, advance_s=0.5):
        route, pool = CONFIG.routes[1], CONFIG.pools[0]
        slot_request = SlotRequest(route, pool, "o", None, 0, 0, "f")
        request = ServiceRequest("GET", "/")
        deadline = self.timers.now() + 8.0
        key = CommandKey("k", "h")
        call = Call(key, route, pool, request, slot_request, True, deadline)
        running = eventlet.spawn(self.runner.run, call)
        self.timers.advance(advance_s)
        return running

    def slow(self, seconds):
        def act():
            self.timers.sleep(seconds)
            return Ok(ServiceResponse(200, (), b"slow"))

        return act

    def test_a_failed_attempt_is_followed_by_another(self):
        self.behaviour = {
            "s1": lambda: Err(UpstreamError("broke")),
            "s2": lambda: Ok(ServiceResponse(503)),
        }
        self.assertEqual(self.run_call().wait().ok().status, 200)
        self.assertEqual(self.calls, 3)

    def test_a_late_attempt_is_hedged_and_cancelled(self):
        self.behaviour = {"s1": self.slow(6.0)}
        self.assertEqual(self.run_call(advance_s=1.5).wait().ok().body, b"")
        self.assertIs(self.outcomes["s1"], Outcome.CANCELLED)

    def test_a_late_attempt_is_not_cancelled_when_the_budget_is_spent(self):
        self.retries_left = 0
        self.behaviour = {"s1": self.slow(2.0)}
        self.assertEqual(self.run_call(advance_s=3.0).wait().ok().body, b"slow")
        self.assertEqual(self.calls, 1)

    def test_the_hedge_delay_follows_the_latency_of_the_route(self):
        self.behaviour = {"s1": self.slow(0.01)}
        for _ in range(30):
            self.run_call().wait()
        self.behaviour = {"s1": self.slow(6.0)}
        self.assertTrue(self.run_call(advance_s=0.1).wait().is_ok())

    def test_the_error_states_whether_the_call_ran(self):
        self.behaviour = {one.name: "refuse" for one in UPSTREAMS}
        self.assertIs(self.run_call().wait().err().ran, ExecutionStatus.NO)
        broke = UpstreamError("broke")
        self.behaviour = {one.name: lambda: Err(broke) for one in UPSTREAMS}
        self.assertIs(self.run_call().wait().err().ran, ExecutionStatus.UNKNOWN)

    def test_retries_to_a_dead_pool_stay_within_the_budget(self):
        self.behaviour = {one.name: "refuse" for one in UPSTREAMS}
        for _ in range(100):
            self.run_call(advance_s=0.0).wait()
        self.assertLessEqual(self.calls, 100 + 20)
