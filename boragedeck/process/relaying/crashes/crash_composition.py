"""Builds the parts that find out which requests crash replicas."""

import random

from boragedeck.connection.peer import PeerLinks, PeerServer
from boragedeck.interfaces import FactBoard
from boragedeck.process.relaying.crashes.crash_blame import CrashBlame, PathKnowledge
from boragedeck.process.relaying.crashes.crash_judge import CrashJudge
from boragedeck.process.relaying.crashes.crash_verdicts import CrashVerdicts
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.timers import TimerService

__all__ = ["make_crash_blame"]


def make_crash_blame(
    timers: TimerService,
    rng: random.Random,
    registry: ReplicaRegistry,
    owners: TaskOwners,
    links: PeerLinks,
    server: PeerServer,
    board: FactBoard,
    metrics: RelayMetrics,
    paths: PathKnowledge | None = None,
) -> CrashBlame:
    """Return what this router knows of crashes, with its own judge.

    Parameters
    ----------
    timers, rng, registry, owners, links, server, board, metrics
        Parts of the router.
    paths : PathKnowledge, optional
        Tells a lost replica from a lost path to it.
    """
    verdicts = CrashVerdicts(timers, board)
    judge = CrashJudge(timers, verdicts, server, metrics)
    return CrashBlame(
        timers,
        owners,
        links,
        judge,
        verdicts,
        registry.versions,
        metrics,
        rng,
        paths,
    )
