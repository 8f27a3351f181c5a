import unittest

from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.relaying.speeds.recent_speeds import (
    MAX_RUNS,
    TTL_S,
    RecentSpeeds,
)
from boragedeck.process.relaying.speeds.speed_messages import RunSpeed


class RecentSpeedsTest(unittest.TestCase):
    def test_speed_counts_until_it_was_not_told_for_too_long(self):
        speeds = RecentSpeeds()
        speeds.note(RunSpeed("e1", 7, 0.5), 10.0)
        speeds.note(RunSpeed("e1", 7, 0.4), 20.0)
        speeds.expire(20.0 + TTL_S)
        self.assertEqual(speeds.get(Run("e1", 7)).speed, 0.4)
        self.assertIsNone(speeds.get(Run("e1", 8)))
        speeds.expire(21.0 + TTL_S)
        self.assertIsNone(speeds.get(Run("e1", 7)))

    def test_number_of_runs_is_bounded(self):
        speeds = RecentSpeeds()
        for number in range(MAX_RUNS + 9):
            speeds.note(RunSpeed(f"e{number}", 7, 0.5), 10.0)
        self.assertEqual(len(speeds.runs()), MAX_RUNS)
