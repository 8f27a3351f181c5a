"""Streams of many routers at engines of unequal speed, on a model."""

import statistics
import unittest

import msgspec

from tests.support.speed_fleet import LATE_S, Setup, SpeedFleet

BEGIN_S, END_S = 30.0, 60.0
"""Streams that arrive in this time count, after the speeds were learnt."""
RUN_S = 70.0
UNEQUAL = Setup()
EQUAL = Setup(slow_share=0.0, pauses_per_s=1.0, burst=(15.0, 22.0), burst_factor=2.5)


def played(setup, seconds=RUN_S):
    fleet = SpeedFleet(setup)
    fleet.run(seconds)
    return fleet


def counted(values):
    """Return the times of the streams that count."""
    return [took_s for arrived, took_s in values if BEGIN_S <= arrived < END_S]


class UnequalEnginesTest(unittest.TestCase):
    """A quarter of the engines takes 2.2 times as long as the others."""

    @classmethod
    def setUpClass(cls):
        cls.known = played(UNEQUAL)
        cls.unknown = played(msgspec.structs.replace(UNEQUAL, learns=False))

    def test_mean_stream_is_shorter(self):
        known, unknown = (
            statistics.mean(counted(fleet.took_s))
            for fleet in (self.known, self.unknown)
        )
        self.assertLess(known, 0.95 * unknown)

    def test_slow_streams_are_rarer(self):
        known, unknown = (
            statistics.quantiles(counted(fleet.took_s), n=20)[-1]
            for fleet in (self.known, self.unknown)
        )
        self.assertLess(known, 0.7 * unknown)

    def test_no_more_first_events_are_late(self):
        known, unknown = (
            sum(first_s > LATE_S for first_s in counted(fleet.first_s))
            for fleet in (self.known, self.unknown)
        )
        self.assertLessEqual(known, unknown)

    def test_slow_engines_are_found_and_no_others(self):
        self.assertLessEqual(self.known.slow(), self.known.really_slow())
        found = len(self.known.slow()) / len(self.known.really_slow())
        self.assertGreater(found, 0.9)
        self.assertEqual(self.known.slow(), self.known.other_than_normal())

    def test_slow_engines_still_get_streams(self):
        placed = self.known.placed[len(self.known.placed) // 3 :]
        slow = self.known.really_slow()
        share = sum(name in slow for name in placed) / len(placed)
        self.assertTrue(0.005 < share < 0.1, share)


class RecoveryTest(unittest.TestCase):
    def test_recovered_engines_count_as_normal_again(self):
        fleet = played(UNEQUAL, 40.0)
        slow = len(fleet.slow())
        for engine in fleet.engines.values():
            engine.speed = 1.0
        fleet.run(40.0)
        self.assertLess(len(fleet.slow()), 0.6 * slow)
        fleet.run(60.0)
        self.assertLess(len(fleet.slow()), 0.1 * slow)


class EqualEnginesTest(unittest.TestCase):
    def test_placement_is_as_without_speeds(self):
        # Bursts over the pool and pauses of single engines make streams slow, too.
        for seed in (1, 2):
            setup = msgspec.structs.replace(EQUAL, seed=seed)
            learning = played(setup, 40.0)
            fixed = played(msgspec.structs.replace(setup, learns=False), 40.0)
            self.assertEqual(learning.placed, fixed.placed)
            self.assertEqual(learning.took_s, fixed.took_s)

    def test_burst_at_one_engine_does_not_make_it_slow(self):
        fleet = SpeedFleet(msgspec.structs.replace(EQUAL, burst=(0.0, 0.0)))
        fleet.run(15.0)
        for _ in range(20):
            fleet.flood("e7", 4)
            fleet.run(2.0)
            self.assertEqual(fleet.other_than_normal(), set())
