import unittest

import msgspec

from boragedeck.version.rollout_plan import (
    LAST_STEP,
    MIN_TRIALS,
    SOAK_STEP,
    STEPS,
    ExtendAllowance,
    Finish,
    Progress,
    RaiseShare,
    RollBack,
    Wait,
    decide,
    finish_by,
    first_step,
    trials_needed,
    window_s,
)
from boragedeck.version.rollout_row import RolloutRow

START = 1_000_000.0
ENOUGH = Progress(
    trials=1000, long_trials=50, old_trials=1000, old_long_trials=100, rate=10.0
)


def row(step, since=0.0):
    return RolloutRow(
        route="chat",
        number=1,
        pool="pool",
        old="A",
        new="B",
        deadline=START + 600.0,
        asked_deadline=START + 600.0,
        revision=1,
        started=START,
        step=step,
        step_since=START + since,
        allowance=STEPS[step].requests,
    )


def progress(**changes):
    return msgspec.structs.replace(ENOUGH, **changes)


class TestDecide(unittest.TestCase):
    def check(self, expected, step, at, **changes):
        decision = decide(row(step), progress(**changes), START + at)
        self.assertIsInstance(decision, expected, decision)
        self.assertTrue(decision.reason)

    def test_raises_on_enough_evidence_only(self):
        self.check(RaiseShare, 1, 30.0)
        self.check(Wait, 1, 5.0)
        self.check(Wait, 2, 30.0, trials=3)
        self.check(Wait, 2, 30.0, nats=8.0)
        self.check(Wait, 2, 30.0, long_trials=0)
        self.check(Wait, 2, 30.0, has_capacity=False)
        self.check(Wait, 2, 30.0, is_share_capped=True)
        self.check(Wait, 2, 30.0, missing=1)

    def test_partitioned_routers_do_not_block_a_rollout_forever(self):
        self.check(RaiseShare, 2, 60.0, missing=1)

    def test_allows_more_requests_if_the_first_ones_do_not_suffice(self):
        self.check(ExtendAllowance, 0, 30.0, trials=3)
        self.check(Wait, 0, 5.0, trials=3)

    def test_soaks_at_half_and_at_nearly_all(self):
        self.check(Wait, SOAK_STEP, 300.0)
        self.check(RaiseShare, SOAK_STEP, 380.0)
        self.check(Wait, LAST_STEP, 450.0)
        self.check(Finish, LAST_STEP, 520.0)

    def test_rolls_back_before_the_deadline_without_evidence(self):
        self.check(RollBack, 3, 575.0)
        self.check(RollBack, LAST_STEP, 575.0, trials=0)

    def test_outcome_is_due_before_the_deadline(self):
        self.assertLessEqual(finish_by(row(0)), START + 580.0)


class TestSizes(unittest.TestCase):
    def test_small_routes_need_fewer_trials(self):
        self.assertEqual(trials_needed(row(4), progress(rate=20.0)), STEPS[4].trials)
        self.assertEqual(trials_needed(row(1), progress(rate=0.3)), MIN_TRIALS)

    def test_small_routes_skip_the_smallest_share(self):
        self.assertEqual(first_step(100.0, 600.0), 0)
        self.assertEqual(first_step(0.5, 600.0), 1)

    def test_shares_before_evidence_are_under_the_limit(self):
        early = [step.share for step in STEPS if step.requests is not None]
        self.assertLess(max(early), 0.05)

    def test_windows_grow_with_the_fleet(self):
        self.assertEqual(window_s(9), 5.0)
        self.assertEqual(window_s(370), 37.0)
