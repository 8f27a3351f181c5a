"""Writes the final states of this process's commands to the table service.

A router writes an intent, a row in the table service, before it sends a command. The
row names the attempt that wrote it, and only this attempt may send the command. When
its outcome is known, the row gets a final state: `DONE`, `UNKNOWN`, or `ABANDONED` if
the attempt has not sent the command and never will; see `boragedeck.request.intents`.
"""

import eventlet
import msgspec
from result import Ok

from boragedeck.connection.platform import Platform
from boragedeck.connection.store import ABSENT, Put, Row, Table
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.process.answering.intent_writer import IntentWriter
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.store_breaker import StoreBreaker
from boragedeck.process.timers import TimerService
from boragedeck.request.intents import (
    MAX_INLINE_BODY_BYTES,
    IntentRow,
    IntentState,
    decode_row,
    encode_row,
)

__all__ = ["IntentSettler"]

RETRY_INTERVAL_S = 0.5
WRITE_TIMEOUT_S = 10.0
MAX_UNSETTLED_AGE_S = 6 * 3600.0
MAX_UNSETTLED_ROWS = 4096
MAX_UNSETTLED_BYTES = 32 * 1024 * 1024
MAX_PARALLEL_RETRIES = 16
"""Maximum number of rows that are retried at once; first tries aren't limited."""

_log = PartLog("intents")


class _UnsettledRow:
    """A final row that the store may not have yet, with the version that it replaces.

    `version` is None if it must be read first; `since` is when `settle` was called.
    """

    def __init__(self, row_key: str, row: IntentRow, version: int | None, now: float):
        self.row_key = row_key
        self.row = row
        self.version = version
        self.since = now
        self.is_being_written = False
        self.is_body_stored = False

    def body_size_bytes(self) -> int:
        response = self.row.response
        return 0 if response is None else len(response.body or b"")


