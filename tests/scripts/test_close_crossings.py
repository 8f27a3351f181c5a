import tempfile
import unittest
from collections import Counter
from pathlib import Path

from scripts.close_crossings import BODY_BYTES, CloseCrossings, Crossing
from scripts.scarce_answers import ScarceAnswers
from scripts.scarce_plays import PLAYS

SEED = 1


class CloseCrossingsTest(unittest.TestCase):
    def test_bodies_of_all_sizes_cross_the_close_without_a_loss(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        check = ScarceAnswers(Path(directory.name), SEED, PLAYS["room"])
        self.addCleanup(check.stop)
        crossings = CloseCrossings(check, SEED, draws=1)
        crossings.run()
        counts = Counter()
        for (crossing, _, end), count in crossings.ends.items():
            self.assertFalse(end.isupper(), crossings.lines)
            counts[crossing] += count
        for crossing in Crossing:
            self.assertGreaterEqual(counts[crossing.value], len(BODY_BYTES))
