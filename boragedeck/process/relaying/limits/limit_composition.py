"""Builds the parts that keep requests within the limits of replicas."""

from boragedeck.connection.peer import PeerLinks, PeerServer
from boragedeck.interfaces import FactBoard
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.limits.brittle_replicas import BrittleReplicas
from boragedeck.process.relaying.limits.limit_grants import LimitGrants
from boragedeck.process.relaying.limits.replica_limits import ReplicaLimits
from boragedeck.process.relaying.limits.room_grants import RoomGrants
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.timers import TimerService

__all__ = ["make_brittle", "make_limits"]


def make_limits(
    timers: TimerService,
    registry: ReplicaRegistry,
    owners: TaskOwners,
    links: PeerLinks,
    server: PeerServer,
    board: FactBoard,
    metrics: RelayMetrics,
) -> ReplicaLimits:
    """Return the limits that replicas name, counted by one router for all.

    Parameters
    ----------
    timers, registry, owners, links, server, board, metrics
        Parts of the router.
    """
    grants = LimitGrants(timers, owners, links, server)
    return ReplicaLimits(timers, registry, grants, board, metrics)


def make_brittle(
    timers: TimerService,
    registry: ReplicaRegistry,
    owners: TaskOwners,
    links: PeerLinks,
    server: PeerServer,
    board: FactBoard,
    metrics: RelayMetrics,
) -> BrittleReplicas:
    """Return the replicas that bear few rejections, whose room one router grants.

    Parameters
    ----------
    timers, registry, owners, links, server, board, metrics
        Parts of the router.
    """
    grants = RoomGrants(timers, owners, links, server)
    return BrittleReplicas(timers, registry, grants, board, metrics)
