"""How long streams take at their engines, learnt from those that were served.

The load this answers: a loss of power after which all callers whose streams were lost
come back at the same moment, most of them with less time left than their answers need.
Each prompt that is read for one of them delays streams that can be whole in time.
"""

from boragedeck.ids import PoolName
from boragedeck.process.relaying.recent_values import RecentValues

__all__ = ["StreamTimeEstimator"]

MAX_VALUES = 48
"""So many of the newest streams of a pool are remembered."""
FAST_QUANTILE = 0.25
"""The share of streams that do as well as an estimate, or better."""


class StreamTimeEstimator:
    """Estimates the time that a stream needs at the least."""

    def __init__(self):
        self._read_s_per_token = RecentValues(MAX_VALUES)
        self._s_per_event = RecentValues(MAX_VALUES)
        self._events_per_token = RecentValues(MAX_VALUES)

    def note_prompt_read(
        self, pool: PoolName, prompt_tokens: int, took_s: float
    ) -> None:
        """Note how long a prompt took to be read, the wait at its engine included."""
        if prompt_tokens > 0:
            self._read_s_per_token.note(pool, took_s / prompt_tokens)

    def note_complete_stream(
        self, pool: PoolName, events: int, expected_tokens: int, took_s: float
    ) -> None:
        """Note a stream that was whole.

        Parameters
        ----------
        pool : PoolName
            Where it ran.
        events : int
            Its events.
        expected_tokens : int
            Tokens that it was expected to have.
        took_s : float
            From its first event to its last, in seconds.
        """
        if events > 1 and expected_tokens > 0:
            self._s_per_event.note(pool, took_s / (events - 1))
            self._events_per_token.note(pool, events / expected_tokens)

    def min_duration_s(
        self, pool: PoolName, prompt_tokens: int, expected_tokens: int, position: int
    ) -> float:
        """Return the time that a stream needs if all goes well.

        Parameters
        ----------
        pool : PoolName
            Where it would run.
        prompt_tokens : int
            Tokens to read.
        expected_tokens : int
            Tokens of the whole answer, as far as is known.
        position : int
            Events that its caller has already.

        Returns
        -------
        float
            In seconds; 0.0 where too few streams were served to tell.
        """
        read_s = self._read_s_per_token.quantile(pool, FAST_QUANTILE)
        event_s = self._s_per_event.quantile(pool, FAST_QUANTILE)
        events = self._events_per_token.quantile(pool, FAST_QUANTILE)
        if read_s is None or event_s is None or events is None:
            return 0.0
        left = max(0.0, events * expected_tokens - position)
        return read_s * prompt_tokens + event_s * left
