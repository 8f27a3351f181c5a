"""Reports of green threads to another one, each of which stays until it is handled."""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from eventlet.event import Event

__all__ = ["ReportQueue"]

T = TypeVar("T")


class ReportQueue(Generic[T]):
    """A bounded queue whose reader removes a report only after it has handled it.

    Parameters
    ----------
    max_bytes : int
        Size of all reports beyond which a writer waits. A single report may be larger.
    size_of : callable
        Returns the size of a report in bytes. A report without a size never waits.
    join : callable
        Returns one report in place of two that follow each other, or None.
    on_full : callable, optional
        Called when a writer has to wait for the first time.

    Notes
    -----
    The reader may be ended from outside wherever it waits, also in the middle of a
    report. What it hasn't handled is still here then. The first report is never
    joined with another one, since the reader may be handling it.
    """

    def __init__(
        self,
        max_bytes: int,
        size_of: Callable[[T], int],
        join: Callable[[T, T], T | None],
        on_full: Callable[[], None] = lambda: None,
    ):
        self._max_bytes = max_bytes
        self._size_of = size_of
        self._join = join
        self._reports: deque[T] = deque()
        self._on_full = on_full
        self._was_full = False
        self._unread_bytes = 0
        self._is_closed = False
        # Sent at the next change, and then replaced.
        self._changed = Event()

    def __len__(self) -> int:
        return len(self._reports)

    @property
    def unread_bytes(self) -> int:
        """Size of the reports that haven't been handled, in bytes."""
        return self._unread_bytes

    def put(self, report: T) -> None:
        """Add a report; wait while there is no room. A closed queue drops it."""
        while not (self._has_room(report) or self._is_closed):
            # Noting may switch to the reader, whose change must not be missed.
            changed = self._changed
            self._note_full()
            changed.wait()
        if not self._is_closed:
            self._append(report)
            self._notify()

    def first(self) -> T:
        """Wait for a report and return the first one, which stays in the queue."""
        while not self._reports:
            self._changed.wait()
        return self._reports[0]

    def remove_first(self) -> None:
        """Remove the first report, which has been handled."""
        self._unread_bytes -= self._size_of(self._reports.popleft())
        self._notify()

    def take_all(self) -> list[T]:
        """Remove and return all reports."""
        reports = list(self._reports)
        self._reports.clear()
        self._unread_bytes = 0
        self._notify()
        return reports

    def close(self) -> None:
        """Let no writer wait any more; `take_all` still returns what is here."""
        self._is_closed = True
        self._notify()

    def _has_room(self, report: T) -> bool:
        size = self._size_of(report)
        is_within = self._unread_bytes + size <= self._max_bytes
        return is_within or not size or not self._reports

    def _note_full(self) -> None:
        if not self._was_full:
            self._was_full = True
            self._on_full()

    def _append(self, report: T) -> None:
        if len(self._reports) > 1:
            joined = self._join(self._reports[-1], report)
            if joined is not None:
                self._unread_bytes -= self._size_of(self._reports.pop())
                report = joined
        self._reports.append(report)
        self._unread_bytes += self._size_of(report)

    def _notify(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.send()