class IntentSettler:
    """Settles rows: writes their final state, retrying until the store has it.

    Parameters
    ----------
    platform : Platform
        Stores the large response bodies, and is read for the rows' versions.
    writer : IntentWriter
        Writes the rows in groups.
    breaker : StoreBreaker
        Pauses the retries while the store is down; the first try isn't paused.
    timers : TimerService
        The source of time.

    Notes
    -----
    Rows that are not settled yet are kept in memory, so that this router can report
    the outcomes of its own commands while the store is down. Bounds:
    `MAX_UNSETTLED_ROWS` rows, `MAX_UNSETTLED_BYTES` of bodies, `MAX_UNSETTLED_AGE_S`.
    Rows beyond the bounds are dropped, oldest first; the outcome of their commands is
    then reported as unknown.
    """

    def __init__(
        self,
        platform: Platform,
        writer: IntentWriter,
        breaker: StoreBreaker,
        timers: TimerService,
    ):
        self._platform = platform
        self._writer = writer
        self._breaker = breaker
        self._timers = timers
        self._unsettled: dict[str, _UnsettledRow] = {}
        self._total_body_bytes = 0
        self._is_retry_scheduled = False

    def settle(self, row_key: str, row: IntentRow, version: int | None) -> None:
        """Write a final row in the background, instead of any earlier one of the key.

        Parameters
        ----------
        row_key : str
            The intent's key.
        row : IntentRow
            The row in a final state.
        version : int or None
            The version of the intent's row, which the final row replaces; None if it
            is not known whether the intent was written, so that it is read first.

        Notes
        -----
        If the row that is read doesn't allow the final row, for instance because it is
        final already, nothing is written and the row counts as settled.
        """
        self._drop(row_key)
        unsettled = _UnsettledRow(row_key, row, version, self._timers.now())
        self._unsettled[row_key] = unsettled
        self._total_body_bytes += unsettled.body_size_bytes()
        self._enforce_bounds()
        self._schedule_retry()
        eventlet.spawn_n(self._settle, unsettled)

    def find(self, row_key: str) -> IntentRow | None:
        """Return a final row that the store may not have yet, or None."""
        unsettled = self._unsettled.get(row_key)
        return None if unsettled is None else unsettled.row

    def __len__(self) -> int:
        return len(self._unsettled)

    def _schedule_retry(self) -> None:
        if self._unsettled and not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._timers.call_later(RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self._enforce_bounds()
        try:
            if self._breaker.allows():
                self._settle_all()
        finally:
            self._is_retry_scheduled = False
            self._schedule_retry()

    def _settle_all(self) -> None:
        pool = eventlet.GreenPool(MAX_PARALLEL_RETRIES)
        for unsettled in list(self._unsettled.values()):
            pool.spawn_n(self._settle, unsettled)
        pool.waitall()

    def _settle(self, unsettled: _UnsettledRow) -> None:
        if (
            unsettled.is_being_written
            or self._unsettled.get(unsettled.row_key) is not unsettled
        ):
            return
        unsettled.is_being_written = True
        try:
            if (
                self._try_settle(unsettled)
                and self._unsettled.get(unsettled.row_key) is unsettled
            ):
                self._drop(unsettled.row_key)
        finally:
            unsettled.is_being_written = False

    def _try_settle(self, unsettled: _UnsettledRow) -> bool:
        """Write a row, unless it must not be written; return whether it is settled."""
        if not self._store_body(unsettled):
            return False
        if unsettled.version is None:
            read = self._platform.get(Table.INTENTS, unsettled.row_key)
            if read.is_err():
                return False
            unsettled.version = _version_to_replace(unsettled.row, read.ok())
            if unsettled.version is None:
                # Here None means that the row must not be written.
                return True
        return self._write(unsettled)

    def _write(self, unsettled: _UnsettledRow) -> bool:
        value = encode_row(_without_large_body(unsettled.row))
        put = Put(Table.INTENTS, unsettled.row_key, value, unsettled.version)
        deadline = self._timers.now() + WRITE_TIMEOUT_S
        match self._writer.write(put, deadline, is_background=True):
            case Ok(_):
                return True
            case _:
                # The write may have taken effect, so the next try reads the row.
                unsettled.version = None
                return False

    def _store_body(self, unsettled: _UnsettledRow) -> bool:
        if (
            unsettled.body_size_bytes() <= MAX_INLINE_BODY_BYTES
            or unsettled.is_body_stored
        ):
            return True
        body = unsettled.row.response.body
        stored = self._platform.put_object(unsettled.row.object_key, body)
        unsettled.is_body_stored = stored.is_ok()
        return unsettled.is_body_stored

    def _enforce_bounds(self) -> None:
        oldest_allowed = self._timers.now() - MAX_UNSETTLED_AGE_S
        while self._unsettled:
            oldest = next(iter(self._unsettled.values()))
            exceeds_bounds = (
                len(self._unsettled) > MAX_UNSETTLED_ROWS
                or self._total_body_bytes > MAX_UNSETTLED_BYTES
                or oldest.since < oldest_allowed
            )
            if not exceeds_bounds:
                return
            _log.write("Unsettled outcome dropped.", attempt=oldest.row.attempt)
            self._drop(oldest.row_key)

    def _drop(self, row_key: str) -> None:
        unsettled = self._unsettled.pop(row_key, None)
        if unsettled is not None:
            self._total_body_bytes -= unsettled.body_size_bytes()


def _version_to_replace(final_row: IntentRow, found: Row | None) -> int | None:
    """Return the version that a final row replaces; None if it must not be written.

    Parameters
    ----------
    final_row : IntentRow
        The row to write.
    found : Row or None
        The row that the store has; None if it has none.
    """
    if found is None:
        # The write of the intent may still arrive at the store. It requires that there
        # is no row, so it fails once the abandoned row is written.
        return ABSENT if final_row.state is IntentState.ABANDONED else None
    try:
        row = decode_row(found.value)
    except DECODE_ERRORS:
        return None
    if row.attempt == final_row.attempt:
        return found.version if row.state is IntentState.INTENDED else None
    # The row belongs to another attempt, which abandoned it. A late write of this
    # attempt's intent may require that row's version, so it fails once the row is
    # replaced.
    is_replaceable = row.state is final_row.state is IntentState.ABANDONED
    return found.version if is_replaceable else None


def _without_large_body(row: IntentRow) -> IntentRow:
    response = row.response
    if response is None or len(response.body or b"") <= MAX_INLINE_BODY_BYTES:
        return row
    stripped = msgspec.structs.replace(response, body=None)
    return msgspec.structs.replace(row, response=stripped)
