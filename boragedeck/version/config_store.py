"""Stores the configuration in the platform's tables.

The row ``current`` holds the full newest configuration and the row ``revision``
its number. The history has one row for each accepted change, with the delta. All
are written in one transaction.
"""

import uuid
import zlib
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.store import (
    ABSENT,
    Delete,
    Put,
    Row,
    Table,
    TableStore,
    Write,
)
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from boragedeck.ids import Revision
from boragedeck.process.timers import TimerService
from boragedeck.version.delta import Delta, canonical, describe, diff, digest
from boragedeck.version.tables import Config

__all__ = [
    "Change",
    "ConfigConflictError",
    "ConfigStore",
    "RevisionRow",
    "StoredConfig",
    "pack",
    "unpack",
]

CURRENT_KEY = "current"
REVISION_KEY = "revision"
KEY_DIGITS = 12
MAX_HISTORY_ROWS = 10_000
"""Number of latest changes that the history keeps."""
MAX_CHANGE_LINES = 50
MAX_LINE_LENGTH = 200
MAX_DELTA_BYTES = 64 * 1024
"""A larger delta is not stored; routers then read the full configuration."""
COMPRESSION_THRESHOLD_BYTES = 2 * 1024
MAX_ROW_BYTES = 64 * 1024 * 1024
MAX_CONFLICT_ENTRIES = 20
"""Maximum number of changes that a conflict error lists."""
SETTLE_TIMEOUT_S = 20.0
"""How long a commit of unknown outcome is repeated and its row read back."""
MIN_SETTLE_WAIT_S = 0.2
MAX_SETTLE_WAIT_S = 2.0

T = TypeVar("T")


class RevisionRow(msgspec.Struct, frozen=True):
    """The small row that holds the number of the newest accepted revision.

    Parameters
    ----------
    revision : Revision
        The newest accepted revision.
    digest : str
        Hash of the configuration of this revision.
    """

    revision: Revision
    digest: str


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """One accepted change: a row of the history.

    Parameters
    ----------
    revision : Revision
        The revision that the change created.
    apply_id : str
        Identifies the attempt that made the change.
    author : str
        Who made the change.
    time : float
        When the change was made, in Unix seconds, by the author's clock.
    digest : str
        Hash of the resulting configuration.
    lines : tuple of str
        Descriptions of the changes, for people; truncated if there are many.
    delta : Delta or None
        The difference from the previous revision; None if it is too large.
    """

    revision: Revision
    apply_id: str
    author: str
    time: float
    digest: str
    lines: tuple[str, ...] = ()
    delta: Delta | None = None


class StoredConfig(msgspec.Struct, frozen=True, omit_defaults=True):
    """The newest accepted configuration, as read from the tables.

    Parameters
    ----------
    config : Config
        The configuration; revision 0 if none has been accepted yet.
    apply_id, author, time
        As in `Change`.
    row_version : int
        The version of the row; the next change is written only if it still matches.
    """

    config: Config = Config()
    apply_id: str = ""
    author: str = ""
    time: float = 0.0
    row_version: int = ABSENT


class ConfigConflictError(StoreConflictError):
    """The configuration changed since it was read; nothing is written.

    Parameters
    ----------
    message : str
        Describes the conflict.
    changes : tuple of Change
        The changes accepted in the meantime, the oldest first.
    """

    def __init__(self, message: str, changes: tuple[Change, ...] = (), **context: str):
        super().__init__(message, **context)
        self.changes = changes


