import unittest

from boragedeck.connection.memory_budget import Grant, MemoryBudget, Use
from boragedeck.connection.resource_limits import MB, resource_limits

LARGEST_BODY = 4 * MB


class ResourceLimitsTest(unittest.TestCase):
    def test_largest_body_and_answer_fit_on_the_smallest_machines(self):
        for memory_mb in (32, 64, 88, 128, 552):
            limits = resource_limits(memory_mb, 1_024)
            budget = MemoryBudget(limits.budget_bytes)
            holding = budget.open("a", lambda: None, 0.0)
            for use in (Use.BODY, Use.ANSWER):
                grant = budget.ask(holding, use, LARGEST_BODY)
                self.assertIs(grant, Grant.GRANTED, (memory_mb, use))

    def test_budget_leaves_memory_for_the_process(self):
        for memory_mb in (88, 128, 552):
            limits = resource_limits(memory_mb, None)
            self.assertLess(limits.budget_bytes, (memory_mb - 48) * MB)
            self.assertIsNotNone(limits.send_buffer_bytes)

    def test_without_settings_the_kernel_s_buffers_stay_as_they_are(self):
        limits = resource_limits(None, None)
        self.assertIsNone(limits.send_buffer_bytes)
        self.assertGreater(limits.budget_bytes, 8 * LARGEST_BODY)
