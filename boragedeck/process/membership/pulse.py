"""Output of an upstream's streams, to tell a lost stream from a slow engine."""

from collections import OrderedDict

__all__ = ["UpstreamActivity", "UpstreamActivityTable"]

MAX_UPSTREAMS = 4096
SLOWNESS_EWMA_WEIGHT = 0.1
MAX_SLOWNESS = 20.0
RECENT_OUTPUT_S = 10.0


class UpstreamActivity:
    """Recent output of one upstream's streams in this router.

    Notes
    -----
    State: the latest output, the latest output of another stream, and the recent
    slowness of streams relative to their own mean.
    """

    def __init__(self):
        self._latest_output: tuple[int, float] | None = None
        self._latest_other_output: tuple[int, float] | None = None
        self._slowness = 1.0

    def record_output(self, stream: int, now: float, slowness: float) -> None:
        """Record a stream's output.

        Parameters
        ----------
        stream : int
            Identifies the stream.
        now : float
            Monotonic time in seconds.
        slowness : float
            Ratio of the gap before this output to the stream's mean gap.
        """
        if self._latest_output is not None and self._latest_output[0] != stream:
            self._latest_other_output = self._latest_output
        self._latest_output = (stream, now)
        error = min(MAX_SLOWNESS, slowness) - self._slowness
        self._slowness += SLOWNESS_EWMA_WEIGHT * error

    def other_output_at(self, stream: int, now: float) -> float | None:
        """Return the time of another stream's latest output; None if not recent."""
        for output in (self._latest_output, self._latest_other_output):
            if output is not None and output[0] != stream:
                return output[1] if now - output[1] <= RECENT_OUTPUT_S else None
        return None

    def slowness(self) -> float:
        """Return the ratio of recent gaps to usual gaps; at least 1."""
        return max(1.0, self._slowness)


class UpstreamActivityTable:
    """Activity of the upstreams by URL, for at most `MAX_UPSTREAMS` of them."""

    def __init__(self):
        self._activities: OrderedDict[str, UpstreamActivity] = OrderedDict()

    def of(self, url: str) -> UpstreamActivity:
        """Return the activity of an upstream."""
        activity = self._activities.setdefault(url, UpstreamActivity())
        self._activities.move_to_end(url)
        if len(self._activities) > MAX_UPSTREAMS:
            self._activities.popitem(last=False)
        return activity
