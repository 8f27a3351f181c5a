"""Group commit: writes many rows in one transaction of the table service."""

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
    StoreUnknownOutcomeError,
)
from boragedeck.process.placing.group_pacing import TransactionPacer
from boragedeck.process.store_breaker import StoreBreaker
from boragedeck.process.timers import TimerService

__all__ = ["GroupLimits", "IntentWriter"]

MAX_COMMIT_TRIES = 8
MAX_PARALLEL_READS = 8
RESEND_PAUSE_S = 0.05


class GroupLimits(msgspec.Struct, frozen=True):
    """Limits of group commits.

    Parameters
    ----------
    max_rows : int
        Maximum number of rows in one transaction.
    max_in_flight : int
        Maximum number of concurrent transactions.
    max_waiting : int
        Maximum number of rows that wait to be written; further rows are refused.
    background_wait_s : float
        How long background rows may wait for others to share a transaction with, in
        seconds.
    """

    max_rows: int = 128
    max_in_flight: int = 4
    max_waiting: int = 4096
    background_wait_s: float = 0.25


class _Entry:
    """A row to write; `done` gets its result once."""

    def __init__(self, put: Put, deadline: float, is_background: bool, now: float):
        self.put = put
        self.deadline = deadline
        self.is_background = is_background
        self.queued_at = now
        self.is_sent = False
        self.is_outcome_unknown = False
        self.done = Event()

    def finish(self, result: Result[int, StoreError]) -> None:
        if not self.done.ready():
            self.done.send(result)


class IntentWriter:
    """Writes conditional rows in groups and resolves unknown outcomes.

    Parameters
    ----------
    store : TableStore
        Stores the rows.
    timers : TimerService
        The source of time.
    breaker : StoreBreaker
        Refuses writes while the store is down.
    routers : callable
        Returns how many routers share the store's budget of transactions.
    limits : GroupLimits, optional
        Limits of the groups.

    Notes
    -----
    A row that arrives after an idle interval is written without delay. Each row's
    value must be unique to its writer and attempt: if a row is read back with the
    value that was to be written, the write took effect. A transaction with an
    unknown outcome is resent unchanged; its conditions let only one copy take effect.
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
        self._pacer = TransactionPacer(routers)
        self._wake_at = float("inf")

    def write(
        self, put: Put, deadline: float, *, is_background: bool = False
    ) -> Result[int, StoreError]:
        """Write one row if its condition holds, in a group with others.

        Parameters
        ----------
        put : Put
            The row, with the version `expect` that it must have in the store.
        deadline : float
            When to give up, on the timer service's monotonic clock.
        is_background : bool
            Whether the row may wait for other rows to share a transaction with.

        Returns
        -------
        Result
            The row's new version. After ``Err(StoreConflictError)`` and
            ``Err(StoreUnavailableError)`` the row is not written and never will be;
            after ``Err(StoreUnknownOutcomeError)`` it may be written at any later time.
        """
        if not self._breaker.allows():
            return Err(StoreUnavailableError("the store is down", step="queue row"))
        if len(self._foreground) + len(self._background) >= self._limits.max_waiting:
            return Err(
                StoreUnavailableError(
                    "too many rows are waiting to be written", step="queue row"
                )
            )
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
        """Return when the next group may start; infinity if no row is waiting."""
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
        """Remove the rows of one transaction from the queues, at most one for a key."""
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
            # If the commit raised, the callers of `write` must still get a result.
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
                case Err(StoreUnknownOutcomeError()):
                    self._breaker.failed()
                    for entry in entries:
                        entry.is_outcome_unknown = True
                    self._timers.sleep(RESEND_PAUSE_S)
                case Err(exc):
                    self._breaker.failed()
                    _fail_all(entries, exc)
                    return

    def _entries_to_send(self, entries: list[_Entry]) -> list[_Entry]:
        # A transaction with an unknown outcome is resent whole or not at all, so that
        # a smaller one can't take effect in addition.
        if any(entry.is_outcome_unknown for entry in entries):
            is_awaited = any(not entry.done.ready() for entry in entries)
            return entries if is_awaited else []
        return [entry for entry in entries if not entry.done.ready()]

    def _resolve_conflict(
        self, entries: list[_Entry], conflict: StoreConflictError, conflicts: int
    ) -> list[_Entry]:
        """Finish entries whose condition failed; return those to send again."""
        any_outcome_unknown = any(entry.is_outcome_unknown for entry in entries)
        conflicting = [
            entry for entry in entries if _row_name(entry.put) == conflict.message
        ]
        if conflicting and conflicts == 1 and not any_outcome_unknown:
            conflicting[0].finish(Err(conflict))
            return [entry for entry in entries if entry is not conflicting[0]]
        rows = self._read_rows(entries)
        if rows is None:
            return entries
        pairs = list(zip(entries, rows, strict=True))
        if any(_was_written(entry.put, row) for entry, row in pairs):
            # Transactions are atomic, so one row that was written shows that all were.
            return _finish_from_rows(pairs)
        return _drop_conflicts(pairs, conflict)

    def _read_rows(self, entries: Iterable[_Entry]) -> list[Row | None] | None:
        """Return the stored rows, None for each missing one; None if a read failed."""
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
        entry.finish(_timeout_error(entry) if entry.is_outcome_unknown else Err(exc))


def _finish_from_rows(pairs: list[tuple[_Entry, Row | None]]) -> list[_Entry]:
    for entry, row in pairs:
        if _was_written(entry.put, row):
            entry.finish(Ok(row.version))
        else:
            text = "the row was written and then replaced"
            entry.finish(Err(StoreUnknownOutcomeError(text, step="read back")))
    return []


def _drop_conflicts(
    pairs: list[tuple[_Entry, Row | None]], conflict: StoreConflictError
) -> list[_Entry]:
    """Finish entries whose condition no longer holds; return the others."""
    remaining = []
    for entry, row in pairs:
        if entry.put.expect == (ABSENT if row is None else row.version):
            remaining.append(entry)
        else:
            entry.finish(Err(conflict))
    if len(remaining) < len(pairs):
        # The transaction of unknown outcome has a condition that can't hold any more,
        # so it will never take effect.
        for entry in remaining:
            entry.is_outcome_unknown = False
    return remaining


def _timeout_error(entry: _Entry) -> Err[StoreError]:
    if entry.is_sent:
        return Err(
            StoreUnknownOutcomeError(
                "the store did not answer in time", step="commit group"
            )
        )
    return Err(
        StoreUnavailableError(
            "the row was not sent before its deadline", step="queue row"
        )
    )


def _row_name(put: Put) -> str:
    """Return the row's name as the message of a `StoreConflictError` has it."""
    return f"{put.table.value}/{put.key}"


def _was_written(put: Put, row: Row | None) -> bool:
    return row is not None and row.value == put.value
