import unittest

from boragedeck.process.relaying.crashes.crash_messages import (
    CrashVerdict,
    VerdictState,
    request_signature,
)
from boragedeck.process.relaying.crashes.crash_trials import (
    TRIAL_AFTER_S,
    TRIAL_TIMEOUT_S,
    CrashTrials,
    trial_after_s,
)
from boragedeck.process.relaying.crashes.crash_verdicts import (
    BLAME_TTL_S,
    CrashVerdicts,
)
from boragedeck.process.timers import ManualTimers
from tests.support.replicas import FakeFactBoard

SIGNATURE = request_signature("p", "deadly")


class CrashTrialsTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.verdicts = CrashVerdicts(self.timers, FakeFactBoard())
        self.trials = CrashTrials(self.timers, self.verdicts, self.blame)

    def publish(self, state, trials=0, after_s=0.0):
        self.verdicts.publish(CrashVerdict(SIGNATURE, state, trials, after_s))

    def blame(self, signature, trials, after_s):
        self.assertEqual(signature, SIGNATURE)
        self.publish(VerdictState.BLAMED, trials, after_s)

    def known_trials(self):
        return self.verdicts.get(SIGNATURE).verdict.trials

    def until_trial_s(self):
        return self.verdicts.get(SIGNATURE).trial_at - self.timers.now()

    def test_trial_is_granted_when_it_is_due(self):
        self.publish(VerdictState.BLAMED, 0, TRIAL_AFTER_S[0])
        self.assertFalse(self.trials.grant(SIGNATURE))
        self.timers.advance(TRIAL_AFTER_S[0])
        self.assertTrue(self.trials.grant(SIGNATURE))

    def test_granted_trial_counts_before_it_is_sent(self):
        # A judge that ended after its grant left a successor that granted it again.
        self.publish(VerdictState.BLAMED)
        self.assertTrue(self.trials.grant(SIGNATURE))
        self.assertEqual(self.known_trials(), 1)
        self.assertEqual(self.until_trial_s(), TRIAL_AFTER_S[1])
        successor = CrashTrials(self.timers, self.verdicts, self.blame)
        self.assertFalse(successor.grant(SIGNATURE))

    def test_trial_of_which_nothing_is_heard_is_due_again(self):
        self.publish(VerdictState.BLAMED)
        self.trials.grant(SIGNATURE)
        self.timers.advance(TRIAL_TIMEOUT_S - 0.1)
        self.assertFalse(self.trials.grant(SIGNATURE))
        self.timers.advance(0.2)
        self.assertEqual(self.known_trials(), 0)
        self.assertTrue(self.trials.grant(SIGNATURE))

    def test_trial_that_crashed_a_replica_is_not_returned(self):
        self.publish(VerdictState.BLAMED)
        self.trials.grant(SIGNATURE)
        self.timers.advance(1.0)
        self.publish(VerdictState.BLAMED, 1, TRIAL_AFTER_S[1])
        self.timers.advance(TRIAL_TIMEOUT_S)
        self.assertEqual(self.known_trials(), 1)

    def test_trial_that_cleared_the_verdict_is_not_returned(self):
        self.publish(VerdictState.BLAMED)
        self.trials.grant(SIGNATURE)
        self.timers.advance(1.0)
        self.publish(VerdictState.CLEARED)
        self.timers.advance(TRIAL_TIMEOUT_S)
        self.assertIs(self.verdicts.get(SIGNATURE).verdict.state, VerdictState.CLEARED)

    def test_no_trial_of_what_the_judge_does_not_blame(self):
        self.assertFalse(self.trials.grant(SIGNATURE))
        for state in (VerdictState.SUSPECTED, VerdictState.CLEARED):
            self.publish(state)
            self.assertFalse(self.trials.grant(SIGNATURE))

    def test_verdict_holds_after_the_last_trial(self):
        self.publish(VerdictState.BLAMED, len(TRIAL_AFTER_S) - 1)
        self.assertTrue(self.trials.grant(SIGNATURE))
        self.assertEqual(self.until_trial_s(), BLAME_TTL_S)
        self.assertEqual(trial_after_s(len(TRIAL_AFTER_S)), BLAME_TTL_S)
