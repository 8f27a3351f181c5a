import random
import time
import unittest

import eventlet

from tests.support.steady_clock import MAX_STEP_S, SteadyTimers

STANDSTILL_S = 0.6
TIMEOUT_S = 0.5

block = eventlet.patcher.original("time").sleep


class SteadyTimersTest(unittest.TestCase):
    def setUp(self):
        self.timers = SteadyTimers(random.Random(1))
        eventlet.sleep(0)

    def test_standstill_is_left_out(self):
        began = self.timers.now()
        block(STANDSTILL_S)
        self.assertLessEqual(self.timers.now() - began, 2 * MAX_STEP_S)

    def test_time_in_which_the_process_computes_counts(self):
        began, used_s = self.timers.now(), time.process_time()
        while time.process_time() - used_s < STANDSTILL_S:
            pass
        self.assertGreaterEqual(self.timers.now() - began, STANDSTILL_S)

    def test_standstill_ends_no_wait(self):
        with eventlet.Timeout(TIMEOUT_S):
            block(STANDSTILL_S)
            eventlet.sleep(0.1)

    def test_waits_count_as_a_whole(self):
        began, real_began = self.timers.now(), time.monotonic()
        eventlet.sleep(TIMEOUT_S)
        self.assertGreaterEqual(self.timers.now() - began, TIMEOUT_S)
        self.assertGreaterEqual(time.monotonic() - real_began, TIMEOUT_S)

    def test_second_service_has_the_same_clock(self):
        block(STANDSTILL_S)
        other = SteadyTimers(random.Random(2))
        self.assertAlmostEqual(other.now(), self.timers.now(), delta=MAX_STEP_S)