class ConfigStore:
    """Reads and changes the configuration in the platform's tables.

    Parameters
    ----------
    tables : TableStore
        The platform's table service.
    timers : TimerService
        The source of time.
    """

    def __init__(self, tables: TableStore, timers: TimerService):
        self._tables = tables
        self._timers = timers

    def read(self) -> Result[StoredConfig, StoreError]:
        """Read the newest accepted configuration."""
        result = self._tables.get(Table.CONFIG, CURRENT_KEY)
        if result.is_err():
            return result
        row = result.ok()
        if row is None:
            return Ok(StoredConfig())
        return _decode(row, StoredConfig).map(
            lambda stored: msgspec.structs.replace(stored, row_version=row.version)
        )

    def read_revision(self) -> Result[RevisionRow | None, StoreError]:
        """Read the row of the newest accepted revision; None before the first."""
        return self._tables.get(Table.CONFIG, REVISION_KEY).and_then(
            lambda row: Ok(None) if row is None else _decode(row, RevisionRow)
        )

    def changes(self, after: int, limit: int) -> Result[list[Change], StoreError]:
        """Read accepted changes in the order of their revisions.

        Parameters
        ----------
        after : int
            Read the changes that follow this revision.
        limit : int
            Maximum number of changes.
        """
        result = self._tables.scan(
            Table.HISTORY, after=_history_key(after), limit=limit
        )
        return result.and_then(lambda rows: _decode_all(rows, Change))

    def apply(
        self,
        base: StoredConfig,
        cfg: Config,
        *,
        author: str,
        apply_id: str = "",
        min_revision: int = 0,
    ) -> Result[Change, StoreError]:
        """Accept a configuration, provided that `base` is still the newest one.

        Parameters
        ----------
        base : StoredConfig
            The configuration on which the change is based.
        cfg : Config
            The new configuration; this method sets its revision.
        author : str
            Who makes the change.
        apply_id : str, optional
            Unique identifier of this attempt, generated by default; used to find
            out whether a commit of unknown outcome was applied.
        min_revision : int
            The lowest revision that the change may get. Needed if the platform
            lost its tables, so that the routers have a higher revision than it.

        Returns
        -------
        Result
            The accepted change; ``Err(ConfigConflictError)`` or
            ``Err(StoreUnavailableError)`` if nothing was written;
            ``Err(StoreUnknownOutcomeError)`` if the outcome couldn't be determined in
            time.
        """
        revision = Revision(max(base.config.revision + 1, min_revision))
        cfg = canonical(msgspec.structs.replace(cfg, revision=revision))
        apply_id = apply_id or uuid.uuid4().hex
        change = self._build_change(base.config, cfg, author, apply_id)
        stored = StoredConfig(cfg, apply_id, author, change.time)
        writes = _build_writes(base.row_version, stored, change)
        return self._commit(writes, change, base.config.revision)

    def conflict_error(self, base: int) -> ConfigConflictError:
        """Return an error with the changes that were accepted after a revision."""
        read_result = self.changes(base, MAX_CONFLICT_ENTRIES)
        changes = tuple(read_result.unwrap_or([]))
        text = f"revision {base} is not the newest accepted revision"
        return ConfigConflictError(text, changes, step="apply")

    def _build_change(
        self, old: Config, new: Config, author: str, apply_id: str
    ) -> Change:
        lines = [line[:MAX_LINE_LENGTH] for line in describe(old, new)]
        if len(lines) > MAX_CHANGE_LINES:
            more = len(lines) - MAX_CHANGE_LINES
            lines = [*lines[:MAX_CHANGE_LINES], f"and {more} more"]
        delta = diff(old, new)
        is_large = len(msgspec.json.encode(delta)) > MAX_DELTA_BYTES
        return Change(
            revision=new.revision,
            apply_id=apply_id,
            author=author,
            time=self._timers.wall(),
            digest=digest(new),
            lines=tuple(lines),
            delta=None if is_large else delta,
        )

    def _commit(self, writes: list[Write], change: Change, base: Revision) -> Result:
        """Commit until the outcome is known; write conditions make this idempotent."""
        may_have_run = False
        wait_s = MIN_SETTLE_WAIT_S
        deadline = self._timers.now() + SETTLE_TIMEOUT_S
        while True:
            result = self._tables.commit(writes)
            match result.err():
                case None:
                    return Ok(change)
                case StoreUnavailableError() if not may_have_run:
                    return result
                case StoreConflictError() if not may_have_run:
                    return Err(self.conflict_error(base))
            may_have_run = True
            settled = self._read_back(change, base)
            if settled is not None:
                return settled
            if self._timers.now() + wait_s > deadline:
                return Err(_unknown_outcome_error(change, result.err()))
            self._timers.sleep(wait_s)
            wait_s = min(2 * wait_s, MAX_SETTLE_WAIT_S)

    def _read_back(
        self, change: Change, base: Revision
    ) -> Result[Change, StoreError] | None:
        """Return the outcome of a commit; None if it isn't known yet."""
        key = _history_key(change.revision)
        read_result = self._tables.get(Table.HISTORY, key)
        row = read_result.unwrap_or(None)
        if row is None:
            return None
        decoded = _decode(row, Change)
        if decoded.is_ok() and decoded.ok().apply_id == change.apply_id:
            return Ok(change)
        return Err(self.conflict_error(base))


def pack(value: Any) -> bytes:
    """Encode a value as JSON, compressed if it is large."""
    body = msgspec.json.encode(value)
    return zlib.compress(body) if len(body) >= COMPRESSION_THRESHOLD_BYTES else body


def unpack(body: bytes, value_type: type[T]) -> T:
    """Decode a value that `pack` encoded.

    Raises
    ------
    msgspec.MsgspecError
        If the bytes can't be decoded as a value of the type.
    """
    # The JSON of a struct starts with a brace; no zlib header does.
    if not body.startswith(b"{"):
        try:
            inflater = zlib.decompressobj()
            body = inflater.decompress(body, MAX_ROW_BYTES)
        except zlib.error as exc:
            raise msgspec.DecodeError(str(exc)) from exc
    return msgspec.json.decode(body, type=value_type)


def _build_writes(
    row_version: int, stored: StoredConfig, change: Change
) -> list[Write]:
    revision = RevisionRow(change.revision, change.digest)
    writes: list[Write] = [
        Put(Table.CONFIG, CURRENT_KEY, pack(stored), expect=row_version),
        Put(Table.CONFIG, REVISION_KEY, pack(revision)),
        Put(Table.HISTORY, _history_key(change.revision), pack(change), expect=ABSENT),
    ]
    if change.revision > MAX_HISTORY_ROWS:
        writes.append(
            Delete(Table.HISTORY, _history_key(change.revision - MAX_HISTORY_ROWS))
        )
    return writes


def _history_key(revision: int) -> str:
    return f"{revision:0{KEY_DIGITS}d}"


def _decode(row: Row, value_type: type[T]) -> Result[T, StoreError]:
    try:
        return Ok(unpack(row.value, value_type))
    except DECODE_ERRORS as exc:
        return Err(StoreError(f"row {row.key!r} can't be read: {exc}", step="decode"))


def _decode_all(rows: list[Row], value_type: type[T]) -> Result[list[T], StoreError]:
    values = []
    for row in rows:
        decoded = _decode(row, value_type)
        if decoded.is_err():
            return decoded
        values.append(decoded.ok())
    return Ok(values)


def _unknown_outcome_error(change: Change, exc: StoreError) -> StoreUnknownOutcomeError:
    text = (
        f"revision {change.revision} may have been accepted: {exc.message};"
        f" look for apply id {change.apply_id} in the history"
    )
    return StoreUnknownOutcomeError(text, step="apply", peer=exc.peer)
