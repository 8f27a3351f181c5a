"""Leases with fencing tokens, stored as rows in the platform's table service.

Notes
-----
No wall clock is read. A holder measures its lease from before it sent the write; a
candidate measures it from after it first read the row's current version. So a lease
never looks free to a candidate while it looks safe to its holder.

See Also
--------
boragedeck.process.leasing.lease_manager : Acquires and renews the leases of a process.
"""

import uuid
from collections.abc import Sequence

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.store import ABSENT, Put, Row, Table, TableStore, Write
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from boragedeck.ids import RouterId
from boragedeck.process.leasing.lease_row import (
    NO_HOLDER,
    Lease,
    LeaseLostError,
    LeaseRow,
    decode_lease,
    next_fencing_token,
)
from boragedeck.process.timers import TimerService

__all__ = ["Lease", "LeaseLostError", "LeaseRow", "LeaseTable"]

TERM_S = 9.0
HOLDER_TERMS = 0.9
"""How long a holder relies on its lease, in terms."""
CANDIDATE_TERMS = 1.1
"""How long a candidate waits for an unchanged lease, in terms; together with
`HOLDER_TERMS` this allows for clock rates that differ by up to a fifth."""
MAX_COMMIT_TRIES = 3


class _Observation(msgspec.Struct, frozen=True):
    """A version of another holder's row, and when this process first read it."""

    version: int
    observed_at: float


