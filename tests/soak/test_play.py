import tempfile
import unittest
from pathlib import Path

from soak.play import play

SEED = 7
SECONDS = 6.0


class PlayTest(unittest.TestCase):
    def test_rules_are_broken_by_overlapping_disruptions(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        outcome = play(SEED, SECONDS, Path(directory.name))
        self.assertEqual(outcome.violations, [])
        self.assertGreater(outcome.counts()["200"], 0)
        self.assertGreater(sum(outcome.disruptions.values()), 0)
