import unittest

import msgspec

from boragedeck.interfaces import Outcome, RunSample
from boragedeck.process.relaying.rollouts.rollout_plan import (
    FINISH_AT,
    MIN_TRIALS,
    TRIAL_REQUESTS,
    TRIAL_UNTIL,
    find_doubt,
    share_at,
    trial_share,
)
from boragedeck.version.evidence import Evidence
from boragedeck.version.judgement import SUSPICION_NATS, Score
from tests.support.replicas import BOUNDS

DURATION_S = 12.0


def evidence(runs):
    """Return the evidence of runs of the new version."""
    shown = Evidence()
    for _ in range(runs):
        run = RunSample("r", "v2", "u", "a", Outcome.COMPLETED, 0.1, None, 0)
        shown.add(run, is_new=True, is_late=False)
    return shown


def score(nats):
    """Return a score with evidence of failures."""
    rows = Score().nats
    return Score(((nats,) * len(rows[0]), *rows[1:]))


class DoubtTest(unittest.TestCase):
    def test_version_that_has_shown_too_little_is_trusted(self):
        doubt = find_doubt(score(0.0), evidence(MIN_TRIALS - 1))
        self.assertFalse(doubt.is_suspicion)

    def test_evidence_below_the_limit_of_a_rejection_is_ignored(self):
        doubt = find_doubt(score(SUSPICION_NATS + 0.1), evidence(50))
        self.assertTrue(doubt.is_suspicion)

    def test_version_that_has_shown_enough_is_doubted(self):
        enough = evidence(MIN_TRIALS)
        self.assertIsNone(find_doubt(score(SUSPICION_NATS - 0.1), enough))

    def test_runs_that_failed_show_nothing(self):
        shown = evidence(MIN_TRIALS - 1)
        for _ in range(20):
            run = RunSample("r", "v2", "u", "a", Outcome.FAILED, None, None, 0)
            shown.add(run, is_new=True, is_late=False)
        self.assertIsNotNone(find_doubt(score(0.0), shown))


class ShareTest(unittest.TestCase):
    def test_share_exceeds_the_exposure_during_the_trial(self):
        trial = trial_share(BOUNDS, per_s=50.0, duration_s=60.0)
        self.assertLess(share_at(TRIAL_UNTIL - 0.01, trial), 0.1)
        self.assertEqual(share_at(FINISH_AT, trial), 1.0)

    def test_trial_of_a_small_pool_has_too_few_requests_to_judge_by(self):
        for per_s in (1.5, 3.0, 10.0, 100.0):
            share = trial_share(BOUNDS, per_s, DURATION_S)
            requests = share * per_s * TRIAL_UNTIL * DURATION_S
            expected = min(TRIAL_REQUESTS, 0.5 * per_s * TRIAL_UNTIL * DURATION_S)
            self.assertGreaterEqual(requests, 0.99 * expected)

    def test_trial_of_a_small_pool_exceeds_its_exposure(self):
        for extra in (0.0, 10.0, 50.0):
            bounds = msgspec.structs.replace(BOUNDS, exposure_extra=extra)
            for per_s in (0.5, 1.5, 3.0, 10.0, 100.0):
                share = trial_share(bounds, per_s, DURATION_S)
                sent = share * per_s * TRIAL_UNTIL * DURATION_S
                bound = bounds.exposure_share * per_s * DURATION_S + extra
                self.assertLessEqual(sent, bound)
