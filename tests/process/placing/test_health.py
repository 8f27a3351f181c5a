import unittest

from boragedeck.ids import Health
from boragedeck.interfaces import Outcome
from boragedeck.process.placing.health import HealthRecord


class HealthRecordTest(unittest.TestCase):
    def test_crash_leads_to_block_then_probation_then_ramp_up(self):
        health = HealthRecord(0.0)
        health.record_failure(Outcome.CRASHED, 100.0)
        self.assertFalse(health.is_available(100.4))
        self.assertTrue(health.is_available(100.6))
        self.assertTrue(health.is_on_probation())
        health.record_success(101.0)
        self.assertIs(health.state, Health.HEALTHY)
        self.assertLess(health.share(101.0), 0.3)
        self.assertEqual(health.share(120.0), 1.0)

    def test_runs_broken_off_together_count_as_one_failure(self):
        health = HealthRecord(0.0)
        for _ in range(16):
            health.record_failure(Outcome.CRASHED, 100.0)
        self.assertTrue(health.is_available(100.6))

    def test_consecutive_failures_block_for_longer(self):
        health = HealthRecord(0.0)
        for at in (100.0, 101.0, 103.0):
            health.record_failure(Outcome.REFUSED, at)
        self.assertFalse(health.is_available(104.5))
        self.assertTrue(health.is_available(105.1))

    def test_probe_ends_the_block(self):
        health = HealthRecord(0.0)
        health.record_failure(Outcome.CRASHED, 100.0)
        health.record_probe_answer(100.1)
        self.assertTrue(health.is_available(100.1))
        self.assertTrue(health.is_on_probation())

    def test_upstream_is_suspect_only_after_three_consecutive_errors(self):
        health = HealthRecord(0.0)
        health.record_failure(Outcome.FAILED, 1.0)
        health.record_failure(Outcome.FAILED, 2.0)
        self.assertIs(health.state, Health.HEALTHY)
        health.record_failure(Outcome.FAILED, 3.0)
        self.assertIs(health.state, Health.SUSPECT)
