import unittest

from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.relaying.speeds.run_samples import (
    MAX_AGE_S,
    MAX_HALF_LIFE_S,
    MAX_ROUTERS,
    MAX_SAMPLES_OF_ROUTER,
    RunSamples,
)
from boragedeck.process.relaying.speeds.speed_messages import StreamTimes

NORMAL, SLOW = StreamTimes(1.0, 1.0), StreamTimes(2.2, 2.2)


class RunSamplesTest(unittest.TestCase):
    def setUp(self):
        self.samples = RunSamples(Run("e1", 7))

    def add(self, router, ratios, at=0.0, count=1):
        for _ in range(count):
            self.samples.add(router, at, ratios)

    def test_samples_of_one_other_router_show_nothing(self):
        self.add("r1", SLOW, count=5)
        self.assertIsNone(self.samples.summary("own", 0.0))

    def test_own_samples_count_one_by_one_if_there_are_no_others(self):
        self.add("own", SLOW, count=3)
        self.assertAlmostEqual(self.samples.summary("own", 0.0).weight, 3.0)

    def test_many_samples_of_a_router_weigh_as_much_as_one(self):
        self.add("r1", SLOW, count=9)
        self.add("r2", NORMAL)
        self.add("r3", NORMAL)
        summary = self.samples.summary("own", 0.0)
        self.assertAlmostEqual(summary.weight, 3.0)
        self.assertEqual(summary.low, NORMAL)

    def test_disturbed_samples_are_outweighed(self):
        for number in range(3):
            self.add(f"r{number}", NORMAL)
        self.add("r3", SLOW)
        self.add("r4", SLOW)
        self.assertEqual(self.samples.summary("own", 0.0).low, NORMAL)

    def test_weight_decays_with_age(self):
        self.add("r1", SLOW)
        self.add("r2", SLOW)
        self.assertAlmostEqual(self.samples.summary("own", 5.0).age_s, 5.0)
        weight = self.samples.summary("own", MAX_HALF_LIFE_S).weight
        self.assertLessEqual(weight, 1.0)

    def test_new_sample_counts_at_once(self):
        self.add("r1", SLOW)
        self.add("r2", SLOW)
        self.assertEqual(self.samples.summary("own", 0.0).low, SLOW)
        self.add("r3", NORMAL)
        self.add("r4", NORMAL)
        self.assertEqual(self.samples.summary("own", 0.0).low, NORMAL)

    def test_new_samples_outweigh_old_ones(self):
        for number in range(4):
            self.add(f"r{number}", SLOW, at=0.0)
        self.add("r8", NORMAL, at=40.0)
        self.add("r9", NORMAL, at=40.0)
        self.assertEqual(self.samples.summary("own", 40.0).low, NORMAL)

    def test_old_samples_are_dropped(self):
        self.add("r1", SLOW)
        self.assertTrue(self.samples.expire(MAX_AGE_S))
        self.assertFalse(self.samples.expire(MAX_AGE_S + 1.0))

    def test_samples_of_a_run_that_follows_are_the_newest(self):
        self.add("r1", SLOW, count=MAX_SAMPLES_OF_ROUTER)
        self.add("r2", SLOW)
        follower = RunSamples(Run("e1", 8))
        follower.add("r1", 5.0, NORMAL)
        follower.add("r3", 5.0, NORMAL)
        self.samples.add_all(follower)
        summary = self.samples.summary("own", 5.0)
        self.assertEqual(summary.samples, MAX_SAMPLES_OF_ROUTER + 2)
        self.assertAlmostEqual(summary.age_s, 0.0)

    def test_state_is_bounded(self):
        for number in range(3 * MAX_ROUTERS):
            self.add(f"r{number}", NORMAL, count=2 * MAX_SAMPLES_OF_ROUTER)
        summary = self.samples.summary("own", 0.0)
        self.assertEqual(summary.samples, MAX_ROUTERS * MAX_SAMPLES_OF_ROUTER)
