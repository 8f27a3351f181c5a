"""Handles the notices that replicas send in their answers.

A notice says that the replica is leaving, asks this router to hold off (to send it
nothing for some time), or names a limit on the requests of all routers together.
Handles new software releases, which stop replicas that run hundreds of streams, and
replicas that have no room and refuse requests.
The platform's list of replicas shows a leaving replica late or, during a store outage,
not at all; the replica's own answers show it at once.
"""

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.interfaces import FactBoard
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.limits.brittle_replicas import BrittleReplicas
from boragedeck.process.relaying.limits.replica_limits import ReplicaLimits
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import ReplicaState, Run
from boragedeck.version.replicas import ReplicaId, ReplicaNotice

__all__ = ["ReplicaNotices"]

LEAVING_KEY_PREFIX = "replica/"
LEAVING_TTL_S = 120.0
"""How long routers keep the fact that a replica is leaving, so that routers that start
later receive it, too."""

_log = PartLog("replicas")


class ReplicaNotices:
    """Handles replicas' notices, and tells the other routers which replicas leave.

    Parameters
    ----------
    registry : ReplicaRegistry
        Records which replicas are leaving or held off.
    board : FactBoard
        Publishes to the other routers that a replica is leaving.
    upstreams : UpstreamPool
        Connections to the replicas.
    limits : ReplicaLimits
        Records the limits that replicas name.
    brittle : BrittleReplicas
        Records which replicas are brittle.
    metrics : RelayMetrics
        Counts hold-offs, and leaving replicas, also those that other routers published.

    Notes
    -----
    A run of a replica is its time from one start to its end; see `Run`. Each router
    publishes at most one fact for each run, and none if it received one from another
    router first. A hold-off is not published, since it
    concerns only the router that was asked to wait.
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        board: FactBoard,
        upstreams: UpstreamPool,
        limits: ReplicaLimits,
        brittle: BrittleReplicas,
        metrics: RelayMetrics,
    ):
        self._brittle = brittle
        self._registry = registry
        self._board = board
        self._upstreams = upstreams
        self._limits = limits
        self._metrics = metrics
        board.subscribe(FactTopic.LEAVING, self._on_fact)

    def handle(
        self, state: ReplicaState, notice: ReplicaNotice, *, may_lift: bool = True
    ) -> None:
        """Handle the notice in an answer.

        Parameters
        ----------
        state : ReplicaState
            The replica that gave the answer.
        notice : ReplicaNotice
            The notice.
        may_lift : bool, optional
            Whether the replica's limit ends if the answer names none. That isn't so
            for answers to probes, and for late answers to earlier requests.
        """
        self._limits.note_answer(state, notice.rate_limit, may_lift=may_lift)
        self._brittle.note_answer(state, notice.rejection_limit, may_lift=may_lift)
        if notice.hold_off is not None:
            self._metrics.held_off.inc()
            self._registry.hold_off(state, notice.hold_off)
        if notice.is_leaving and self._note_leaving(state.run, "its answer"):
            key = f"{LEAVING_KEY_PREFIX}{state.run.born_ms}/{state.run.replica}"
            self._board.publish(FactTopic.LEAVING, key, b"", ttl_s=LEAVING_TTL_S)

    def _on_fact(self, fact: Fact) -> None:
        if (
            not fact.key.startswith(LEAVING_KEY_PREFIX)
            or fact.origin == self._board.own
        ):
            return
        born_ms, _, replica = fact.key.removeprefix(LEAVING_KEY_PREFIX).partition("/")
        if not born_ms.isascii() or not born_ms.isdigit() or not replica:
            _log.write(
                "Fact about a leaving replica can't be parsed.",
                key=fact.key,
                peer=fact.origin,
            )
            return
        self._note_leaving(Run(ReplicaId(replica), int(born_ms)), fact.origin)

    def _note_leaving(self, run: Run, told_by: str) -> bool:
        if not self._registry.note_leaving(run, told_by):
            return False
        self._metrics.leaving.inc()
        state = self._registry.get(run.replica)
        if state is not None and state.is_leaving:
            self._upstreams.forget(state.replica.address)
        return True
