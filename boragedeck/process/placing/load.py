"""Load estimate of one upstream: its last report plus the changes since."""

from collections import deque

import msgspec

from boragedeck.ids import RouterId

__all__ = ["LoadEstimate", "LoadReport"]

MAX_CHANGES = 512
MAX_REPORT_AGE_S = 30.0


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of an upstream as reported by the upstream.

    Parameters
    ----------
    running : int
        Requests in the running batch.
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
        """Number of all requests at the upstream."""
        return self.running + self.waiting


class _Change(msgspec.Struct, frozen=True):
    at: float
    count: int


class LoadEstimate:
    """Estimated number of requests at one upstream.

    Attributes
    ----------
    own_in_flight : int
        Requests of this router that are in flight at the upstream.
    report : LoadReport or None
        The newest report.
    prefill_tokens : float
        Tokens to prefill for this router's requests that have no output yet.

    Notes
    -----
    The report is corrected by this router's requests started and ended since it was
    measured, and by the net change in its peers' requests. Without a report younger
    than `MAX_REPORT_AGE_S`, the estimate is the number of requests that this router
    and its peers have in flight. State: at most `MAX_CHANGES` changes of each kind
    and one number for each peer that has requests at the upstream.
    """

    def __init__(self):
        self.own_in_flight = 0
        self.prefill_tokens = 0.0
        self.report: LoadReport | None = None
        self._report_measured_at = float("-inf")
        self._own_in_flight_at_report = 0
        self._own_changes: deque[_Change] = deque(maxlen=MAX_CHANGES)
        self._peer_counts: dict[RouterId, int] = {}
        self._peer_changes: deque[_Change] = deque(maxlen=MAX_CHANGES)

    def record_start(self, now: float) -> None:
        """Record that this router sent a request."""
        self.own_in_flight += 1
        self._own_changes.append(_Change(now, 1))

    def record_end(self, now: float) -> None:
        """Record that a request of this router has ended."""
        self.own_in_flight -= 1
        self._own_changes.append(_Change(now, -1))

    def set_peer_counts(self, in_flight: dict[RouterId, int], now: float) -> None:
        """Set each peer's last reported number of requests at the upstream."""
        change = sum(in_flight.values()) - sum(self._peer_counts.values())
        if change:
            self._peer_changes.append(_Change(now, change))
        self._peer_counts = in_flight

    def apply_report(self, report: LoadReport, measured_at: float) -> bool:
        """Apply a report unless a newer one is known.

        Parameters
        ----------
        report : LoadReport
            The upstream's report.
        measured_at : float
            Time of the measurement, in monotonic seconds of this process.

        Returns
        -------
        bool
            Whether the report is the newest.
        """
        if measured_at <= self._report_measured_at:
            return False
        self.report = report
        self._report_measured_at = measured_at
        self._own_in_flight_at_report = self.own_in_flight - _sum_since(
            self._own_changes, measured_at
        )
        return True

    def total(self, now: float) -> int:
        """Return the estimated number of requests at the upstream."""
        report = self._recent_report(now)
        if report is None:
            return self.own_in_flight + sum(self._peer_counts.values())
        own = _sum_since(self._own_changes, self._report_measured_at)
        peers = _sum_since(self._peer_changes, self._report_measured_at)
        return max(self.own_in_flight, report.total + own + peers)

    def own_growth(self, now: float) -> int | None:
        """Return this router's net new requests since the report; None without one."""
        if self._recent_report(now) is None:
            return None
        return self.own_in_flight - self._own_in_flight_at_report

    def queued(self, limit: float, now: float) -> float:
        """Return the estimated number of requests queued at the upstream.

        Parameters
        ----------
        limit : float
            Number of requests that the upstream runs concurrently.
        now : float
            Monotonic time in seconds.
        """
        report = self._recent_report(now)
        total = self.total(now)
        if report is None or report.waiting == 0:
            return max(0.0, total - limit)
        return float(max(0, total - report.running))

    def clear(self) -> None:
        """Discard the report and the peers' counts because the upstream restarted."""
        self.report = None
        self._report_measured_at = float("-inf")
        self._peer_counts = {}
        self._peer_changes.clear()

    def _recent_report(self, now: float) -> LoadReport | None:
        return (
            self.report if now - self._report_measured_at <= MAX_REPORT_AGE_S else None
        )


def _sum_since(changes: deque[_Change], since: float) -> int:
    total = 0
    for change in reversed(changes):
        if change.at <= since:
            break
        total += change.count
    return total
