import random
import unittest
from unittest import mock

import eventlet
from result import Ok

from boragedeck.process.relaying.limits.limited_admission import LimitedAdmission
from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.timers import ManualTimers
from boragedeck.version.routing import RelayPool

TURN_AFTER_S = 1.0
LEFT_S = 5.0


class Admission:
    """Grants places at one limited replica."""

    def __init__(self, timers):
        turn_at = timers.now() + TURN_AFTER_S
        self.state = mock.Mock(is_brittle=False, limited_until=turn_at)
        self.state.replica.replica = "one"
        self.state.next_turn_at = turn_at

    def acquire(self, req):
        return Ok(mock.Mock(state=self.state))

    def has_candidates(self, req, *, unlimited_only=False):
        return not unlimited_only and "one" not in req.tried

    def mean_service_s(self, pool):
        return 60.0

    def reserve(self, req, state):
        return mock.Mock(state=state)


class LimitedAdmissionTest(unittest.TestCase):
    def acquire(self, *, has_begun):
        timers = ManualTimers()
        limits = mock.Mock()
        limits.take.return_value = mock.Mock(is_granted=True, wait_s=0.0)
        admission = LimitedAdmission(
            timers, Admission(timers), limits, mock.Mock(), random.Random(1)
        )
        req = AdmissionRequest(
            pool=RelayPool("engines", 100),
            priority=1,
            prompt_tokens=1,
            tokens=1,
            until=timers.now() + LEFT_S,
            has_begun=has_begun,
        )
        thread = eventlet.spawn(admission.acquire, req)
        timers.advance(LEFT_S)
        return thread.wait()

    def test_begun_answer_is_refused_since_it_is_not_expected_to_end_in_time(self):
        self.assertTrue(self.acquire(has_begun=True).is_ok())

    def test_request_that_can_be_refused_waits_for_its_turn_in_vain(self):
        refused = self.acquire(has_begun=False)
        self.assertEqual(refused.err().code, "limited")
