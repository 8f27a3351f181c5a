import unittest

from hypothesis import given
from hypothesis import strategies as st

from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.relaying.replicas.replica_state import Load, ReplicaState
from boragedeck.process.relaying.scheduling.freed_capacity import (
    FreedCapacity,
    busy_work,
    expected_wait_s,
    work_of,
)
from boragedeck.process.relaying.scheduling.service_order import GUARANTEED_SHARE
from boragedeck.version.routing import EngineProfile, RelayPool
from tests.support.admission_plays import replica

POOL_RATE = 8.0
amounts = st.floats(0.01, 100.0)


def request(tokens, pool):
    return AdmissionRequest(
        pool=pool, priority=0, prompt_tokens=0, tokens=tokens, until=0.0
    )


class FreedCapacityTest(unittest.TestCase):
    def test_rate_begins_with_that_of_the_pool(self):
        self.assertEqual(FreedCapacity().rate(0.5, POOL_RATE), POOL_RATE)

    def test_router_that_gets_a_part_of_the_pool_learns_it(self):
        """Guards against waits that are estimated as if no other router waited."""
        freed = FreedCapacity()
        freed.advance(0.0, False, 5.0)
        for second in range(1, 31):
            freed.advance(float(second), True, 5.0)
            freed.note_granted(0.5)
        self.assertAlmostEqual(freed.rate(0.5, POOL_RATE), 0.5, delta=0.05)

    def test_time_in_which_nothing_waits_says_nothing(self):
        freed = FreedCapacity()
        freed.advance(0.0, False, 5.0)
        freed.advance(100.0, False, 5.0)
        self.assertEqual(freed.rate(0.5, POOL_RATE), POOL_RATE)

    def test_demand_of_more_urgent_requests_counts_for_the_others(self):
        freed = FreedCapacity()
        freed.advance(0.0, False, 5.0)
        freed.advance(1.0, True, 5.0)
        freed.note_asked(0, 2.0)
        freed.note_asked(2, 7.0)
        self.assertEqual(freed.more_urgent_rate(0, 1.0, 1.0), 0.0)
        self.assertEqual(freed.more_urgent_rate(1, 1.0, 1.0), 1.0)

    @given(amounts, amounts, amounts, amounts, st.floats(0.0, 200.0))
    def test_wait_is_finite_and_grows_with_what_is_ahead(
        self, ahead, more, work, rate, urgent_rate
    ):
        """Guards against estimates by which a lane is refused for good."""
        wait_s = expected_wait_s(ahead, 0.0, work, rate, urgent_rate)
        longer_s = expected_wait_s(ahead + more, 0.0, work, rate, urgent_rate)
        self.assertLessEqual(wait_s, longer_s)
        self.assertLessEqual(longer_s, work / (rate * GUARANTEED_SHARE) * 1.001)

    def test_work_is_the_larger_share_of_memory_and_slots(self):
        pool = RelayPool("e", 100, EngineProfile(10, 1_000))
        self.assertAlmostEqual(work_of(request(460, pool)), 0.5)
        self.assertAlmostEqual(work_of(request(1, pool)), 0.1)
        self.assertEqual(work_of(request(460, RelayPool("s", 100))), 1.0)

    def test_busy_work_counts_other_routers(self):
        states = [ReplicaState(replica(name, "e")) for name in ("one", "two")]
        states[0].own, states[0].peers = Load(1, 0, 460), Load(1, 0, 230)
        profile = EngineProfile(10, 1_000)
        self.assertAlmostEqual(busy_work(states, profile), 0.75)
        self.assertEqual(busy_work(states, None), 2.0)
