import tempfile
import unittest
from collections import Counter
from pathlib import Path

from scripts.scarce_answers import EVENTS, Disturbance, ScarceAnswers, end_of
from scripts.scarce_caller import Habit, Request
from scripts.scarce_plays import PLAYS
from standins.scarce_replica import Run

SEED = 1
CALLERS = 20
STOP_AT_S = 1.0
STOPPED_AT = 100.0


class ScarceAnswersTest(unittest.TestCase):
    def test_what_waits_for_the_memory_of_an_engine_is_answered_at_a_stop(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        check = ScarceAnswers(Path(directory.name), SEED, PLAYS["equal"])
        self.addCleanup(check.stop)
        targets = [check.stopped] * CALLERS
        check.run(Disturbance(), STOP_AT_S, sending_on_s=0.0, targets=targets)
        ends = Counter(
            end_of(req, check.runs(req.name), check.stopped_at)
            for req in check.requests
        )
        self.assertGreater(ends["answered 503"], 0)
        self.assertGreater(ends["whole"], 0)
        self.assertEqual([end for end in ends if end.isupper()], [])
        given_up = set(check.stage_lines().values())
        self.assertEqual(given_up, {"relay: Given up by the stop. waiting"})


class EndOfTest(unittest.TestCase):
    def end(self, *runs, **fields):
        values = {
            "name": "id-1",
            "router": 0,
            "size": "draft",
            "tokens": 8_200,
            "body_bytes": 8_000,
            "is_chunked": False,
            "habit": Habit.PLAIN,
            "caller_s": 25.0,
            "sent": 99.0,
            "last_sent": 99.0,
            "ended": 107.6,
        }
        return end_of(Request(**values | fields), list(runs), STOPPED_AT)

    def test_stream_with_all_events_is_whole(self):
        events = list(range(1, EVENTS + 1))
        self.assertEqual(self.end(status=200, is_complete=True, events=events), "whole")

    def test_complete_answer_without_an_event_is_wrong(self):
        events = list(range(2, EVENTS + 1))
        self.assertEqual(self.end(status=200, is_complete=True, events=events), "WRONG")

    def test_final_answer_is_named_by_its_status(self):
        self.assertEqual(self.end(status=503, is_complete=True), "answered 503")

    def test_request_that_no_replica_ran_is_unanswered(self):
        self.assertEqual(self.end(), "UNANSWERED")

    def test_request_that_waited_at_its_replica_is_unanswered(self):
        self.assertEqual(self.end(Run("id-1", 99.1)), "UNANSWERED")

    def test_stream_that_ended_before_the_last_sixth_is_cut(self):
        run = Run("id-1", 99.1, 99.2, 106.0)
        self.assertEqual(self.end(run, status=200, ended=106.0), "CUT")

    def test_stream_in_the_last_sixth_is_excused_if_it_was_sent_early_enough(self):
        run = Run("id-1", 99.1, 99.2, 107.6)
        self.assertEqual(self.end(run, status=200), "excused")
        late = {"sent": 103.1, "last_sent": 103.1}
        self.assertEqual(self.end(run, status=200, **late), "CUT")

    def test_work_that_begins_after_the_end_of_a_request_does_not_excuse_it(self):
        self.assertEqual(self.end(Run("id-1", 99.1, 107.7, 108.5)), "UNANSWERED")

    def test_request_that_crosses_the_close_is_not_counted(self):
        self.assertEqual(self.end(last_sent=0.0), "crossed")
        self.assertEqual(self.end(ended=99.1), "crossed")

    def test_request_that_reached_a_replica_does_not_cross_the_close(self):
        self.assertEqual(self.end(Run("id-1", 99.05), ended=99.1), "UNANSWERED")

    def test_answer_that_ends_with_the_time_of_its_caller_is_not_counted(self):
        self.assertEqual(self.end(ended=124.0), "excused")
        self.assertEqual(self.end(ended=123.99), "UNANSWERED")

    def test_answer_that_the_replica_broke_off_is_not_counted(self):
        run = Run("id-1", 99.1, 99.2, 101.0, broke_off=True)
        self.assertEqual(self.end(run, status=200, ended=101.0), "excused")
