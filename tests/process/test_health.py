import unittest

from boragedeck.ids import Health
from boragedeck.interfaces import Outcome
from boragedeck.process.health import HealthRecord


class HealthRecordTest(unittest.TestCase):
    def test_crash_blocks_then_probation_then_slow_return(self):
        health = HealthRecord(0.0)
        health.fail(Outcome.CRASHED, 100.0)
        self.assertFalse(health.is_open(100.4))
        self.assertTrue(health.is_open(100.6))
        self.assertTrue(health.on_probation())
        health.succeed(101.0)
        self.assertIs(health.state, Health.HEALTHY)
        self.assertLess(health.share(101.0), 0.3)
        self.assertEqual(health.share(120.0), 1.0)

    def test_runs_broken_off_together_are_one_failure(self):
        health = HealthRecord(0.0)
        for _ in range(16):
            health.fail(Outcome.CRASHED, 100.0)
        self.assertTrue(health.is_open(100.6))

    def test_failures_in_a_row_block_for_longer(self):
        health = HealthRecord(0.0)
        for at in (100.0, 101.0, 103.0):
            health.fail(Outcome.REFUSED, at)
        self.assertFalse(health.is_open(104.5))
        self.assertTrue(health.is_open(105.1))

    def test_probe_ends_the_block(self):
        health = HealthRecord(0.0)
        health.fail(Outcome.CRASHED, 100.0)
        health.answer_probe(100.1)
        self.assertTrue(health.is_open(100.1))
        self.assertTrue(health.on_probation())

    def test_single_error_answers_raise_no_suspicion(self):
        health = HealthRecord(0.0)
        health.fail(Outcome.FAILED, 1.0)
        health.fail(Outcome.FAILED, 2.0)
        self.assertIs(health.state, Health.HEALTHY)
        health.fail(Outcome.FAILED, 3.0)
        self.assertIs(health.state, Health.SUSPECT)
