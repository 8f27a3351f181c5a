"""How long streams take at their engines, learnt from those that were served.

The load this answers: a loss of power after which all callers whose streams were lost
come back at the same moment, most of them with less time left than their answers need.
Each prompt that is read for one of them delays streams that can be whole in time.
"""

from boragedeck.ids import PoolName
from boragedeck.process.relaying.recent_values import RecentValues

__all__ = ["StreamPace"]

KEPT = 48
"""So many of the newest streams of a pool are remembered."""
SOON_SHARE = 0.25
"""The share of streams that do as well as an estimate, or better."""


class StreamPace:
    """Estimates the time that a stream needs at the least."""

    def __init__(self):
        self._read_s = RecentValues(KEPT)
        self._event_s = RecentValues(KEPT)
        self._events = RecentValues(KEPT)

    def note_first(self, pool: PoolName, prompt_tokens: int, took_s: float) -> None:
        """Note how long a prompt took to be read, the wait at its engine included."""
        if prompt_tokens > 0:
            self._read_s.note(pool, took_s / prompt_tokens)

    def note_whole(
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
            self._event_s.note(pool, took_s / (events - 1))
            self._events.note(pool, events / expected_tokens)

    def least_s(
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
        read_s = self._read_s.quantile(pool, SOON_SHARE)
        event_s = self._event_s.quantile(pool, SOON_SHARE)
        events = self._events.quantile(pool, SOON_SHARE)
        if read_s is None or event_s is None or events is None:
            return 0.0
        left = max(0.0, events * expected_tokens - position)
        return read_s * prompt_tokens + event_s * left
