import unittest
from unittest import mock

import eventlet

from boragedeck.process.relaying import draining
from boragedeck.process.relaying.draining import (
    GRACE_MARGIN_S,
    LATE_MARGIN_S,
    LEAVE_PERIOD_S,
    MAX_LOGGED_IDS,
    DrainPeriod,
)
from boragedeck.process.timers import ManualTimers

GRACE_S = 8.0
STEP_S = 0.05


class Edge:
    def __init__(self, active):
        self.active = active
        self.is_leaving = False
        self.calls = []

    def stop_accepting(self):
        self.calls.append("stop accepting")

    def close_idle(self):
        self.calls.append("close idle")

    def active_requests(self):
        return self.active

    def unanswered_requests(self):
        return self.active

    def refuse_incomplete(self):
        self.calls.append("refuse incomplete")

    def unanswered_ids(self, most):
        return [f"id-{number}" for number in range(self.active)][:most]


class Requests:
    def __init__(self):
        self.calls = []
        # How long before the end the final answers were given.
        self.left_s = None

    def counts(self):
        return {"waiting": 1}

    def end_outlasting(self, left_s):
        self.calls.append("end outlasting")

    def end_unbegun(self, left_s):
        self.calls.append("end unbegun")
        self.left_s = left_s

    def log_unanswered(self):
        self.calls.append("log unanswered")


class DrainPeriodTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.period = DrainPeriod(self.timers, lambda: GRACE_S)
        self.edge = Edge(active=1)
        self.requests = Requests()

    def drain(self):
        self.thread = eventlet.spawn(self.period.run, [self.edge], self.requests)
        eventlet.sleep(0)

    def run_for(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.timers.advance(STEP_S)
            eventlet.sleep(0)

    def test_time_is_unlimited_before_the_stop(self):
        self.assertFalse(self.period.is_begun())
        self.assertEqual(self.period.time_left(), float("inf"))

    def test_callers_are_accepted_until_the_platform_knows(self):
        self.drain()
        self.assertTrue(self.period.is_begun() and self.edge.is_leaving)
        self.run_for(LEAVE_PERIOD_S - 0.1)
        self.assertEqual(self.edge.calls, [])
        self.run_for(0.2)
        self.assertEqual(self.edge.calls, ["stop accepting", "close idle"])

    def test_request_that_arrives_when_the_leave_period_ends_is_late(self):
        self.assertFalse(self.period.is_late())
        self.drain()
        self.run_for(LEAVE_PERIOD_S - LATE_MARGIN_S - 0.1)
        self.assertFalse(self.period.is_late())
        self.run_for(0.2)
        self.assertEqual(self.edge.calls, [])
        self.assertTrue(self.period.is_late())

    def test_stop_ends_when_all_requests_are_answered(self):
        self.drain()
        self.run_for(LEAVE_PERIOD_S + 1.0)
        self.assertFalse(self.thread.dead)
        self.edge.active = 0
        self.run_for(0.2)
        self.assertTrue(self.thread.dead)

    def test_stop_ends_within_its_time_though_a_request_is_open(self):
        self.drain()
        self.run_for(GRACE_S - GRACE_MARGIN_S - 0.2)
        self.assertFalse(self.thread.dead)
        self.run_for(0.4)
        self.assertTrue(self.thread.dead)

    def test_requests_that_the_stop_leaves_unanswered_are_not_named(self):
        for active, named in ((0, 0), (2, 2), (100, MAX_LOGGED_IDS)):
            with self.subTest(active=active):
                self.period = DrainPeriod(self.timers, lambda: GRACE_S)
                self.edge = Edge(active)
                with mock.patch.object(draining._log, "write") as write:
                    self.drain()
                    self.run_for(GRACE_S)
                begin, end = write.call_args_list
                self.assertEqual(begin.args, ("Stop begins.",))
                self.assertEqual(begin.kwargs["waiting"], 1)
                self.assertEqual(self.requests.calls[-1:], ["log unanswered"])
                self.assertEqual(end.args, ("Drained.",))
                fields = end.kwargs
                self.assertEqual(fields["unanswered"], active)
                self.assertEqual(len(fields["requests"]), named)

    def test_short_grace_ends_answers_before_its_last_sixth(self):
        for grace_s in (1.0, 1.2, 2.0, 4.0, 8.0):
            with self.subTest(grace_s=grace_s):
                self.edge = Edge(active=1)
                self.period = DrainPeriod(self.timers, lambda s=grace_s: s)
                self.drain()
                self.run_for(grace_s * 5 / 6)
                self.assertFalse(self.thread.dead)
                self.assertEqual(self.edge.calls, ["stop accepting", "close idle"])
                self.run_for(grace_s / 6)
                self.assertTrue(self.thread.dead)

    def test_process_that_stood_still_ends_before_its_last_answers_are_out(self):
        self.drain()
        self.timers._now += GRACE_S
        self.run_for(0.1)
        self.assertIn("end unbegun", self.requests.calls)
        self.assertFalse(self.thread.dead)
        self.edge.active = 0
        self.run_for(0.1)
        self.assertTrue(self.thread.dead)

    def test_process_that_stood_still_uses_the_whole_margin(self):
        self.drain()
        self.timers._now += GRACE_S - GRACE_MARGIN_S
        self.run_for(0.5 * GRACE_MARGIN_S + 0.2)
        self.assertTrue(self.thread.dead)

    def test_settings_that_change_during_the_stop_move_its_end(self):
        grace_s = GRACE_S
        self.period = DrainPeriod(self.timers, lambda: grace_s)
        self.drain()
        left_s = self.period.time_left()
        grace_s = 0.1 * GRACE_S
        self.assertEqual(self.period.time_left(), left_s)
        self.run_for(GRACE_S - GRACE_MARGIN_S - 0.2)
        self.assertFalse(self.thread.dead)

    def test_final_answers_have_time_to_be_sent_in_a_short_stop(self):
        for grace_s in (0.6, 1.0, 1.2, 2.0, 8.0):
            with self.subTest(grace_s=grace_s):
                self.period = DrainPeriod(self.timers, lambda s=grace_s: s)
                self.edge, self.requests = Edge(active=1), Requests()
                self.drain()
                while self.requests.left_s is None:
                    self.timers.advance(0.001)
                self.thread.kill()
                self.assertGreater(self.requests.left_s, grace_s / 48)
