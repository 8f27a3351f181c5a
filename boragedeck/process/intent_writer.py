"""Group commit: one transaction of the table service for many rows."""

from collections import deque
from collections.abc import Callable, Iterable

import eventlet
import msgspec
from eventlet.event import Event
from result import Err, Ok, Result

from boragedeck.connection.store import ABSENT, Put, Row, TableStore
from boragedeck.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownError,
)
from boragedeck.process.group_pacing import GroupPacer
from boragedeck.process.store_breaker import StoreBreaker
from boragedeck.process.timers import TimerService

__all__ = ["GroupLimits", "IntentWriter"]

MAX_COMMIT_TRIES = 8
MAX_PARALLEL_READS = 8
RESEND_PAUSE_S = 0.05


class GroupLimits(msgspec.Struct, frozen=True):
    """Bounds of the groups.

    Parameters
    ----------
    max_rows : int
        Rows in one transaction.
    max_in_flight : int
        Transactions under way at a time.
    max_waiting : int
        Rows that wait to be written; a further one is refused.
    background_wait_s : float
        How long rows that nobody waits for may wait for company, in seconds.
    """

    max_rows: int = 128
    max_in_flight: int = 4
    max_waiting: int = 4096
    background_wait_s: float = 0.25


class _Entry:
    def __init__(self, put: Put, deadline: float, is_background: bool, now: float):
        self.put = put
        self.deadline = deadline
        self.is_background = is_background
        self.queued_at = now
        self.is_sent = False
        self.is_in_doubt = False
        self.done = Event()

    def finish(self, result: Result[int, StoreError]) -> None:
        if not self.done.ready():
            self.done.send(result)


