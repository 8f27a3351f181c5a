import unittest

from boragedeck.process.relaying.speeds.pool_times import (
    MAX_POOL_TIMES,
    MIN_POOL_TIMES,
    PoolTimes,
)
from boragedeck.process.relaying.speeds.run_samples import MAX_AGE_S
from boragedeck.process.relaying.speeds.speed_messages import StreamTimes

NORMAL, LONG = StreamTimes(1.0, 1.0), StreamTimes(4.0, 4.0)


class PoolTimesTest(unittest.TestCase):
    def setUp(self):
        self.times = PoolTimes()

    def add(self, router, times=NORMAL, count=1, now=0.0):
        for _ in range(count):
            self.times.add(router, times, now)

    def test_few_times_have_no_median(self):
        self.add("a", count=MIN_POOL_TIMES - 1)
        self.assertIsNone(self.times.relative(NORMAL))
        self.add("a")
        self.assertEqual(self.times.relative(LONG), LONG)

    def test_many_times_of_one_router_do_not_determine_the_median(self):
        for router in "abcd":
            self.add(router, count=10)
        self.add("faulty", LONG, count=5 * MAX_POOL_TIMES)
        self.assertEqual(self.times.relative(NORMAL), NORMAL)

    def test_many_times_of_the_first_router_are_dropped_when_others_report(self):
        self.add("faulty", LONG, count=MAX_POOL_TIMES)
        for router in "abc":
            self.add(router, count=MIN_POOL_TIMES)
        self.assertEqual(self.times.relative(NORMAL), NORMAL)

    def test_only_router_is_not_limited(self):
        self.add("a", count=2 * MAX_POOL_TIMES)
        self.assertEqual(len(self.times), MAX_POOL_TIMES)

    def test_router_that_serves_most_streams_keeps_enough_to_compare_with(self):
        self.add("b")
        self.add("c")
        self.add("a", count=MIN_POOL_TIMES)
        self.assertEqual(len(self.times), MIN_POOL_TIMES + 2)

    def test_times_of_routers_that_are_silent_expire(self):
        self.add("a", LONG, count=20)
        self.add("b", LONG, count=20)
        self.add("c", count=MIN_POOL_TIMES, now=MAX_AGE_S + 1.0)
        self.assertEqual(self.times.relative(NORMAL), NORMAL)
