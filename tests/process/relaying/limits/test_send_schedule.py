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


class ReturnedTurnTest(unittest.TestCase):
    PER_S = 2.0

    def schedule(self, turns):
        """Return a schedule at 0.0 whose turns at 0.5, 1.0 and so on are taken."""
        schedule = SendSchedule(0.0)
        for _ in range(turns + 1):
            schedule.take(self.PER_S, 0.0)
        return schedule

    def test_turn_of_a_request_that_has_ended_is_spent(self):
        schedule = self.schedule(4)
        schedule.give_back(1.0, 0.1)
        schedule.give_back(0.5, 0.1)
        waits = []
        for _ in range(3):
            waits.append(round(0.1 + schedule.wait_s(0.1), 3))
            schedule.take(self.PER_S, 0.1)
        self.assertEqual(waits, [0.5, 1.0, 2.5])

    def test_turn_that_is_over_is_used(self):
        schedule = self.schedule(4)
        schedule.give_back(0.5, 0.1)
        self.assertEqual(schedule.wait_s(0.6), 1.9)
        schedule.give_back(0.5, 0.6)
        self.assertEqual(schedule.wait_s(0.6), 1.9)

    def test_turn_that_this_schedule_has_not_granted_is_used(self):
        schedule = self.schedule(0)
        schedule.give_back(3.0, 0.1)
        self.assertEqual(schedule.wait_s(0.1), 0.4)
        schedule.take(self.PER_S, 0.1)
        self.assertEqual(schedule.wait_s(0.1), 0.9)

    def test_rate_is_exceeded_or_not_used_if_many_turns_are_returned(self):
        rng = random.Random(1)
        for _ in range(50):
            per_s = rng.uniform(0.5, 50.0)
            schedule, now, turns = SendSchedule(0.0), 0.0, []
            while now < 20.0:
                now += rng.expovariate(2.0 * per_s)
                turn = now + schedule.wait_s(now)
                if turn - now < 2.0:
                    schedule.take(per_s, now)
                    turns.append(turn)
                if turns and rng.random() < 0.3 and turns[-1] > now:
                    schedule.give_back(turns.pop(), now)
            turns.sort()
            count = sum(turn < 20.0 for turn in turns)
            self.assertLessEqual(count, 20.0 * per_s + 1)
            self.assertGreaterEqual(count, 0.9 * 20.0 * per_s - 2)
            for first, last in zip(turns, turns[5:], strict=False):
                sent = per_s * (last - first + BURST_S) + 1.0
                self.assertLessEqual(5, sent)
