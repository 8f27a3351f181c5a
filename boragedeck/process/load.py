"""Load of one upstream: a lagging report corrected by what was sent since."""

from collections import deque

import msgspec

from boragedeck.ids import RouterId

__all__ = ["LoadEstimate", "LoadReport"]

MAX_CHANGES = 512
MAX_REPORT_AGE_S = 30.0


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream said of its load.

    Parameters
    ----------
    running : int
        Requests in the batch.
    waiting : int
        Requests in the upstream's own queue.
    cache_use : float
        Used share of the prefix cache's memory, between 0 and 1.
    """

    running: int
    waiting: int
    cache_use: float = 0.0

    @property
    def total(self) -> int:
        """All requests at the upstream."""
        return self.running + self.waiting


class _Change(msgspec.Struct, frozen=True):
    at: float
    count: int


class LoadEstimate:
    """Requests at one upstream, as well as this router can know.

    Attributes
    ----------
    own_in_flight : int
        Requests that this router has there.
    report : LoadReport or None
        The newest report.
    prefill_tokens : float
        Tokens of this router's requests there that have no output yet.

    Notes
    -----
    Own sends and completions later than the report's time correct the report, and
    so do peers' net sends. Without a report younger than `MAX_REPORT_AGE_S` the
    estimate is what this router and its peers have in flight. State: at most
    `MAX_CHANGES` changes of each kind and a number for each peer that has requests
    here.
    """

    def __init__(self):
        self.own_in_flight = 0
        self.prefill_tokens = 0.0
        self.report: LoadReport | None = None
        self._report_at = float("-inf")
        self._own_when_reported = 0
        self._own_changes: deque[_Change] = deque(maxlen=MAX_CHANGES)
        self._peer_counts: dict[RouterId, int] = {}
        self._peer_changes: deque[_Change] = deque(maxlen=MAX_CHANGES)

    def record_start(self, now: float) -> None:
        """Note that this router sent a request."""
        self.own_in_flight += 1
        self._own_changes.append(_Change(now, 1))

    def record_end(self, now: float) -> None:
        """Note that a request that this router sent has ended."""
        self.own_in_flight -= 1
        self._own_changes.append(_Change(now, -1))

    def set_peer_counts(self, in_flight: dict[RouterId, int], now: float) -> None:
        """Note what each peer has in flight here, by its last word."""
        change = sum(in_flight.values()) - sum(self._peer_counts.values())
        if change:
            self._peer_changes.append(_Change(now, change))
        self._peer_counts = in_flight

    def apply_report(self, report: LoadReport, measured_at: float) -> bool:
        """Take a report, unless a newer one is known.

        Parameters
        ----------
        report : LoadReport
            What the upstream said.
        measured_at : float
            When it said so, in monotonic seconds of this process.

        Returns
        -------
        bool
            Whether the report is the newest.
        """
        if measured_at <= self._report_at:
            return False
        self.report = report
        self._report_at = measured_at
        self._own_when_reported = self.own_in_flight - _sum_since(
            self._own_changes, measured_at
        )
        return True

    def total(self, now: float) -> int:
        """Return the estimated number of requests at the upstream."""
        report = self._recent_report(now)
        if report is None:
            return self.own_in_flight + sum(self._peer_counts.values())
        own = _sum_since(self._own_changes, self._report_at)
        peers = _sum_since(self._peer_changes, self._report_at)
        return max(self.own_in_flight, report.total + own + peers)

    def own_growth(self, now: float) -> int | None:
        """Return own requests added since the report; None without a report."""
        if self._recent_report(now) is None:
            return None
        return self.own_in_flight - self._own_when_reported

    def queued(self, limit: float, now: float) -> float:
        """Return the estimated number of requests that wait at the upstream.

        Parameters
        ----------
        limit : float
            How many requests the upstream runs at a time.
        now : float
            Monotonic time in seconds.
        """
        report = self._recent_report(now)
        total = self.total(now)
        if report is None or report.waiting == 0:
            return max(0.0, total - limit)
        return float(max(0, total - report.running))

    def clear(self) -> None:
        """Forget the report and peers' sends: the upstream has started anew."""
        self.report = None
        self._report_at = float("-inf")
        self._peer_counts = {}
        self._peer_changes.clear()

    def _recent_report(self, now: float) -> LoadReport | None:
        return self.report if now - self._report_at <= MAX_REPORT_AGE_S else None


def _sum_since(changes: deque[_Change], since: float) -> int:
    total = 0
    for change in reversed(changes):
        if change.at <= since:
            break
        total += change.count
    return total
