"""Builds the parts that find out which requests crash replicas."""

import random

import msgspec

from boragedeck.connection.peer import PeerLinks, PeerServer
from boragedeck.connection.store import TableStore
from boragedeck.interfaces import FactBoard
from boragedeck.process.relaying.crashes.crash_admission import CrashAdmission
from boragedeck.process.relaying.crashes.crash_blame import CrashBlame
from boragedeck.process.relaying.crashes.crash_evidence import CrashEvidence
from boragedeck.process.relaying.crashes.crash_judge import CrashJudge
from boragedeck.process.relaying.crashes.crash_memory import CrashMemory
from boragedeck.process.relaying.crashes.crash_reports import (
    CrashReports,
    PathKnowledge,
)
from boragedeck.process.relaying.crashes.crash_store import CrashStore
from boragedeck.process.relaying.crashes.crash_verdicts import CrashVerdicts
from boragedeck.process.relaying.crashes.judge_client import JudgeClient
from boragedeck.process.relaying.crashes.output_reports import OutputReports
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.timers import TimerService

__all__ = ["CrashParts", "make_crash_parts"]


class CrashParts(msgspec.Struct, frozen=True):
    """The parts of a router that find out which requests crash replicas.

    Parameters
    ----------
    blame : CrashBlame
        What relaying a request uses.
    verdicts : CrashVerdicts
        The verdicts in force.
    judge : CrashJudge
        Judges, if this router is the judge.
    store : CrashStore or None
        Keeps what the judge knows; None without a store.
    """

    blame: CrashBlame
    verdicts: CrashVerdicts
    judge: CrashJudge
    store: CrashStore | None


def make_crash_parts(
    timers: TimerService,
    rng: random.Random,
    registry: ReplicaRegistry,
    owners: TaskOwners,
    links: PeerLinks,
    server: PeerServer,
    board: FactBoard,
    metrics: RelayMetrics,
    paths: PathKnowledge | None = None,
    store: TableStore | None = None,
) -> CrashParts:
    """Return what this router knows of crashes, with its own judge.

    Parameters
    ----------
    timers, rng, registry, owners, links, server, board, metrics
        Parts of the router.
    paths : PathKnowledge, optional
        Tells a lost replica from a lost path to it.
    store : TableStore, optional
        The platform's store; without it, what is known ends with the routers.
    """
    verdicts = CrashVerdicts(timers, board)
    evidence = CrashEvidence(timers)
    judge = CrashJudge(timers, evidence, verdicts, server, metrics)
    client = JudgeClient(owners, links, judge)
    blame = CrashBlame(
        CrashAdmission(timers, client, verdicts),
        CrashReports(timers, client, registry.versions, metrics, paths),
        OutputReports(timers, client, verdicts, rng),
        verdicts.on_blamed,
    )
    memory = CrashMemory(timers, evidence, verdicts)
    keeper = store and CrashStore(timers, rng, store, memory, judge, client)
    return CrashParts(blame, verdicts, judge, keeper)
