"""Brings the final states of this process's commands into the table service."""

import eventlet
import msgspec
from result import Ok

from boragedeck.connection.platform import Platform
from boragedeck.connection.store import ABSENT, Put, Row, Table
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.process.intent_writer import IntentWriter
from boragedeck.process.logs import PartLog
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
KEEP_S = 6 * 3600.0
MAX_UNSETTLED = 4096
MAX_UNSETTLED_BYTES = 32 * 1024 * 1024
MAX_PARALLEL = 16

_log = PartLog("intents")


class _Final:
    def __init__(self, row_key: str, row: IntentRow, version: int | None, now: float):
        self.row_key = row_key
        self.row = row
        self.version = version
        self.since = now
        self.is_busy = False
        self.is_body_stored = False

    def size(self) -> int:
        response = self.row.response
        return 0 if response is None else len(response.body or b"")


class IntentSettler:
    """Writes final rows until the store has them, or they are too old.

    Parameters
    ----------
    platform : Platform
        Where the rows and the larger bodies go.
    writer : IntentWriter
        Writes the rows in groups.
    breaker : StoreBreaker
        Pauses the retries while the store is down.
    timers : TimerService
        The source of time.

    Notes
    -----
    What is not settled yet can be found here, so that this router answers for
    its own commands also while the store is down. Bounds: `MAX_UNSETTLED`
    rows, `MAX_UNSETTLED_BYTES` of bodies, `KEEP_S`; what is over the bounds is
    dropped, oldest first, after which its callers read that the outcome is
    unknown.
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
        self._finals: dict[str, _Final] = {}
        self._bytes = 0
        self._is_retry_due = False

    def settle(self, row_key: str, row: IntentRow, version: int | None) -> None:
        """Write a final row in the background.

        Parameters
        ----------
        row_key : str
            The intent's key.
        row : IntentRow
            The row in a final state.
        version : int or None
            The version of the intent's row; None where it is not known whether
            the intent was written.
        """
        self._drop(row_key)
        final = _Final(row_key, row, version, self._timers.now())
        self._finals[row_key] = final
        self._bytes += final.size()
        self._keep_bounds()
        self._retry_later()
        eventlet.spawn_n(self._settle, final)

    def find(self, row_key: str) -> IntentRow | None:
        """Return a final row that the store may not have yet."""
        final = self._finals.get(row_key)
        return None if final is None else final.row

    def __len__(self) -> int:
        return len(self._finals)

    def _retry_later(self) -> None:
        if self._finals and not self._is_retry_due:
            self._is_retry_due = True
            self._timers.call_later(RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self._keep_bounds()
        try:
            if self._breaker.allows():
                self._settle_all()
        finally:
            self._is_retry_due = False
            self._retry_later()

    def _settle_all(self) -> None:
        pool = eventlet.GreenPool(MAX_PARALLEL)
        for final in list(self._finals.values()):
            pool.spawn_n(self._settle, final)
        pool.waitall()

    def _settle(self, final: _Final) -> None:
        if final.is_busy or self._finals.get(final.row_key) is not final:
            return
        final.is_busy = True
        try:
            if self._try(final) and self._finals.get(final.row_key) is final:
                self._drop(final.row_key)
        finally:
            final.is_busy = False

    def _try(self, final: _Final) -> bool:
        """Return whether there is nothing left to write."""
        if not self._store_body(final):
            return False
        if final.version is None:
            read = self._platform.get(Table.INTENTS, final.row_key)
            if read.is_err():
                return False
            final.version = _version_to_replace(final.row, read.ok())
            if final.version is None:
                return True
        return self._write(final)

    def _write(self, final: _Final) -> bool:
        value = encode_row(_without_large_body(final.row))
        put = Put(Table.INTENTS, final.row_key, value, final.version)
        deadline = self._timers.now() + WRITE_TIMEOUT_S
        match self._writer.write(put, deadline, is_background=True):
            case Ok(_):
                return True
            case _:
                # Whatever happened, the next try reads the row first.
                final.version = None
                return False

    def _store_body(self, final: _Final) -> bool:
        if final.size() <= MAX_INLINE_BODY_BYTES or final.is_body_stored:
            return True
        body = final.row.response.body
        stored = self._platform.put_object(final.row.object_key, body)
        final.is_body_stored = stored.is_ok()
        return final.is_body_stored

    def _keep_bounds(self) -> None:
        oldest_allowed = self._timers.now() - KEEP_S
        while self._finals:
            oldest = next(iter(self._finals.values()))
            is_over = (
                len(self._finals) > MAX_UNSETTLED
                or self._bytes > MAX_UNSETTLED_BYTES
                or oldest.since < oldest_allowed
            )
            if not is_over:
                return
            _log.write("Outcome dropped.", attempt=oldest.row.attempt)
            self._drop(oldest.row_key)

    def _drop(self, row_key: str) -> None:
        final = self._finals.pop(row_key, None)
        if final is not None:
            self._bytes -= final.size()


def _version_to_replace(final: IntentRow, found: Row | None) -> int | None:
    """Return the version that a final row replaces; None where it need not."""
    if found is None:
        # The intent may still arrive; an abandoned row keeps it out.
        return ABSENT if final.state is IntentState.ABANDONED else None
    try:
        row = decode_row(found.value)
    except DECODE_ERRORS:
        return None
    if row.attempt == final.attempt:
        return found.version if row.state is IntentState.INTENDED else None
    # An attempt in doubt that would replace an abandoned row may still arrive.
    is_open = row.state is final.state is IntentState.ABANDONED
    return found.version if is_open else None


def _without_large_body(row: IntentRow) -> IntentRow:
    response = row.response
    if response is None or len(response.body or b"") <= MAX_INLINE_BODY_BYTES:
        return row
    kept = msgspec.structs.replace(response, body=None)
    return msgspec.structs.replace(row, response=kept)
