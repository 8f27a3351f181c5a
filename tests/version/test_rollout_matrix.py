import unittest
from unittest import mock

import msgspec

from benchmarks.rollout_faults import Fault, scenario
from benchmarks.rollout_model import Model
from benchmarks.rollouts import missed_targets
from boragedeck.version import rollout_leader, rollout_watch
from boragedeck.version.judgement import Score
from boragedeck.version.rollout_follower import RolloutFollower

RATE = 6.0
LENGTH_S = 300.0


def run(name, *, seed=1, **changes):
    sizes = {"rate": RATE, "length_s": LENGTH_S, **changes}
    item = msgspec.structs.replace(scenario(name), **sizes)
    reports = Model(item, seed).run()
    return [text for report in reports for text in missed_targets(item, report)]


class TestMatrix(unittest.TestCase):
    def test_scenarios(self):
        for name in (
            "bad: fails at once",
            "bad: slow at once",
            "bad: fails after minutes, store down",
            "bad: fails after minutes, partition",
            "bad: wrong on long outputs",
            "bad: fails on one route",
            "good: overload",
            "good: domain lost",
            "good: slow store",
            "good: leader killed at each step",
            "good: store down over the deadline",
        ):
            with self.subTest(name):
                self.assertEqual(run(name), [])


class TestSeededDefects(unittest.TestCase):
    """The checks of the matrix must detect each of these defects."""

    def test_judge_that_never_rejects(self):
        with mock.patch.object(rollout_watch, "is_rejected", return_value=False):
            found = run("bad: fails at once", fault=Fault.FAILS)
        self.assertTrue(found)

    def test_comparison_with_other_times(self):
        # Without a comparison with the old version's runs at the same time, an overload
        # looks like a fault of the new version.
        def score_without_comparison(evidence, upstream_counts):
            cell = evidence.total(is_new=True)
            nats = 3.0 * cell.failures - 0.1 * cell.trials
            return Score(((nats,), (0.0,), (0.0,)))

        with (
            mock.patch.object(rollout_watch, "group_score", score_without_comparison),
            mock.patch.object(rollout_watch, "Score", lambda: Score(((0.0,),) * 3)),
        ):
            found = run("good: overload")
        self.assertTrue(any("good version" in text for text in found), found)

    def test_new_version_after_the_deadline(self):
        with mock.patch.object(
            RolloutFollower, "_may_use_new_version", lambda self, route, row: True
        ):
            found = run("good: store down over the deadline")
        self.assertTrue(any("after the deadline" in text for text in found), found)

    def test_shares_too_large_before_evidence(self):
        row = rollout_leader.RolloutRow
        with mock.patch.object(
            rollout_leader,
            "RolloutRow",
            lambda **fields: row(**{**fields, "share": 0.3, "allowance": None}),
        ):
            found = run("bad: fails at once")
        self.assertTrue(any("before evidence" in text for text in found), found)
