"""Output of all streams of one upstream, to tell a lost stream from a slow engine."""

from collections import OrderedDict

__all__ = ["Pulse", "Pulses"]

MAX_PULSES = 4096
SLOWNESS_GAIN = 0.1
MAX_SLOWNESS = 20.0
RECENT_S = 10.0


class Pulse:
    """Progress of one upstream's streams in this router.

    Notes
    -----
    State: the latest output, the latest one of another stream, and how slow streams
    lately were against their own history.
    """

    def __init__(self):
        self._latest: tuple[int, float] | None = None
        self._other: tuple[int, float] | None = None
        self._slowness = 1.0

    def note(self, stream: int, now: float, slowness: float) -> None:
        """Note a stream's output.

        Parameters
        ----------
        stream : int
            Identifies the stream.
        now : float
            Monotonic time in seconds.
        slowness : float
            The gap before this output over the stream's mean gap.
        """
        if self._latest is not None and self._latest[0] != stream:
            self._other = self._latest
        self._latest = (stream, now)
        error = min(MAX_SLOWNESS, slowness) - self._slowness
        self._slowness += SLOWNESS_GAIN * error

    def others_at(self, stream: int, now: float) -> float | None:
        """Return when another stream sent last; None where none did lately."""
        for output in (self._latest, self._other):
            if output is not None and output[0] != stream:
                return output[1] if now - output[1] <= RECENT_S else None
        return None

    def slowness(self) -> float:
        """Return how much longer gaps lately were than usual; at least 1."""
        return max(1.0, self._slowness)


class Pulses:
    """The pulses of the upstreams, by URL; at most `MAX_PULSES`."""

    def __init__(self):
        self._pulses: OrderedDict[str, Pulse] = OrderedDict()

    def of(self, url: str) -> Pulse:
        """Return the pulse of an upstream."""
        pulse = self._pulses.setdefault(url, Pulse())
        self._pulses.move_to_end(url)
        if len(self._pulses) > MAX_PULSES:
            self._pulses.popitem(last=False)
        return pulse
