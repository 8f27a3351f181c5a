import unittest

from boragedeck.process.relaying.sliding_window_counter import (
    MIN_KEPT_S,
    SlidingWindowCounter,
)
from boragedeck.process.timers import ManualTimers


class SlidingWindowCounterTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.counter = SlidingWindowCounter(self.timers)

    def note(self, count, interval_s):
        for _ in range(count):
            self.counter.note("p")
            self.timers.advance(interval_s)

    def test_events_that_nobody_counts_are_kept_for_ever(self):
        self.note(1_000, 1.0)
        self.assertLessEqual(len(self.counter._times["p"]), MIN_KEPT_S + 1)

    def test_window_longer_than_what_is_kept_counts_too_few(self):
        window_s = 3 * MIN_KEPT_S
        self.counter.count_within("p", window_s)
        self.note(1_000, 1.0)
        self.assertEqual(self.counter.count_within("p", window_s), window_s)
