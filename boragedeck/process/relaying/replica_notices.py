"""Acts on what replicas say of themselves in their answers.

The load this answers: a release that takes replicas away under hundreds of streams, and
replicas that are full and turn requests away. The list tells of a leaving replica late
or, while the store is away, not at all; its own answers tell at once.
"""

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.interfaces import FactBoard
from boragedeck.process.logs import PartLog
from boragedeck.process.relaying.registry import ReplicaRegistry
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replica_state import ReplicaState, Run
from boragedeck.version.replicas import ReplicaId, ReplicaNotice

__all__ = ["ReplicaNotices"]

KEY_PREFIX = "replica/"
LEAVING_TTL_S = 120.0
"""How long routers that start later are told of a replica that leaves."""

_log = PartLog("replicas")


class ReplicaNotices:
    """Takes replicas' notices, and tells the other routers which replicas leave.

    Parameters
    ----------
    registry : ReplicaRegistry
        Where they are noted.
    board : FactBoard
        Spreads them.
    upstreams : UpstreamPool
        Connections to the replicas.
    metrics : RelayMetrics
        Where they are counted.

    Notes
    -----
    Each router states a fact once for each run of a replica, and none where it heard
    of it from another router first. That a replica asked one router to wait is not told
    to the others: it says nothing about them.
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        board: FactBoard,
        upstreams: UpstreamPool,
        metrics: RelayMetrics,
    ):
        self._registry = registry
        self._board = board
        self._upstreams = upstreams
        self._metrics = metrics
        board.subscribe(FactTopic.LEAVING, self._on_fact)

    def handle(self, state: ReplicaState, notice: ReplicaNotice) -> None:
        """Act on the notice in an answer.

        Parameters
        ----------
        state : ReplicaState
            The replica that gave the answer.
        notice : ReplicaNotice
            What it said.
        """
        if notice.hold_off is not None:
            self._metrics.held_off.inc()
            self._registry.hold_off(state, notice.hold_off)
        if notice.is_leaving and self._note_leaving(state.run, "its answer"):
            key = f"{KEY_PREFIX}{state.run.born_ms}/{state.run.replica}"
            self._board.publish(FactTopic.LEAVING, key, b"", ttl_s=LEAVING_TTL_S)

    def _on_fact(self, fact: Fact) -> None:
        if not fact.key.startswith(KEY_PREFIX) or fact.origin == self._board.own:
            return
        born_ms, _, replica = fact.key.removeprefix(KEY_PREFIX).partition("/")
        if not born_ms.isascii() or not born_ms.isdigit() or not replica:
            _log.write("Fact can't be read.", key=fact.key, peer=fact.origin)
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
