import unittest

from boragedeck.process.placing.concurrency import ConcurrencyLimit
from boragedeck.process.placing.load import LoadReport


class ConcurrencyLimitTest(unittest.TestCase):
    def feed(self, limit, latency_s, *, start, seconds, in_flight=None):
        for step in range(int(seconds * 10)):
            load = limit.value if in_flight is None else in_flight
            limit.observe_latency(latency_s, load, start + step * 0.1)

    def test_falls_while_latency_is_high_and_rises_while_it_is_low(self):
        limit = ConcurrencyLimit()
        self.feed(limit, 0.1, start=0.0, seconds=5.0)
        high = limit.value
        self.feed(limit, 1.0, start=5.0, seconds=10.0)
        low = limit.value
        self.assertLess(low, high / 2)
        self.feed(limit, 0.1, start=15.0, seconds=20.0)
        self.assertGreater(limit.value, low)

    def test_unused_limit_does_not_grow(self):
        limit = ConcurrencyLimit()
        self.feed(limit, 0.1, start=0.0, seconds=60.0, in_flight=2)
        self.assertEqual(limit.value, 12.0)

    def test_grows_fast_until_overload_is_observed(self):
        limit = ConcurrencyLimit()
        for second in range(5):
            limit.observe_report(LoadReport(int(limit.value), 0), float(second))
        self.assertGreater(limit.value, 60.0)
        limit.observe_report(LoadReport(64, 9), 5.0)
        self.assertEqual(limit.value, 65.0)
        limit.observe_report(LoadReport(65, 0), 6.0)
        self.assertEqual(limit.value, 66.0)

    def test_permanent_latency_change_becomes_the_new_base(self):
        limit = ConcurrencyLimit()
        self.feed(limit, 0.1, start=0.0, seconds=5.0)
        self.feed(limit, 0.5, start=5.0, seconds=300.0)
        self.assertGreater(limit.value, 5.0)
