"""Reports of green threads to another one, each of which stays until it is handled."""

from collections import deque
from typing import Generic, TypeVar

from eventlet.event import Event

__all__ = ["ReportQueue"]

T = TypeVar("T")


class ReportQueue(Generic[T]):
    """A bounded queue whose reader removes a report only after it has handled it.

    Parameters
    ----------
    max_unread : int
        Number of reports from which on a writer waits.

    Notes
    -----
    The reader may be ended from outside wherever it waits, also in the middle of a
    report. What it hasn't handled is still here then.
    """

    def __init__(self, max_unread: int):
        self._max_unread = max_unread
        self._reports: deque[T] = deque()
        self._is_closed = False
        # Sent at the next change, and then replaced.
        self._changed = Event()

    def __len__(self) -> int:
        return len(self._reports)

    def put(self, report: T) -> None:
        """Add a report; wait while there are too many. A closed queue drops it."""
        while len(self._reports) >= self._max_unread and not self._is_closed:
            self._changed.wait()
        if not self._is_closed:
            self._reports.append(report)
            self._notify()

    def first(self) -> T:
        """Wait for a report and return the first one, which stays in the queue."""
        while not self._reports:
            self._changed.wait()
        return self._reports[0]

    def remove_first(self) -> None:
        """Remove the first report, which has been handled."""
        self._reports.popleft()
        self._notify()

    def take_all(self) -> list[T]:
        """Remove and return all reports."""
        reports = list(self._reports)
        self._reports.clear()
        self._notify()
        return reports

    def close(self) -> None:
        """Let no writer wait any more; `take_all` still returns what is here."""
        self._is_closed = True
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.send()
