"""Measures one stream, to learn how fast its replica is.

Handles engines that read prompts of thousands of tokens in parts, between the tokens of
other streams, engines that pause, callers that read slowly, and routers that are short
of processor time, so that events arrive together.
"""

from boragedeck.process.relaying.speeds.speed_messages import StreamTimes

__all__ = ["StreamSampler"]

WINDOW_EVENTS = 8
"""Number of events over which a gap is averaged."""
WINDOWS = 4
"""Number of windows after which a stream is long enough."""
WINDOW_RANK = 1
"""Which of the windows counts, from the shortest on: the shortest may hold events that
were held up before it, and the longest ones prompts of others or a pause."""
MIN_PROMPT_TOKENS = 1_000
"""Below this, the time to the first event is mostly overhead."""
MAX_BLOCKED_S = 0.05
"""How long a stream may wait for its caller before it says nothing of its replica."""


class StreamSampler:
    """Takes one sample of a stream, soon after its first events.

    Parameters
    ----------
    prompt_tokens : int
        Number of prompt tokens of the stream.
    work_tokens : float
        Prompt tokens that the replica has to read until the first event, with those of
        the stream itself.
    since : float
        When the stream got its place at the replica, in seconds.
    """

    def __init__(self, prompt_tokens: int, work_tokens: float, since: float):
        self._work_tokens = max(work_tokens, float(prompt_tokens))
        self._since = since
        self._is_over = prompt_tokens < MIN_PROMPT_TOKENS
        self._first_s: float | None = None
        self._window_start = 0.0
        self._window_events = 0
        self._window_gaps_s: list[float] = []

    def discard(self) -> None:
        """Take no sample of this stream."""
        self._is_over = True

    def note_blocked(self, blocked_s: float) -> None:
        """Record how long the stream waited for its caller, in seconds."""
        if blocked_s > MAX_BLOCKED_S:
            self.discard()

    def note_events(self, events: int, now: float) -> StreamTimes | None:
        """Record that events arrived; return the sample if it is complete now.

        Parameters
        ----------
        events : int
            The number of events.
        now : float
            The current time in seconds.
        """
        if self._is_over:
            return None
        if self._first_s is None:
            self._first_s = now - self._since
            self._window_start = now
            return None
        self._window_events += events
        if self._window_events >= WINDOW_EVENTS:
            self._end_window(now)
        return self._complete() if len(self._window_gaps_s) >= WINDOWS else None

    def _end_window(self, now: float) -> None:
        gap_s = (now - self._window_start) / self._window_events
        self._window_gaps_s.append(gap_s)
        self._window_start, self._window_events = now, 0

    def _complete(self) -> StreamTimes | None:
        self._is_over = True
        event_s = sorted(self._window_gaps_s)[WINDOW_RANK]
        if event_s <= 0.0 or self._first_s <= 0.0:
            return None
        return StreamTimes(self._first_s / self._work_tokens, event_s)
