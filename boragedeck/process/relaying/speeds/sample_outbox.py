"""Samples that are to be sent to other routers."""

from collections import deque

import msgspec

from boragedeck.process.relaying.speeds.speed_messages import SpeedSample

__all__ = ["SampleOutbox"]

SENDS = 3
"""How often a sample is sent: messages are dropped while another is under way, and the
receiver counts a sample once."""
MAX_SAMPLES = 256
MAX_WAIT_S = 5.0
"""How long a sample may wait to be sent."""


class _Unsent(msgspec.Struct):
    """A sample, when it arrived, and how often it is still to be sent."""

    sample: SpeedSample
    at: float
    sends_left: int = SENDS


class SampleOutbox:
    """Keeps samples until each was sent `SENDS` times, or is old."""

    def __init__(self) -> None:
        self._unsent: deque[_Unsent] = deque(maxlen=MAX_SAMPLES)

    def add(self, sample: SpeedSample, now: float) -> None:
        """Add a sample, in place of the oldest if there are too many."""
        while self._unsent and now - self._unsent[0].at > MAX_WAIT_S:
            self._unsent.popleft()
        self._unsent.append(_Unsent(sample, now))

    def take(self, now: float) -> tuple[SpeedSample, ...]:
        """Return the samples to send now, with their present ages."""
        due = [each for each in self._unsent if now - each.at <= MAX_WAIT_S]
        for each in due:
            each.sends_left -= 1
        kept = [each for each in due if each.sends_left > 0]
        self._unsent = deque(kept, maxlen=MAX_SAMPLES)
        return tuple(_aged(each, now) for each in due)


def _aged(unsent: _Unsent, now: float) -> SpeedSample:
    sample = unsent.sample
    return msgspec.structs.replace(sample, age_s=sample.age_s + now - unsent.at)
