import random
import unittest

from boragedeck.process.relaying.limits.send_schedule import BURST_S, SendSchedule


class SendScheduleTest(unittest.TestCase):
    def sends(self, per_s, seconds, start=1_000_000.0):
        """Return the times of the sends if requests arrive all the time."""
        schedule, times, now = SendSchedule(start), [], start
        while now < start + seconds:
            if not schedule.wait_s(now):
                schedule.take(per_s, now)
                times.append(now)
            else:
                now += schedule.wait_s(now)
        return times

    def test_rate_is_exceeded_or_not_used(self):
        rng = random.Random(1)
        for _ in range(50):
            per_s = rng.uniform(0.5, 200.0)
            count = len(self.sends(per_s, 20.0))
            self.assertLessEqual(count, 20.0 * per_s + 1)
            self.assertGreaterEqual(count, 20.0 * per_s - 1)

    def test_first_request_waits(self):
        self.assertEqual(SendSchedule(1_000_000.1).wait_s(1_000_000.1), 0.0)

    def test_pause_is_made_up_by_more_than_a_short_burst(self):
        schedule = SendSchedule(0.0)
        burst = 0
        while not schedule.wait_s(60.0):
            schedule.take(10.0, 60.0)
            burst += 1
        self.assertLessEqual(burst, 10.0 * BURST_S + 1)

    def test_new_schedule_starts_with_a_burst(self):
        schedule = SendSchedule(0.0)
        schedule.take(10.0, 0.0)
        self.assertGreater(schedule.wait_s(0.0), 0.0)