class IntentWriter:
    """Writes conditional rows in groups and settles unknown outcomes.

    Parameters
    ----------
    store : TableStore
        Where the rows go.
    timers : TimerService
        The source of time.
    breaker : StoreBreaker
        Refuses writes while the store is down.
    routers : callable
        Returns how many routers share the store's budget of transactions.
    limits : GroupLimits, optional
        Bounds of the groups.

    Notes
    -----
    A transaction that starts after a quiet interval does not wait. Each row's
    value must be unique to its writer and attempt: a row that is read back with
    the very value that was to be written was written. An unknown transaction is
    sent again as it is; the conditions let one copy take effect.
    """

    def __init__(
        self,
        store: TableStore,
        timers: TimerService,
        breaker: StoreBreaker,
        routers: Callable[[], int] = lambda: 1,
        limits: GroupLimits | None = None,
    ):
        self._store = store
        self._timers = timers
        self._breaker = breaker
        self._limits = limits or GroupLimits()
        self._foreground: deque[_Entry] = deque()
        self._background: deque[_Entry] = deque()
        self._in_flight = 0
        self._pacer = GroupPacer(routers)
        self._wake_at = float("inf")

    def write(
        self, put: Put, deadline: float, *, is_background: bool = False
    ) -> Result[int, StoreError]:
        """Write one row on its condition, together with others.

        Parameters
        ----------
        put : Put
            The row, with an `expect`.
        deadline : float
            When to give up, on the timer service's monotonic clock.
        is_background : bool
            Whether the row may wait a little longer for company.

        Returns
        -------
        Result
            The row's new version. ``Err(StoreConflictError)`` and
            ``Err(StoreUnavailableError)`` mean that the row is not written and
            never will be; after ``Err(StoreUnknownError)`` it may be written at
            any later time.
        """
        if not self._breaker.allows():
            return Err(StoreUnavailableError("the store is down", step="queue row"))
        if len(self._foreground) + len(self._background) >= self._limits.max_waiting:
            return Err(StoreUnavailableError("too many rows wait", step="queue row"))
        entry = _Entry(put, deadline, is_background, self._timers.now())
        (self._background if is_background else self._foreground).append(entry)
        self._start_due_groups()
        if self._timers.wait(entry.done, deadline - self._timers.now()):
            return entry.done.wait()
        if entry.is_sent:
            self._breaker.failed()
        result = _timeout_error(entry)
        entry.finish(result)
        return result

    def _start_due_groups(self) -> None:
        while self._in_flight < self._limits.max_in_flight:
            now = self._timers.now()
            start = self._next_start()
            if start > now:
                self._schedule_wake(start, now)
                return
            group = self._take_group()
            if not group:
                continue
            self._pacer.started(now)
            self._in_flight += 1
            eventlet.spawn_n(self._run, group)

    def _next_start(self) -> float:
        if self._foreground:
            return self._pacer.next_start
        if self._background:
            oldest = self._background[0].queued_at
            return max(self._pacer.next_start, oldest + self._limits.background_wait_s)
        return float("inf")

    def _schedule_wake(self, start: float, now: float) -> None:
        if start < self._wake_at:
            self._wake_at = start
            self._timers.call_later(start - now, self._wake)

    def _wake(self) -> None:
        self._wake_at = float("inf")
        self._start_due_groups()

    def _take_group(self) -> list[_Entry]:
        group: dict[str, _Entry] = {}
        deferred: list[_Entry] = []
        for queue in (self._foreground, self._background):
            while queue and len(group) < self._limits.max_rows:
                entry = queue.popleft()
                if entry.done.ready():
                    continue
                if entry.put.key in group:
                    deferred.append(entry)
                else:
                    group[entry.put.key] = entry
        for entry in reversed(deferred):
            source_queue = self._background if entry.is_background else self._foreground
            source_queue.appendleft(entry)
        return list(group.values())

    def _run(self, group: list[_Entry]) -> None:
        try:
            self._commit(group)
        finally:
            # Whatever stopped the commit, no writer waits for nothing.
            for entry in group:
                entry.finish(_timeout_error(entry))
            self._in_flight -= 1
            self._start_due_groups()

    def _commit(self, entries: list[_Entry]) -> None:
        conflicts = 0
        for _ in range(MAX_COMMIT_TRIES):
            entries = self._entries_to_send(entries)
            if not entries:
                return
            for entry in entries:
                entry.is_sent = True
            match self._store.commit([entry.put for entry in entries]):
                case Ok(versions):
                    self._breaker.succeeded()
                    _finish_all(entries, versions)
                    return
                case Err(StoreConflictError() as exc):
                    self._breaker.succeeded()
                    conflicts += 1
                    entries = self._resolve_conflict(entries, exc, conflicts)
                case Err(StoreUnknownError()):
                    self._breaker.failed()
                    for entry in entries:
                        entry.is_in_doubt = True
                    self._timers.sleep(RESEND_PAUSE_S)
                case Err(exc):
                    self._breaker.failed()
                    _fail_all(entries, exc)
                    return

    def _entries_to_send(self, entries: list[_Entry]) -> list[_Entry]:
        # A transaction in doubt is sent again whole or not at all, so that it
        # can't take effect beside a smaller one.
        if any(entry.is_in_doubt for entry in entries):
            is_awaited = any(not entry.done.ready() for entry in entries)
            return entries if is_awaited else []
        return [entry for entry in entries if not entry.done.ready()]

    def _resolve_conflict(
        self, entries: list[_Entry], conflict: StoreConflictError, conflicts: int
    ) -> list[_Entry]:
        """Finish the entries whose condition fails; return the others."""
        in_doubt = any(entry.is_in_doubt for entry in entries)
        conflicting = [
            entry for entry in entries if _row_name(entry.put) == conflict.message
        ]
        if conflicting and conflicts == 1 and not in_doubt:
            conflicting[0].finish(Err(conflict))
            return [entry for entry in entries if entry is not conflicting[0]]
        rows = self._read_rows(entries)
        if rows is None:
            return entries
        pairs = list(zip(entries, rows, strict=True))
        if any(_was_written(entry.put, row) for entry, row in pairs):
            # All or none: one row that is there shows that all were written.
            return _finish_from_rows(pairs)
        return _drop_conflicts(pairs, conflict)

    def _read_rows(self, entries: Iterable[_Entry]) -> list[Row | None] | None:
        pool = eventlet.GreenPool(MAX_PARALLEL_READS)
        puts = [entry.put for entry in entries]
        reads = list(pool.imap(lambda put: self._store.get(put.table, put.key), puts))
        if any(read.is_err() for read in reads):
            self._breaker.failed()
            self._timers.sleep(RESEND_PAUSE_S)
            return None
        return [read.ok() for read in reads]


def _finish_all(entries: list[_Entry], versions: list[int]) -> None:
    for entry, version in zip(entries, versions, strict=True):
        entry.finish(Ok(version))


def _fail_all(entries: list[_Entry], exc: StoreError) -> None:
    for entry in entries:
        entry.finish(_timeout_error(entry) if entry.is_in_doubt else Err(exc))


def _finish_from_rows(pairs: list[tuple[_Entry, Row | None]]) -> list[_Entry]:
    for entry, row in pairs:
        if _was_written(entry.put, row):
            entry.finish(Ok(row.version))
        else:
            text = "the row was written and then replaced"
            entry.finish(Err(StoreUnknownError(text, step="read back")))
    return []


def _drop_conflicts(
    pairs: list[tuple[_Entry, Row | None]], conflict: StoreConflictError
) -> list[_Entry]:
    remaining = []
    for entry, row in pairs:
        if entry.put.expect == (ABSENT if row is None else row.version):
            remaining.append(entry)
        else:
            entry.finish(Err(conflict))
    if len(remaining) < len(pairs):
        # The group in doubt holds a condition that can't become true any more.
        for entry in remaining:
            entry.is_in_doubt = False
    return remaining


def _timeout_error(entry: _Entry) -> Err[StoreError]:
    if entry.is_sent:
        return Err(StoreUnknownError("no answer in time", step="commit group"))
    return Err(StoreUnavailableError("no room in time", step="queue row"))


def _row_name(put: Put) -> str:
    return f"{put.table.value}/{put.key}"


def _was_written(put: Put, row: Row | None) -> bool:
    return row is not None and row.value == put.value
