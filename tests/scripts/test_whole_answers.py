import tempfile
import unittest
from pathlib import Path

from scripts.table_changes import Change
from scripts.whole_answers import Play, Request, WholeAnswers, time_over

SEED = 7
CALLERS = 6, 3
ONCE_ROUTES = "stream", "once"


class WholeAnswersTest(unittest.TestCase):
    def test_stop_and_moved_routes_end_no_answer_during_a_silence(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        check = WholeAnswers(Path(directory.name), SEED, CALLERS)
        self.addCleanup(check.stop)
        counts = check.run(Play(Change.MOVED, 1.0, has_stop=True, has_hup=True))
        self.assertEqual(check.faults, [])
        for route in ONCE_ROUTES:
            self.assertGreater(counts[route, "whole"], 0)


class TimeOverTest(unittest.TestCase):
    def request(self, status):
        return Request(
            "id-1", 0, "stream", True, False, 10.0, 3.0, last_sent=11.2, status=status
        )

    def test_begun_stream_may_be_cut_before_the_time_that_counts_from_its_last_byte(
        self,
    ):
        for status in (0, 200):
            self.assertAlmostEqual(time_over(self.request(status)), 14.2)

    def test_final_answer_of_a_router_counts_as_a_fault_though_it_is_due(self):
        self.assertAlmostEqual(time_over(self.request(504)), 12.9)

    def test_lowered_timeout_of_a_route_counts_from_the_first_byte(self):
        self.assertAlmostEqual(time_over(self.request(200), 2.5), 13.7)
        self.assertAlmostEqual(time_over(self.request(502), 2.5), 12.4)
