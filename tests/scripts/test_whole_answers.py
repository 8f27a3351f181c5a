import tempfile
import unittest
from pathlib import Path

from scripts.table_changes import Change
from scripts.whole_answers import Play, WholeAnswers

SEED = 7
CALLERS = 6, 3
ONCE_ROUTES = "stream", "once"


class WholeAnswersTest(unittest.TestCase):
    def test_stop_and_moved_routes_end_no_answer_during_a_silence(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        check = WholeAnswers(Path(directory.name), SEED, CALLERS)
        self.addCleanup(check.stop)
        counts = check.run(Play(Change.MOVED, 1.0, has_stop=True))
        self.assertEqual(check.faults, [])
        for route in ONCE_ROUTES:
            self.assertGreater(counts[route, "whole"], 0)
