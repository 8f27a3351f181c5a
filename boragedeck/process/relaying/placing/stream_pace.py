"""Estimates how long streams take at their engines, from those that were served.

Handles a power loss after which all callers whose streams were lost return at the same
moment, most of them with less time left than their answers need. Each prompt that is
read for one of them delays streams that could be completed in time.
"""

from boragedeck.ids import PoolName
from boragedeck.process.relaying.recent_values import RecentValues

__all__ = ["StreamTimeEstimator"]

MAX_VALUES = 48
"""Number of the newest streams of a pool that are used for estimates."""
DEFAULT_OUTPUT_TOKEN_COST = 32.0
"""Prompt tokens that are read in the time of an output token, until it is measured. An
engine reads a prompt in large parts, and produces the tokens of a stream one by one."""
FAST_QUANTILE = 0.25
"""Quantile of the observed times on which estimates are based."""


class StreamTimeEstimator:
    """Estimates the minimum time that a stream needs."""

    def __init__(self):
        self._read_s_per_token = RecentValues(MAX_VALUES)
        self._s_per_event = RecentValues(MAX_VALUES)
        self._events_per_token = RecentValues(MAX_VALUES)

    def note_prompt_read(
        self, pool: PoolName, prompt_tokens: int, took_s: float
    ) -> None:
        """Record the time to read a prompt, including the wait at its engine."""
        if prompt_tokens > 0:
            self._read_s_per_token.note(pool, took_s / prompt_tokens)

    def note_complete_stream(
        self, pool: PoolName, events: int, expected_tokens: int, took_s: float
    ) -> None:
        """Record a stream that was complete.

        Parameters
        ----------
        pool : PoolName
            The stream's pool.
        events : int
            Number of events of the stream.
        expected_tokens : int
            Number of output tokens that were expected.
        took_s : float
            Time from the first event to the last, in seconds.
        """
        if events > 1 and expected_tokens > 0:
            self._s_per_event.note(pool, took_s / (events - 1))
            self._events_per_token.note(pool, events / expected_tokens)

    def output_token_cost(self, pool: PoolName) -> float:
        """Return how many prompt tokens are read in the time of one output token."""
        read_s = self._read_s_per_token.quantile(pool, FAST_QUANTILE)
        event_s = self._s_per_event.quantile(pool, FAST_QUANTILE)
        events = self._events_per_token.quantile(pool, FAST_QUANTILE)
        if not read_s or event_s is None or events is None:
            return DEFAULT_OUTPUT_TOKEN_COST
        return event_s * events / read_s

    def read_s(self, pool: PoolName, prompt_tokens: int) -> float:
        """Return the time to read a prompt, as a lower estimate, in seconds.

        Parameters
        ----------
        pool : PoolName
            The stream's pool.
        prompt_tokens : int
            Number of prompt tokens.

        Returns
        -------
        float
            The time; 0.0 if too few prompts were read for an estimate.
        """
        read_s = self._read_s_per_token.quantile(pool, FAST_QUANTILE)
        return 0.0 if read_s is None else read_s * prompt_tokens

    def min_duration_s(
        self, pool: PoolName, prompt_tokens: int, expected_tokens: int, position: int
    ) -> float:
        """Return the time that a fast stream needs, as a lower estimate.

        Parameters
        ----------
        pool : PoolName
            The stream's pool.
        prompt_tokens : int
            Number of prompt tokens.
        expected_tokens : int
            Expected number of tokens of the whole answer.
        position : int
            Number of events that the caller has already received.

        Returns
        -------
        float
            The time in seconds; 0.0 if too few streams were served for an estimate.
        """
        read_s = self._read_s_per_token.quantile(pool, FAST_QUANTILE)
        event_s = self._s_per_event.quantile(pool, FAST_QUANTILE)
        events = self._events_per_token.quantile(pool, FAST_QUANTILE)
        if read_s is None or event_s is None or events is None:
            return 0.0
        left = max(0.0, events * expected_tokens - position)
        return read_s * prompt_tokens + event_s * left
