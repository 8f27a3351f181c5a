import random
import unittest

from boragedeck.process.placing.retry_budget import RetryBudget
from boragedeck.process.timers import ManualTimers


class RetryBudgetTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.budget = RetryBudget(self.timers, random.Random(1))

    def spend_all(self, **fields):
        count = 0
        while self.budget.spend("p", 2, **fields).is_ok():
            count += 1
        return count

    def test_dead_pool_gets_a_bounded_number_of_retries(self):
        self.assertLessEqual(self.spend_all(), 50)
        refusal = self.budget.spend("p", 1).err()
        self.assertEqual(refusal.status, 503)
        self.assertGreater(refusal.retry_after_s, 0.0)

    def test_successes_earn_a_fraction(self):
        self.spend_all()
        for _ in range(80):
            self.budget.record_success("p")
        self.assertEqual(self.spend_all(), 10)

    def test_first_resume_is_immediate_although_the_retry_budget_is_spent(self):
        self.spend_all()
        self.assertEqual(self.budget.spend("p", 1, is_resume=True).ok(), 0.0)

    def test_resumes_are_bounded(self):
        granted = sum(
            self.budget.spend("p", 1, is_resume=True).is_ok() for _ in range(1000)
        )
        self.assertLessEqual(granted, 250)

    def test_backoff_grows_and_is_random(self):
        waits = [self.budget.backoff_s(5) for _ in range(100)]
        self.assertGreater(max(waits) - min(waits), 0.4)
        self.assertLessEqual(max(self.budget.backoff_s(50) for _ in range(100)), 2.0)
