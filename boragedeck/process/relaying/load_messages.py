"""Messages by which routers tell each other what they have sent to replicas."""

from boragedeck.connection.messages import Message
from boragedeck.connection.store import Table
from boragedeck.ids import PoolName, RouterId
from boragedeck.process.relaying.replica_state import Load
from boragedeck.version.replicas import ReplicaId

__all__ = ["FetchLoads", "LoadSum", "LoadUpdate", "PoolLoads"]


class LoadUpdate(Message, frozen=True):
    """What a router has sent to each replica that has not ended.

    Parameters
    ----------
    router : RouterId
        The sender.
    number : int
        Counts the sender's updates; the highest one holds.
    loads : dict of ReplicaId to Load
        The loads that aren't zero.
    newest_row_versions : dict of Table to int
        The newest change of a row in each mirror of the sender.
    """

    router: RouterId
    number: int
    loads: dict[ReplicaId, Load]
    newest_row_versions: dict[Table, int]


class LoadSum(Message, frozen=True):
    """What the routers that tell a hub have sent, from one hub to another.

    Parameters
    ----------
    router : RouterId
        The hub that sends it.
    number : int
        Counts the sender's sums; older ones than one that came have no effect.
    loads : dict of ReplicaId to Load
        Sums as they are now: all that aren't zero where `is_full`, else those that
        have changed since the sum before.
    newest_row_versions : dict of Table to int
        As in `LoadUpdate`.
    is_full : bool
        Whether replicas that aren't named have no load.
    """

    router: RouterId
    number: int
    loads: dict[ReplicaId, Load]
    newest_row_versions: dict[Table, int]
    is_full: bool


class FetchLoads(Message, frozen=True):
    """Asks a hub for the loads of a pool; answered with `PoolLoads`.

    Parameters
    ----------
    router : RouterId
        The router that asks, whose own loads are left out.
    pool : PoolName
        The pool.
    """

    router: RouterId
    pool: PoolName


class PoolLoads(Message, frozen=True):
    """What all routers but the one that asks have sent to a pool.

    Parameters
    ----------
    loads : dict of ReplicaId to Load
        The loads that aren't zero.
    """

    loads: dict[ReplicaId, Load]
