import unittest

from boragedeck.process.relaying.speeds.sample_outbox import (
    MAX_SAMPLES,
    MAX_WAIT_S,
    SENDS,
    SampleOutbox,
)
from boragedeck.process.relaying.speeds.speed_messages import SpeedSample


def sample(number=1):
    return SpeedSample("r1", number, "e1", 7, 0.5, 1e-4, 0.03)


class SampleOutboxTest(unittest.TestCase):
    def setUp(self):
        self.outbox = SampleOutbox()

    def test_sample_is_sent_several_times_as_messages_may_be_dropped(self):
        self.outbox.add(sample(), 10.0)
        sent = [self.outbox.take(10.0) for _ in range(SENDS + 1)]
        self.assertEqual(list(map(len, sent)), [1] * SENDS + [0])

    def test_age_at_sending_is_told(self):
        self.outbox.add(sample(), 10.0)
        self.assertAlmostEqual(self.outbox.take(12.0)[0].age_s, 2.5)

    def test_old_samples_are_not_sent(self):
        self.outbox.add(sample(), 10.0)
        self.assertEqual(self.outbox.take(10.0 + MAX_WAIT_S + 1.0), ())

    def test_newest_samples_are_kept_if_there_are_too_many(self):
        for number in range(2 * MAX_SAMPLES):
            self.outbox.add(sample(number), 10.0)
        taken = self.outbox.take(10.0)
        self.assertEqual(len(taken), MAX_SAMPLES)
        self.assertEqual(taken[-1].number, 2 * MAX_SAMPLES - 1)
