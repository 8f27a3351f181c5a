"""Output of all streams of one upstream, to tell a lost stream from a slow engine."""

from collections import OrderedDict

__all__ = ["UpstreamActivity", "UpstreamActivityTable"]

MAX_UPSTREAMS = 4096
SLOWNESS_EWMA_WEIGHT = 0.1
MAX_SLOWNESS = 20.0
RECENT_OUTPUT_S = 10.0


class UpstreamActivity:
    """Progress of one upstream's streams in this router.

    Notes
    -----
    State: the latest output, the latest one of another stream, and how slow streams
    lately were against their own history.
    """

    def __init__(self):
        self._latest_output: tuple[int, float] | None = None
        self._latest_other_output: tuple[int, float] | None = None
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
        if self._latest_output is not None and self._latest_output[0] != stream:
            self._latest_other_output = self._latest_output
        self._latest_output = (stream, now)
        error = min(MAX_SLOWNESS, slowness) - self._slowness
        self._slowness += SLOWNESS_EWMA_WEIGHT * error

    def others_at(self, stream: int, now: float) -> float | None:
        """Return when another stream sent last; None where none did lately."""
        for output in (self._latest_output, self._latest_other_output):
            if output is not None and output[0] != stream:
                return output[1] if now - output[1] <= RECENT_OUTPUT_S else None
        return None

    def slowness(self) -> float:
        """Return how much longer gaps lately were than usual; at least 1."""
        return max(1.0, self._slowness)


class UpstreamActivityTable:
    """The pulses of the upstreams, by URL; at most `MAX_UPSTREAMS`."""

    def __init__(self):
        self._activities: OrderedDict[str, UpstreamActivity] = OrderedDict()

    def of(self, url: str) -> UpstreamActivity:
        """Return the pulse of an upstream."""
        activity = self._activities.setdefault(url, UpstreamActivity())
        self._activities.move_to_end(url)
        if len(self._activities) > MAX_UPSTREAMS:
            self._activities.popitem(last=False)
        return activity
