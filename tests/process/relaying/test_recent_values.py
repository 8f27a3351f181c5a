import unittest

from boragedeck.process.relaying.recent_values import MIN_VALUES, RecentValues


class RecentValuesTest(unittest.TestCase):
    def test_quantile_lies_among_the_newest_values(self):
        values = RecentValues(10)
        for value in range(100):
            values.note("p", float(value))
        self.assertEqual(values.quantile("p", 0.0), 90.0)
        self.assertEqual(values.quantile("p", 0.25), 92.0)
        self.assertEqual(values.quantile("p", 0.95), 99.0)

    def test_too_few_values_have_no_quantile(self):
        values = RecentValues(10)
        for _ in range(MIN_VALUES - 1):
            values.note("p", 1.0)
        self.assertIsNone(values.quantile("p", 0.5))
        values.note("p", 1.0)
        self.assertEqual(values.quantile("p", 0.5), 1.0)
        self.assertIsNone(values.quantile("other", 0.5))
