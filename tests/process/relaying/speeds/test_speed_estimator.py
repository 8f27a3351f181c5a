import unittest

from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.relaying.speeds.pool_times import (
    MAX_POOL_TIMES,
    MIN_POOL_TIMES,
)
from boragedeck.process.relaying.speeds.speed_estimator import (
    MAX_KNOWN_ROUTERS,
    SpeedEstimator,
)
from boragedeck.process.relaying.speeds.speed_messages import SpeedSample

RUNS = [Run(f"e{number}", 7) for number in range(5)]


def sample(router, number, run=RUNS[0], factor=1.0):
    read_s, event_s = 1e-4 * factor, 0.03 * factor
    return SpeedSample(router, number, run.replica, run.born_ms, 0.0, read_s, event_s)


class SpeedEstimatorTest(unittest.TestCase):
    def setUp(self):
        self.estimator = SpeedEstimator("own")

    def add_rounds(self, rounds, first=1, factors=(2.2, 1.0, 1.0, 1.0, 1.0)):
        """Have three routers send samples of all runs."""
        for number in range(first, first + rounds * len(RUNS), len(RUNS)):
            for router in "abc":
                for offset, (run, factor) in enumerate(zip(RUNS, factors, strict=True)):
                    each = sample(router, number + offset, run, factor)
                    self.estimator.add("p", each, 0.0)

    def slow(self, now=1.0):
        self.estimator.update("p", RUNS, now)
        return set(self.estimator.speeds)

    def test_slow_run_is_found(self):
        self.add_rounds(2)
        self.assertEqual(self.slow(), {RUNS[0]})

    def test_sample_that_was_sent_twice_counts_once(self):
        self.assertTrue(self.estimator.add("p", sample("a", 4), 0.0))
        self.assertFalse(self.estimator.add("p", sample("a", 4), 0.0))
        self.assertFalse(self.estimator.add("p", sample("a", 3), 0.0))
        self.assertTrue(self.estimator.add("p", sample("b", 4), 0.0))

    def test_samples_without_others_to_compare_with_do_not_count(self):
        for number in range(1, MIN_POOL_TIMES):
            self.estimator.add("p", sample(f"r{number}", number), 0.0)
        self.assertEqual(self.estimator._samples, {})

    def test_pools_are_compared_apart(self):
        self.add_rounds(2, factors=(1.0,) * 5)
        for number in range(1, 20):
            for router in "xyz":
                other = sample(router, number, Run("other", 7), 9.0)
                self.estimator.add("q", other, 0.0)
        self.assertEqual(self.slow(), set())

    def test_state_is_bounded(self):
        for number in range(1, 2 * MAX_KNOWN_ROUTERS):
            self.estimator.add("p", sample(f"r{number}", number), 0.0)
        self.assertLessEqual(len(self.estimator._last_numbers), MAX_KNOWN_ROUTERS)
        self.assertLessEqual(len(self.estimator._pool_times["p"]), MAX_POOL_TIMES)
        self.estimator.keep_only([], [])
        self.assertEqual(self.estimator._samples, {})
        self.assertEqual(self.estimator._pool_times, {})
