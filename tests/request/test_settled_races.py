"""Races between two attempts of the stand-alone edition, as they are settled."""

import unittest
from unittest import mock

from boragedeck.connection.engine import EngineChunk
from boragedeck.process.timers import ManualTimers
from boragedeck.request.answer import Answer, Epoch
from boragedeck.request.attempt import Attempt
from boragedeck.request.generation import Generation


class SettledRaceTest(unittest.TestCase):
    """The loser's end switches; the generation starts another standby meanwhile."""

    def setUp(self):
        spec = mock.Mock(stream=False)
        self.answer = Answer(mock.Mock(), spec, "v1", [Epoch(1, 1, 0)])
        parts = mock.Mock(timers=ManualTimers())
        self.generation = Generation(self.answer, parts)
        self.first, self.loser = self.attempt(), self.attempt()
        self.loser.stop = lambda outcome: self.start_standby()
        self.generation._attempts = [self.first, self.loser]

    def attempt(self):
        """Return an attempt that begins where the answer ends now."""
        accept, end = self.generation._accept_chunk, self.answer.end
        attempt = Attempt(
            None, None, None, mock.Mock(), end, accept=accept, ended=None, acquired=None
        )
        attempt.slot = mock.Mock()
        return attempt

    def start_standby(self):
        self.standby = self.attempt()
        self.generation._attempts.append(self.standby)

    def send(self, attempt, text):
        attempt._handle_chunk(EngineChunk((1,), text, None, None))

    def test_standby_runs_without_the_tokens_that_settled_the_race(self):
        self.send(self.first, "a")
        self.assertEqual(self.standby.start, 1)

    def test_answer_joins_the_tokens_of_two_runs(self):
        self.send(self.first, "a")
        self.first.stop = lambda outcome: None
        # The standby's first token follows the caller's last one, or is dropped with
        # all that depend on it.
        for text in "xyz":
            self.send(self.standby, text)
        text = "".join(chunk.text for chunk in self.answer.chunks)
        self.assertIn(text, ("a", "axyz"))
