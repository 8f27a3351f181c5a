import unittest

from boragedeck.process.relaying.fleet.fleet_size import FleetSize
from boragedeck.process.relaying.retries.retry_share import RetryShare
from boragedeck.process.timers import ManualTimers
from tests.support.replicas import BOUNDS, NoReserve


class RetryShareTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.share = self.retry_share(9)

    def retry_share(self, routers, *, has_seeds=False):
        size = FleetSize(self.timers, lambda: routers, lambda: has_seeds)
        return RetryShare(self.timers, lambda: BOUNDS, size, NoReserve())

    def take_all(self):
        count = 0
        while self.share.take("p"):
            count += 1
        return count

    def test_nine_routers_without_requests_stay_within_the_fixed_part(self):
        self.assertLessEqual(9 * self.take_all(), BOUNDS.retry_extra)

    def test_share_grows_with_requests_and_stays_below_the_bound(self):
        for _ in range(100):
            self.share.note_request("p")
        count = self.take_all()
        self.assertGreater(count, 40)
        self.assertLessEqual(count, 0.8 * 100 + BOUNDS.retry_extra / 9)

    def test_router_that_knows_no_other_yet_takes_a_small_part(self):
        single = self.retry_share(1)
        count = 0
        while single.take("p"):
            count += 1
        self.assertLessEqual(16 * count, BOUNDS.retry_extra)

    def test_hundreds_that_start_together_stay_within_the_bound(self):
        routers, count = 200, 0
        for _ in range(routers):
            single = self.retry_share(1, has_seeds=True)
            single.note_request("p")
            while single.take("p"):
                count += 1
        bound = BOUNDS.retry_ratio * routers + BOUNDS.retry_extra
        self.assertLessEqual(count, bound)
        self.assertGreaterEqual(count, routers)

    def test_share_refills_as_the_window_slides(self):
        self.take_all()
        self.assertFalse(self.share.take("p"))
        self.timers.advance(BOUNDS.retry_window_s + 0.1)
        self.assertTrue(self.share.take("p"))

    def test_pools_are_counted_separately(self):
        self.take_all()
        self.assertTrue(self.share.take("q"))
