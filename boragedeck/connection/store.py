"""Interfaces of the platform's table service, object store and list of VMs.

The platform is the users' system around the routers. Its table service and its object
store together are called the store.
"""

import enum
from collections.abc import Sequence
from typing import Protocol

import msgspec
from result import Result

from boragedeck.connection.store_version import StoreVersion
from boragedeck.exceptions import StoreError

__all__ = [
    "ABSENT",
    "FEED_SLACK_S",
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
FEED_SLACK_S = 0.5
"""Default time after its wait within which a call for changes must be answered."""


class Table(enum.Enum):
    """The tables in the platform's table service that routers read or write."""

    CONFIG = "config"
    """The newest configuration and its revision."""
    CRASHES = "crashes"
    """What the routers have found out about requests that crash replicas."""
    HISTORY = "history"
    """One row for each accepted change of the configuration."""
    INTENTS = "intents"
    """One row for each command (a request to a service that must run at most once),
    with its outcome."""
    LEASES = "leases"
    """One row for each lease, with its holder and fencing token. A lease is the right
    to do a task, such as managing the rollouts, that one router does at a time."""
    MEMBERS = "members"
    """One row for each router, by which others find it."""
    REPLICAS = "replicas"
    """Rows that the replicas write about themselves; read-only for the routers. A
    replica here is one run of an upstream."""
    ROLLOUTS = "rollouts"
    """Attempts to move a route, which assigns requests to a pool of upstreams, to
    another version of what these serve (`ids.Version`)."""
    ROLLOUT_STATUS = "status"
    """Progress of rollouts, for operators; the platform names the table `status`."""
    ROUTING = "routing"
    """The operators' routing table and rollout orders; read-only for the routers."""
    UNKNOWN = "unknown"
    """A table of a newer build, in a message of one of its routers."""

    @classmethod
    def _missing_(cls, value: object) -> "Table":
        return cls.UNKNOWN


class StoreCallKind(enum.Enum):
    """Purpose of a call to the store."""

    READ = "read"
    """Reads current rows, also for a snapshot, or an object."""
    FEED = "feed"
    """Waits for changes of a table."""
    WRITE = "write"
    """Writes or deletes rows, or writes an object."""


class StoreCall(msgspec.Struct, frozen=True):
    """A call to the store that has ended.

    Parameters
    ----------
    kind : StoreCallKind
        Purpose of the call.
    table : Table or None
        The call's table, for a commit that of its first write; None for objects and
        empty commits.
    outcome : str
        HTTP status of the answer, or `lost` if no complete answer arrived.
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
        Grows with each write of the row, also after a delete; at least 1. Depending
        on the store, it counts the row's writes or is a `StoreVersion`.
    """

    key: str
    value: bytes
    version: int


class Put(msgspec.Struct, frozen=True, tag="put"):
    """A write of a row, to be committed.

    Parameters
    ----------
    table : Table
        The table to write to.
    key : str
        The row's key.
    value : bytes
        The row's new content.
    expect : int or None
        The version that the row must have: `ABSENT` if the row must not exist;
        None for no condition, so that the row may exist or not.
    """

    table: Table
    key: str
    value: bytes
    expect: int | None = None


class Delete(msgspec.Struct, frozen=True, tag="delete"):
    """A delete of a row, to be committed; `expect` is as in `Put`.

    Without a condition, the delete of a row that does not exist has no effect.
    """

    table: Table
    key: str
    expect: int | None = None


Write = Put | Delete


class TableStore(Protocol):
    """Transactional tables.

    Notes
    -----
    A failed call returns ``Err(StoreUnavailableError)`` if it certainly had no effect,
    and ``Err(StoreUnknownOutcomeError)`` if it may have had an effect.
    """

    def get(self, table: Table, key: str) -> Result[Row | None, StoreError]:
        """Read one row; None if it does not exist."""

    def scan(
        self, table: Table, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[list[Row], StoreError]:
        """Read rows with a key prefix and keys greater than `after`, in key order.

        At most `limit` rows are returned. An implementation may return fewer if the
        limit is over 500; otherwise fewer rows mean that there are no more.
        """

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """Carry out all writes or none.

        Returns
        -------
        Result
            A version for each write, in their order: for a `Put`, the row's new
            version; for a `Delete`, a version lower than that of any later write of
            the row. Or ``Err(StoreConflictError)`` if a condition did not hold, so
            that nothing was written.
        """


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A row that was written or deleted.

    Parameters
    ----------
    key : str
        The row's key within its table.
    value : bytes or None
        The row's content; None if the row was deleted.
    version : StoreVersion
        The store's version at the change; its counter counts all writes of the store.
    """

    key: str
    value: bytes | None
    version: StoreVersion


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Changes of a table up to a version.

    Parameters
    ----------
    rows : tuple of Change
        The changes in the order of their versions; in a snapshot, all rows that
        exist, in key order.
    version : StoreVersion
        The store's version up to which no change is missing. A snapshot may contain
        newer rows. All rows are of the same era.
    is_snapshot : bool
        Whether this is a snapshot: rows that are not listed do not exist.
    age_s : float
        How long ago this was the store's newest state, in seconds, when it was
        received.
    answering_s : float or None
        How long the store has been answering the router that sent this, in seconds;
        None if it comes from the store itself, or if that isn't known.
    """

    rows: tuple[Change, ...]
    version: StoreVersion
    is_snapshot: bool = False
    age_s: float = 0.0
    answering_s: float | None = None


class ChangeFeed(Protocol):
    """Reads the changes of tables."""

    def snapshot(
        self, table: Table, timeout_s: float = SNAPSHOT_TIMEOUT_S
    ) -> Result[Changes, StoreError]:
        """Read a whole table; `timeout_s` applies to each page."""

    def changes(
        self,
        table: Table,
        after: StoreVersion,
        wait_s: float,
        slack_s: float = FEED_SLACK_S,
    ) -> Result[Changes, StoreError]:
        """Wait for changes of a table.

        Parameters
        ----------
        table : Table
            The table.
        after : StoreVersion
            The `version` of the last `Changes` that were received.
        wait_s : float
            Maximum time to wait, in seconds.
        slack_s : float, optional
            How long after that time the answer may arrive, in seconds.

        Returns
        -------
        Result
            The changes, empty if there were none within `wait_s`, or
            ``Err(StoreHistoryLostError)`` if the store no longer has all changes
            after that version, or has been restored from an older copy since, so that
            a snapshot has to be read instead.
        """


class ObjectStore(Protocol):
    """Objects by key."""

    def get_object(self, key: str) -> Result[bytes | None, StoreError]:
        """Read an object; None if it does not exist.

        Over HTTP, an empty object is treated as absent.
        """

    def put_object(self, key: str, body: bytes) -> Result[None, StoreError]:
        """Write a whole object, replacing an existing one."""


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
    """The platform's list of running VMs, including those that will stop."""

    def vms(self) -> Result[list[Vm], StoreError]:
        """Read the list."""
