"""Interfaces of the platform's table service, object store and list of VMs."""

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
"""Default timeout for each page of a table snapshot, in seconds."""


class Table(enum.Enum):
    """The tables that the system keeps in the platform's table service."""

    CONFIG = "config"
    HISTORY = "history"
    INTENTS = "intents"
    LEASES = "leases"
    MEMBERS = "members"
    REPLICAS = "replicas"
    """Published by the replicas about themselves; read-only for the routers."""
    ROLLOUTS = "rollouts"
    ROLLOUT_STATUS = "status"
    """Progress of rollouts, for operators."""
    ROUTING = "routing"
    """The operators' routing table and orders; read-only for the routers."""


class StoreCallKind(enum.Enum):
    """Purpose of a call to the store."""

    READ = "read"
    """Reads current rows or an object."""
    FEED = "feed"
    """Waits for changes."""
    WRITE = "write"


class StoreCall(msgspec.Struct, frozen=True):
    """A call to the store that has ended.

    Parameters
    ----------
    kind : StoreCallKind
        Purpose of the call.
    table : Table or None
        The first table of the call; None for objects.
    outcome : str
        Status of the answer, or `lost` if there was none.
    """

    kind: StoreCallKind
    table: Table | None
    outcome: str


class Row(msgspec.Struct, frozen=True):
    """A row of a table.

    Parameters
    ----------
    key : str
        The row's key within its table.
    value : bytes
        The row's content.
    version : int
        Number of writes of the row; at least 1.
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
        The version that the row must have: `ABSENT` if the row must not exist,
        None for any version.
    """

    table: Table
    key: str
    value: bytes
    expect: int | None = None


class Delete(msgspec.Struct, frozen=True, tag="delete"):
    """Deletes a row, under the same condition as `Put`."""

    table: Table
    key: str
    expect: int | None = None


Write = Put | Delete


class TableStore(Protocol):
    """Transactional tables.

    Notes
    -----
    Every call returns ``Err(StoreUnavailableError)`` if it certainly had no effect,
    and ``Err(StoreUnknownOutcomeError)`` if it may have had an effect.
    """

    def get(self, table: Table, key: str) -> Result[Row | None, StoreError]:
        """Read one row; None if it does not exist."""

    def scan(
        self, table: Table, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[list[Row], StoreError]:
        """Read rows with a key prefix and keys greater than `after`, in key order."""

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """Write all rows or none.

        Returns
        -------
        Result
            The rows' new versions, or ``Err(StoreConflictError)`` if a condition did
            not hold.
        """


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A row that was written or deleted.

    Parameters
    ----------
    key : str
        The row's key within its table.
    value : bytes or None
        The row's content; None if the row was deleted.
    version : int
        The store's version counter at the change.
    """

    key: str
    value: bytes | None
    version: int


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Changes of a table up to a version.

    Parameters
    ----------
    rows : tuple of Change
        The changes in their order; in a snapshot, all rows that exist.
    version : int
        The store's version counter up to which the changes are complete.
    is_snapshot : bool
        Whether this is a snapshot: rows that are not listed do not exist.
    """

    rows: tuple[Change, ...]
    version: int
    is_snapshot: bool = False


class ChangeFeed(Protocol):
    """Reads the changes of tables."""

    def snapshot(
        self, table: Table, timeout_s: float = SNAPSHOT_TIMEOUT_S
    ) -> Result[Changes, StoreError]:
        """Read a whole table; `timeout_s` applies to each page."""

    def changes(
        self, table: Table, after: int, wait_s: float
    ) -> Result[Changes, StoreError]:
        """Wait for changes of a table after a version.

        Returns
        -------
        Result
            The changes, empty if there were none within `wait_s`, or
            ``Err(StoreHistoryLostError)`` if a snapshot has to be read instead.
        """


class ObjectStore(Protocol):
    """Objects by key."""

    def get_object(self, key: str) -> Result[bytes | None, StoreError]:
        """Read an object; None if it does not exist."""

    def put_object(self, key: str, body: bytes) -> Result[None, StoreError]:
        """Write a whole object."""


class Vm(msgspec.Struct, frozen=True):
    """A VM in the platform's list, which may be out of date.

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
