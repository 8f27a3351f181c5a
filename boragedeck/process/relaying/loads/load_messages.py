"""Messages by which routers exchange the loads that they have put on replicas."""

from boragedeck.connection.messages import Message
from boragedeck.connection.store import Table
from boragedeck.ids import PoolName, RouterId
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.relaying.speeds.speed_messages import RunSpeed, SpeedSample
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
    speed_samples : tuple of SpeedSample
        What the sender's newest streams show of the speeds of replicas; each sample is
        sent several times.
    """

    router: RouterId
    number: int
    loads: dict[ReplicaId, Load]
    newest_row_versions: dict[Table, int]
    speed_samples: tuple[SpeedSample, ...] = ()


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
    speed_samples : tuple of SpeedSample
        The newest samples of the routers that report to the sender; each is sent
        several times.
    """

    router: RouterId
    number: int
    loads: dict[ReplicaId, Load]
    newest_row_versions: dict[Table, int]
    is_full: bool
    speed_samples: tuple[SpeedSample, ...] = ()


class FetchLoads(Message, frozen=True):
    """Requests the loads of a pool from a hub; answered with `PoolLoads`.

    Parameters
    ----------
    router : RouterId
        The requesting router; its own loads are left out.
    pool : PoolName
        The pool.
    with_speeds : bool
        Whether the answer is to name the speeds of the replicas.
    """

    router: RouterId
    pool: PoolName
    with_speeds: bool = False


class PoolLoads(Message, frozen=True):
    """The loads on a pool's replicas by all routers but the requesting one.

    Parameters
    ----------
    loads : dict of ReplicaId to Load
        The loads that aren't zero.
    speeds : tuple of RunSpeed
        The speeds that differ from 1.0, or did so lately, if they were asked for.
    """

    loads: dict[ReplicaId, Load]
    speeds: tuple[RunSpeed, ...] = ()
