"""Messages by which routers exchange the loads that they have put on replicas."""

from boragedeck.connection.messages import Message
from boragedeck.connection.store import Table
from boragedeck.ids import PoolName, RouterId
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.version.replicas import ReplicaId

__all__ = ["FetchLoads", "LoadSum", "LoadUpdate", "PoolLoads"]


class LoadUpdate(Message, frozen=True):
    """The unfinished work that a router has sent to each replica.

    Parameters
    ----------
    router : RouterId
        The sender.
    number : int
        Counts the sender's updates; the update with the highest number is valid.
    loads : dict of ReplicaId to Load
        The loads that aren't zero.
    newest_row_versions : dict of Table to int
        The newest row version in each mirror of the sender.
    """

    router: RouterId
    number: int
    loads: dict[ReplicaId, Load]
    newest_row_versions: dict[Table, int]


class LoadSum(Message, frozen=True):
    """The summed loads of the routers that report to a hub, sent to another hub.

    Parameters
    ----------
    router : RouterId
        The hub that sends it.
    number : int
        Counts the sender's sums; a sum older than one already received is ignored.
    loads : dict of ReplicaId to Load
        The current sums: all non-zero ones if `is_full`, otherwise those that have
        changed since the last message.
    newest_row_versions : dict of Table to int
        As in `LoadUpdate`.
    is_full : bool
        Whether replicas missing from `loads` have no load.
    """

    router: RouterId
    number: int
    loads: dict[ReplicaId, Load]
    newest_row_versions: dict[Table, int]
    is_full: bool


class FetchLoads(Message, frozen=True):
    """Requests the loads of a pool from a hub; answered with `PoolLoads`.

    Parameters
    ----------
    router : RouterId
        The requesting router; its own loads are left out.
    pool : PoolName
        The pool.
    """

    router: RouterId
    pool: PoolName


class PoolLoads(Message, frozen=True):
    """The loads on a pool's replicas by all routers but the requesting one.

    Parameters
    ----------
    loads : dict of ReplicaId to Load
        The loads that aren't zero.
    """

    loads: dict[ReplicaId, Load]
