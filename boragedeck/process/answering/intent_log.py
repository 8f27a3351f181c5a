"""Records the intent to send a command before it is sent, and then its outcome."""

import uuid
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.platform import Platform
from boragedeck.connection.service import ServiceResponse
from boragedeck.connection.store import ABSENT, Put, Row, Table
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from boragedeck.ids import RouterId
from boragedeck.process.answering.intent_settler import IntentSettler
from boragedeck.process.answering.intent_writer import IntentWriter
from boragedeck.process.store_breaker import StoreBreaker
from boragedeck.process.timers import TimerService
from boragedeck.request.intents import (
    CommandKey,
    IntentRow,
    IntentState,
    StoredResponse,
    decode_row,
    encode_row,
)

__all__ = ["Attempt", "BeginResult", "Found", "IntentLog", "Started"]

MAX_BEGIN_TRIES = 4


class Attempt(msgspec.Struct, frozen=True):
    """The right of this process to send a command once.

    Parameters
    ----------
    row_key : str
        The key of the intent's row.
    row : IntentRow
        The row as it was written.
    version : int
        The row's version.
    """

    row_key: str
    row: IntentRow
    version: int


class Started(msgspec.Struct, frozen=True):
    """The intent is written, so this process may send the command."""

    attempt: Attempt


class Found(msgspec.Struct, frozen=True):
    """The command already has an intent of another attempt."""

    row: IntentRow


BeginResult = Started | Found


class IntentLog:
    """Reads the intents of all routers, and writes those of this process.

    Parameters
    ----------
    platform : Platform
        The store from which rows are read.
    writer : IntentWriter
        Writes rows in groups.
    settler : IntentSettler
        Writes final rows in the background.
    breaker : StoreBreaker
        Reports whether the store is down.
    timers : TimerService
        The source of time.
    own : RouterId
        The id of this router process.
    new_id : callable, optional
        Returns a unique id for each attempt.
    """

    def __init__(
        self,
        platform: Platform,
        writer: IntentWriter,
        settler: IntentSettler,
        breaker: StoreBreaker,
        timers: TimerService,
        own: RouterId,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ):
        self.own = own
        self._platform = platform
        self._writer = writer
        self._settler = settler
        self._breaker = breaker
        self._timers = timers
        self._new_id = new_id

    def begin(
        self, key: CommandKey, deadline: float
    ) -> Result[BeginResult, StoreError]:
        """Write a command's intent, or return that of another attempt.

        Parameters
        ----------
        key : CommandKey
            The command.
        deadline : float
            When to give up, on the timer service's monotonic clock.

        Returns
        -------
        Result
            `Started` or `Found`. After an error this process won't send the command.
        """
        row = IntentRow(self._new_id(), self.own, key.request_hash, self._timers.wall())
        expect = ABSENT
        for _ in range(MAX_BEGIN_TRIES):
            put = Put(Table.INTENTS, key.row_key, encode_row(row), expect)
            match self._writer.write(put, deadline):
                case Ok(version):
                    return Ok(Started(Attempt(key.row_key, row, version)))
                case Err(StoreConflictError()):
                    found = self._read(key.row_key)
                case Err(StoreUnknownOutcomeError() as exc):
                    self._abandon(key.row_key, row, None)
                    return Err(exc)
                case Err(exc):
                    return Err(exc)
            if found.is_err():
                return found
            newest = self._newest_row(key.row_key, found.ok())
            if newest.is_err():
                return newest
            other = newest.ok()
            if other is not None and other.state is not IntentState.ABANDONED:
                return Ok(Found(other))
            expect = ABSENT if found.ok() is None else found.ok().version
        text = "the intent's row changed during each attempt to write it"
        return Err(StoreUnavailableError(text, step="begin command"))

    def read(self, row_key: str) -> Result[IntentRow | None, StoreError]:
        """Return the intent of a command, or None if it has none."""
        unsettled_row = self.unsettled_row(row_key)
        if unsettled_row is not None:
            return Ok(unsettled_row)
        if not self._breaker.allows():
            return Err(StoreUnavailableError("the store is down", step="read intent"))
        read = self._read(row_key)
        if read.is_err():
            return read
        return self._newest_row(row_key, read.ok())

    def unsettled_row(self, row_key: str) -> IntentRow | None:
        """Return an outcome of this process's that the store may not have yet."""
        row = self._settler.find(row_key)
        if row is None or row.state is IntentState.ABANDONED:
            return None
        return row

    def finish(self, attempt: Attempt, response: ServiceResponse) -> None:
        """Record the service's response."""
        stored = StoredResponse(response.status, response.headers, response.body)
        row = msgspec.structs.replace(
            attempt.row, state=IntentState.DONE, response=stored
        )
        self._settler.settle(attempt.row_key, row, attempt.version)

    def mark_unknown(self, attempt: Attempt) -> None:
        """Record that the command was sent but its response won't be received."""
        row = msgspec.structs.replace(attempt.row, state=IntentState.UNKNOWN)
        self._settler.settle(attempt.row_key, row, attempt.version)

    def abandon(self, attempt: Attempt) -> None:
        """Record that this attempt has not sent the command and never will."""
        self._abandon(attempt.row_key, attempt.row, attempt.version)

    def body(self, row: IntentRow) -> Result[bytes | None, StoreError]:
        """Return the body of a recorded response, or None if it is missing."""
        if not row.has_object:
            return Ok(row.response.body)
        return self._platform.get_object(row.object_key)

    def _abandon(self, row_key: str, row: IntentRow, version: int | None) -> None:
        row = msgspec.structs.replace(row, state=IntentState.ABANDONED)
        self._settler.settle(row_key, row, version)

    def _read(self, row_key: str) -> Result[Row | None, StoreError]:
        return self._platform.get(Table.INTENTS, row_key)

    def _newest_row(
        self, row_key: str, found: Row | None
    ) -> Result[IntentRow | None, StoreError]:
        """Return the row found, or the newer unsettled row of the same attempt."""
        if found is None:
            return Ok(None)
        try:
            row = decode_row(found.value)
        except DECODE_ERRORS as exc:
            # The state of the command is unreadable, so it must not be sent again.
            return Err(
                StoreUnknownOutcomeError(str(exc), step="decode intent", peer=row_key)
            )
        unsettled_row = self._settler.find(row_key)
        if unsettled_row is not None and unsettled_row.attempt == row.attempt:
            return Ok(unsettled_row)
        return Ok(row)
