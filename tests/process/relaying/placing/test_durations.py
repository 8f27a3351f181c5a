import random
import unittest

from boragedeck.process.relaying.placing.durations import RequestDurations
from boragedeck.process.relaying.recent_values import MIN_VALUES

POOL = "engines"


class RequestDurationsTest(unittest.TestCase):
    def test_limit_is_returned_without_enough_requests(self):
        durations = RequestDurations()
        for _ in range(MIN_VALUES - 1):
            durations.note(POOL, 1.0)
        self.assertEqual(durations.long_duration_s(POOL, 25.0), 25.0)

    def test_objective_is_ignored_without_enough_requests(self):
        durations = RequestDurations()
        self.assertEqual(durations.long_duration_s(POOL, 25.0, 0.5), 1.0)
        self.assertEqual(durations.long_duration_s(POOL, 0.8, 0.5), 0.8)
        for _ in range(MIN_VALUES):
            durations.note(POOL, 7.0)
        self.assertEqual(durations.long_duration_s(POOL, 25.0, 0.5), 7.0)

    def test_few_requests_take_longer_than_a_long_one(self):
        durations = RequestDurations()
        for took_s in range(1, 41):
            durations.note(POOL, float(took_s))
        self.assertEqual(durations.long_duration_s(POOL, 100.0), 39.0)
        self.assertEqual(durations.long_duration_s(POOL, 25.0), 25.0)

    def test_pools_are_separate_and_old_requests_are_dropped(self):
        durations = RequestDurations()
        for took_s in [9.0] * 100 + [1.0] * 100:
            durations.note(POOL, took_s)
        self.assertEqual(durations.long_duration_s(POOL, 25.0), 1.0)
        self.assertEqual(durations.long_duration_s("other", 25.0), 25.0)


class StoppingRoutersTest(unittest.TestCase):
    """Simulates routers that are stopped in turn, soon after start, under streams.

    A stream that still runs when its router ends is lost. The baseline compares the
    time left with the mean so far, which starts at a tenth of a second.
    """

    GRACE_S = 7.6
    ACCEPTING_S = 3.0

    def simulate(self, seed, uses_long_duration):
        rng = random.Random(seed)
        durations, mean_s, lost = RequestDurations(), 0.1, 0
        for _ in range(rng.randrange(12)):
            took_s = self.length(rng)
            durations.note(POOL, took_s)
            mean_s += 0.1 * (took_s - mean_s)
        for _ in range(3):
            left_s = self.GRACE_S - rng.uniform(0.0, self.ACCEPTING_S)
            needed_s = (
                durations.long_duration_s(POOL, 25.0)
                if uses_long_duration
                else 1.25 * mean_s
            )
            if left_s >= needed_s:
                lost += self.length(rng) > left_s
        return lost

    def length(self, rng):
        is_held_up = rng.random() < 0.1
        return rng.gauss(5.4, 0.9) + (3.0 if is_held_up else 0.0)

    def test_few_streams_are_lost_with_their_router(self):
        known = sum(self.simulate(seed, True) for seed in range(300))
        baseline = sum(self.simulate(seed, False) for seed in range(300))
        self.assertLess(known, 0.15 * baseline)