class LeaseTable:
    """Acquires, renews and releases leases, and makes fenced writes.

    Parameters
    ----------
    store : TableStore
        Stores the rows of the leases.
    timers : TimerService
        The source of monotonic time.
    own : RouterId
        The id of this router process.
    term_s : float
        How long a lease lasts after each write, in seconds.
    """

    def __init__(
        self,
        store: TableStore,
        timers: TimerService,
        own: RouterId,
        *,
        term_s: float = TERM_S,
    ):
        self.term_s = term_s
        self._store = store
        self._timers = timers
        self._own = own
        self._observations: dict[str, _Observation] = {}
        self._held_leases: dict[str, Lease] = {}

    def acquire(self, name: str) -> Result[Lease | None, StoreError]:
        """Acquire a lease if it is free.

        A lease with another holder is free once this process has seen its row
        unchanged for longer than its term, so the first calls only observe it.

        Returns
        -------
        Result
            The lease, or None if it is not known to be free.
        """
        held = self._held_leases.get(name)
        if held is not None:
            renewed = self.renew(held)
            if not held.is_lost:
                return renewed.map(lambda _: held)
        read = self._store.get(Table.LEASES, name)
        if read.is_err():
            return read
        row = read.ok()
        if not self._is_free(name, row):
            return Ok(None)
        lease = Lease(name, next_fencing_token(row, self._own), self._timers)
        lease.version = ABSENT if row is None else row.version
        match self._write(lease, self._new_row(lease), ()):
            case Ok(_):
                self._observations.pop(name, None)
                self._held_leases[name] = lease
                return Ok(lease)
            case Err(StoreConflictError()):
                return Ok(None)
            case Err(exc):
                return Err(exc)

    def renew(self, lease: Lease) -> Result[None, StoreError]:
        """Renew a lease.

        Returns
        -------
        Result
            ``Err(LeaseLostError)`` if another router holds it.
        """
        return self.commit(lease, ()).map(lambda _: None)

    def release(self, lease: Lease) -> Result[None, StoreError]:
        """Release a lease, so that the next holder need not wait for its end."""
        with lease.lock:
            lease.safe_until = float("-inf")
            row = LeaseRow(NO_HOLDER, lease.token, self.term_s, uuid.uuid4().hex)
            written = self._write_at_own_version(lease, row, ())
            self._mark_lost(lease)
            return written.map(lambda _: None)

    def forget(self, name: str) -> None:
        """Drop the observation of a lease that this process has stopped acquiring."""
        self._observations.pop(name, None)

    def fencing_write(self, lease: Lease) -> Put:
        """Return the write that makes a transaction fail if the lease is lost.

        Notes
        -----
        The write renews the row, whose version then differs from that in the
        lease. Callers should use `commit`, which updates both.
        """
        return _lease_put(lease, self._new_row(lease))

    def commit(
        self, lease: Lease, writes: Sequence[Write]
    ) -> Result[list[int], StoreError]:
        """Write rows only if this process still holds the lease, and renew it.

        Parameters
        ----------
        lease : Lease
            The lease that protects the writes.
        writes : sequence of Write
            The writes, which may have conditions of their own.

        Returns
        -------
        Result
            The rows' new versions; ``Err(LeaseLostError)``; or
            ``Err(StoreConflictError)`` if a condition of the writes did not hold.
            After ``Err(StoreUnknownOutcomeError)`` the writes may still take effect
            until the next successful renewal, after which the rows can be read back.
        """
        with lease.lock:
            if lease.is_lost:
                return Err(_lost_error(lease))
            return self._write_at_own_version(lease, self._new_row(lease), writes)

    def _is_free(self, name: str, row: Row | None) -> bool:
        if row is None:
            return True
        content = _decode_or_none(row)
        if content is None:
            # Its token is unknown, so a new holder could not fence off the old one.
            return False
        if content.holder in (NO_HOLDER, self._own):
            return True
        now = self._timers.now()
        observation = self._observations.get(name)
        if observation is None or observation.version != row.version:
            self._observations[name] = _Observation(row.version, now)
            return False
        return now - observation.observed_at > content.term_s * CANDIDATE_TERMS

    def _write_at_own_version(
        self, lease: Lease, row: LeaseRow, writes: Sequence[Write]
    ) -> Result[list[int], StoreError]:
        """Write the lease's row and others; mark a lease lost if it isn't held."""
        # An earlier write of this process whose response was lost may have changed
        # the row's version; this process then still holds the lease.
        written = self._write(lease, row, writes)
        if not isinstance(written.err(), StoreConflictError):
            return written
        read = self._store.get(Table.LEASES, lease.name)
        if read.is_err():
            return Err(StoreUnavailableError(str(read.err()), step="read lease"))
        found = read.ok()
        if found is None or not self._is_own(lease, found):
            self._mark_lost(lease)
            return Err(_lost_error(lease))
        if found.version == lease.version:
            return written
        lease.version = found.version
        return self._write(lease, row, writes)

    def _write(
        self, lease: Lease, row: LeaseRow, writes: Sequence[Write]
    ) -> Result[list[int], StoreError]:
        started = self._timers.now()
        transaction = [_lease_put(lease, row), *writes]
        written = self._commit_resolved(transaction)
        if written.is_ok():
            lease.version = written.ok()[0]
            lease.safe_until = started + row.term_s * HOLDER_TERMS
        return written.map(lambda versions: versions[1:])

    def _commit_resolved(
        self, transaction: list[Write]
    ) -> Result[list[int], Exception]:
        # The same transaction can be resent safely: its condition on the lease's
        # version holds for at most one of the copies.
        unknown_error: StoreUnknownOutcomeError | None = None
        for _ in range(MAX_COMMIT_TRIES):
            match self._store.commit(transaction):
                case Ok(versions):
                    return Ok(versions)
                case Err(StoreUnknownOutcomeError() as exc):
                    unknown_error = exc
                case Err(StoreConflictError() as exc) if unknown_error is not None:
                    return self._read_back(transaction, exc)
                case Err(exc):
                    return Err(unknown_error or exc)
        return Err(unknown_error)

    def _read_back(
        self, transaction: list[Write], conflict: StoreConflictError
    ) -> Result[list[int], StoreError]:
        lease_put = transaction[0]
        rows = [self._store.get(write.table, write.key) for write in transaction]
        found = rows[0].ok()
        if rows[0].is_ok() and _row_version(found) == lease_put.expect:
            return Err(conflict)
        if not all(_was_written(*pair) for pair in zip(transaction, rows, strict=True)):
            return Err(
                StoreUnknownOutcomeError(
                    "the outcome of a write is unknown", step="read back"
                )
            )
        return Ok([_row_version(row.ok()) for row in rows])

    def _new_row(self, lease: Lease) -> LeaseRow:
        return LeaseRow(self._own, lease.token, self.term_s, uuid.uuid4().hex)

    def _is_own(self, lease: Lease, row: Row) -> bool:
        content = _decode_or_none(row)
        if content is None:
            return False
        return content.holder == self._own and content.token == lease.token

    def _mark_lost(self, lease: Lease) -> None:
        lease.is_lost = True
        if self._held_leases.get(lease.name) is lease:
            del self._held_leases[lease.name]


def _lost_error(lease: Lease) -> LeaseLostError:
    return LeaseLostError(
        "another router holds the lease, or it was released",
        step="fenced write",
        peer=lease.name,
    )


def _lease_put(lease: Lease, row: LeaseRow) -> Put:
    return Put(Table.LEASES, lease.name, msgspec.json.encode(row), lease.version)


def _decode_or_none(row: Row) -> LeaseRow | None:
    try:
        return decode_lease(row)
    except DECODE_ERRORS:
        return None


def _row_version(row: Row | None) -> int:
    return ABSENT if row is None else row.version


def _was_written(write: Write, read: Result[Row | None, StoreError]) -> bool:
    if read.is_err():
        return False
    row = read.ok()
    if isinstance(write, Put):
        return row is not None and row.value == write.value
    return row is None
