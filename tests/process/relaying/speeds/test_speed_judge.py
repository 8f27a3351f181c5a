import unittest

from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.relaying.speeds.run_samples import Summary
from boragedeck.process.relaying.speeds.speed_judge import (
    KEPT_LIMIT,
    MIN_RUNS,
    judge_speeds,
)
from boragedeck.process.relaying.speeds.speed_messages import (
    MAX_SPEED_RATIO,
    RunSpeed,
    StreamTimes,
)

RUN = Run("e0", 0)


def summary(read=1.0, event=1.0, weight=3.0):
    times = StreamTimes(read, event)
    return Summary(weight=weight, samples=3, age_s=1.0, low=times, high=times)


class SpeedJudgeTest(unittest.TestCase):
    def judge(self, first, others=9, before=1.0):
        """Return the speed of a run among normal ones."""
        summaries = {RUN: first}
        for number in range(others):
            summaries[Run(f"e{number + 1}", 0)] = summary()
        known = {RUN: RunSpeed("e0", 0, before)} if before != 1.0 else {}
        speeds = judge_speeds(summaries, known)
        self.assertLessEqual(set(speeds), {RUN})
        return speeds[RUN].speed if RUN in speeds else 1.0

    def test_slow_run_is_found(self):
        self.assertAlmostEqual(self.judge(summary(2.2, 2.2)), 1 / 2.2)

    def test_fast_run_is_found(self):
        self.assertAlmostEqual(self.judge(summary(0.5, 0.5)), 2.0)

    def test_one_kind_of_evidence_alone_does_not_count(self):
        # A pause falls into the time of a prompt, a burst slows the events.
        self.assertEqual(self.judge(summary(5.0, 1.1)), 1.0)
        self.assertEqual(self.judge(summary(1.1, 5.0)), 1.0)
        self.assertEqual(self.judge(summary(0.2, 1.0)), 1.0)

    def test_fewer_samples_need_a_larger_difference(self):
        self.assertEqual(self.judge(summary(1.5, 1.5, weight=2.0)), 1.0)
        self.assertLess(self.judge(summary(1.5, 1.5, weight=6.0)), 1.0)

    def test_single_fresh_sample_is_not_enough(self):
        self.assertEqual(self.judge(summary(4.0, 4.0, weight=1.0)), 1.0)

    def test_speed_that_was_found_is_kept_until_the_difference_is_small(self):
        self.assertLess(self.judge(summary(1.3, 1.3), before=0.7), 1.0)
        small = KEPT_LIMIT - 0.05
        self.assertEqual(self.judge(summary(small, small), before=0.7), 1.0)

    def test_speed_fades_as_samples_age(self):
        speeds = [
            self.judge(summary(2.2, 2.2, weight=weight), before=0.45)
            for weight in (2.0, 0.5, 0.1, 0.01)
        ]
        self.assertEqual(speeds, sorted(speeds))
        self.assertEqual(speeds[-1], 1.0)

    def test_ratio_is_bounded(self):
        self.assertAlmostEqual(self.judge(summary(90.0, 90.0)), 1 / MAX_SPEED_RATIO)

    def test_pool_of_few_known_runs_has_no_median(self):
        self.assertEqual(self.judge(summary(2.2, 2.2), others=MIN_RUNS - 2), 1.0)

    def test_common_slowness_of_all_runs_changes_nothing(self):
        summaries = {Run(f"e{n}", 0): summary(3.0, 3.0) for n in range(9)}
        self.assertEqual(judge_speeds(summaries, {}), {})
