"""Interface of the platform's table service and object store."""

import enum
from collections.abc import Sequence
from typing import Protocol

import msgspec
from result import Result

from boragedeck.exceptions import StoreError

__all__ = [
    "ABSENT",
    "SNAPSHOT_TIMEOUT_S",
    "Change",
    "ChangeFeed",
    "Changes",
    "Delete",
    "ObjectStore",
    "Put",
    "Row",
    "StoreCall",
    "StoreCallKind",
    "Table",
    "TableStore",
    "Vm",
    "VmList",
    "Write",
]

ABSENT = 0
"""The version of a row that does not exist."""
SNAPSHOT_TIMEOUT_S = 2.0
"""How long a page of a whole table may take, unless the caller says otherwise."""


class Table(enum.Enum):
    """The tables that the system keeps in the platform's table service."""

    CONFIG = "config"
    HISTORY = "history"
    INTENTS = "intents"
    LEASES = "leases"
    MEMBERS = "members"
    REPLICAS = "replicas"
    """What replicas state of themselves; read only."""
    ROLLOUTS = "rollouts"
    ROLLOUT_STATUS = "status"
    """How far rollouts are, for operators."""
    ROUTING = "routing"
    """The operators' routing table and orders; read only."""


class StoreCallKind(enum.Enum):
    """What a call to the store was for."""

    READ = "read"
    """Rows or an object as they are now."""
    FEED = "feed"
    """Waiting for changes."""
    WRITE = "write"


class StoreCall(msgspec.Struct, frozen=True):
    """One call to the store that has ended.

    Parameters
    ----------
    kind : StoreCallKind
        What it was for.
    table : Table or None
        The table that it named first; None for objects.
    outcome : str
        The status of the answer, or `lost` without one.
    """

    kind: StoreCallKind
    table: Table | None
    outcome: str


class Row(msgspec.Struct, frozen=True):
    """A row as it was read.

    Parameters
    ----------
    key : str
        The row's key within its table.
    value : bytes
        The row's content.
    version : int
        Counts the row's writes; at least 1.
    """

    key: str
    value: bytes
    version: int


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Writes a row.

    Parameters
    ----------
    table : Table
        The table to write to.
    key : str
        The row's key.
    value : bytes
        The row's new content.
    expect : int or None
        The version that the row must have: `ABSENT` for a row that must not
        exist, None for any.
    """

    table: Table
    key: str
    value: bytes
    expect: int | None = None


class Delete(msgspec.Struct, frozen=True, tag="delete"):
    """Deletes a row, on the same condition as `Put`."""

    table: Table
    key: str
    expect: int | None = None


Write = Put | Delete


class TableStore(Protocol):
    """Transactional tables.

    Notes
    -----
    Every call returns ``Err(StoreUnavailableError)`` where it certainly had no
    effect, and ``Err(StoreUnknownOutcomeError)`` where it may have had one.
    """

    def get(self, table: Table, key: str) -> Result[Row | None, StoreError]:
        """Read one row; None where it does not exist."""

    def scan(
        self, table: Table, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[list[Row], StoreError]:
        """Read rows in the order of their keys, those behind `after` only."""

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """Write all rows or none.

        Returns
        -------
        Result
            The rows' new versions, or ``Err(StoreConflictError)`` where a
            condition did not hold.
        """


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A row that was written or deleted.

    Parameters
    ----------
    key : str
        The row's key within its table.
    value : bytes or None
        The row's content; None where it was deleted.
    version : int
        The store's counter at the change.
    """

    key: str
    value: bytes | None
    version: int


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """What has changed in a table up to a version.

    Parameters
    ----------
    rows : tuple of Change
        The changes in their order; of a snapshot, all rows that exist.
    version : int
        The store's counter up to which nothing is missing.
    is_snapshot : bool
        Whether rows that aren't named don't exist.
    """

    rows: tuple[Change, ...]
    version: int
    is_snapshot: bool = False


class ChangeFeed(Protocol):
    """Reads tables as they change."""

    def snapshot(
        self, table: Table, timeout_s: float = SNAPSHOT_TIMEOUT_S
    ) -> Result[Changes, StoreError]:
        """Read a whole table; each page within a time in seconds."""

    def changes(
        self, table: Table, after: int, wait_s: float
    ) -> Result[Changes, StoreError]:
        """Wait for changes of a table after a version.

        Returns
        -------
        Result
            The changes, none after `wait_s`, or ``Err(StoreHistoryLostError)`` where
            only a snapshot helps.
        """


class ObjectStore(Protocol):
    """Objects by key."""

    def get_object(self, key: str) -> Result[bytes | None, StoreError]:
        """Read an object; None where it does not exist."""

    def put_object(self, key: str, body: bytes) -> Result[None, StoreError]:
        """Write an object whole."""


class Vm(msgspec.Struct, frozen=True):
    """A VM in the platform's list, which lags behind reality.

    Parameters
    ----------
    name : str
        The VM's name.
    address : str
        Its IP address.
    failure_domain : str
        Its failure domain.
    leaving : bool
        Whether the platform has announced that the VM will stop.
    """

    name: str
    address: str
    failure_domain: str
    leaving: bool = False


class VmList(Protocol):
    """The platform's list of live and leaving VMs."""

    def vms(self) -> Result[list[Vm], StoreError]:
        """Read the list."""
