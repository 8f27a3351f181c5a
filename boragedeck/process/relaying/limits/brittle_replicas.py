"""What is known of brittle replicas, and the places that requests take there."""

from functools import partial

import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.interfaces import FactBoard
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.limits.room_grants import RoomGrants, RoomLease
from boragedeck.process.relaying.limits.room_messages import TakeRoom
from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import ReplicaState, Run
from boragedeck.process.relaying.replicas.restraint import Reason
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import RejectionLimit, ReplicaId

__all__ = ["BrittleReplicas"]

FACT_TTL_S = 60.0
DEFERRAL_S = 0.05
"""How long a replica without room is passed over while others have room."""
MIN_REJECTIONS_PER_S = 1.0
"""The fewest rejections that are reckoned with: a request shows that room is back."""

_log = PartLog("room")


class _BrittleFact(msgspec.Struct, frozen=True, array_like=True):
    """Body of the fact that a run of a replica is brittle, or sound again."""

    replica: ReplicaId
    born_ms: int
    rejections_per_s: float | None
    age_s: float


class BrittleReplicas:
    """The brittle replicas as this router knows them.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    registry : ReplicaRegistry
        The replicas.
    grants : RoomGrants
        Leases the places.
    board : FactBoard
        Tells the other routers which replicas are brittle.
    metrics : RelayMetrics
        Counts changes and denied places.
    """

    def __init__(
        self,
        timers: TimerService,
        registry: ReplicaRegistry,
        grants: RoomGrants,
        board: FactBoard,
        metrics: RelayMetrics,
    ):
        self._timers = timers
        self._registry = registry
        self._grants = grants
        self._board = board
        self._metrics = metrics
        board.subscribe(FactTopic.BRITTLE_REPLICA, self._on_fact)

    def note_answer(
        self,
        state: ReplicaState,
        limit: RejectionLimit | None,
        *,
        may_lift: bool = True,
    ) -> None:
        """Record what an answer of a replica says.

        Parameters
        ----------
        state : ReplicaState
            The replica.
        limit : RejectionLimit or None
            How many rejections it bears; one that can't be parsed changes nothing.
        may_lift : bool, optional
            Whether it is sound if the answer names none.
        """
        if limit is None and not may_lift:
            return
        if limit is not None and limit.per_s is None:
            _log.write(
                "Rejection limit can't be parsed.",
                replica=state.replica.replica,
                named=limit.text,
            )
            return
        per_s = None if limit is None else max(MIN_REJECTIONS_PER_S, limit.per_s)
        if self._merge(state, per_s, self._timers.now(), "its answer"):
            self._publish(state)

    def take(
        self, place: Place, max_wait_s: float, lease_s: float, request: str
    ) -> bool:
        """Take room at a brittle replica for a place; return whether there is any.

        Parameters
        ----------
        place : Place
            The place, which returns the room when it is released.
        max_wait_s : float
            The longest time that the request can wait, in seconds.
        lease_s : float
            How long the request may take, in seconds.
        request : str
            The id of the request, for the log.
        """
        state = place.state
        question = TakeRoom(
            state.run,
            state.replica.slots,
            state.rejections_per_s,
            max_wait_s,
            lease_s,
        )
        lease = self._grants.take(question)
        if lease is not None:
            place.on_released.append(partial(self._release, place, lease))
            return True
        self._metrics.room_denied.inc()
        _log.write(
            "No room.",
            request=request,
            replica=state.replica.replica,
            rejections_per_s=state.rejections_per_s,
            max_wait_s=round(max_wait_s, 3),
        )
        now = self._timers.now()
        state.next_turn_at = now + DEFERRAL_S
        state.restraints.extend(Reason.LIMITED, now + DEFERRAL_S)
        return False

    def _release(self, place: Place, lease: RoomLease) -> None:
        self._grants.release(lease, is_rejected=place.is_rejected)

    def _publish(self, state: ReplicaState) -> None:
        run = state.run
        fact = _BrittleFact(run.replica, run.born_ms, state.rejections_per_s, 0.0)
        key = f"{run.born_ms}/{run.replica}"
        body = msgspec.msgpack.encode(fact)
        self._board.publish(FactTopic.BRITTLE_REPLICA, key, body, ttl_s=FACT_TTL_S)

    def _on_fact(self, fact: Fact) -> None:
        try:
            found = msgspec.msgpack.decode(fact.body, type=_BrittleFact)
        except DECODE_ERRORS as exc:
            _log.write("Fact can't be parsed.", peer=fact.origin, error=str(exc))
            return
        state = self._registry.get(found.replica)
        if state is None or state.run != Run(found.replica, found.born_ms):
            return
        observed_at = self._timers.now() - found.age_s - self._board.age_s(fact)
        self._merge(state, found.rejections_per_s, observed_at, fact.origin)

    def _merge(
        self,
        state: ReplicaState,
        per_s: float | None,
        observed_at: float,
        told_by: str,
    ) -> bool:
        """Merge what is known; return whether it has changed."""
        if observed_at < state.brittle_known_at:
            return False
        state.brittle_known_at = observed_at
        if per_s == state.rejections_per_s:
            return False
        before, state.rejections_per_s = state.rejections_per_s, per_s
        self._metrics.brittle_changes.labels(
            "sound" if per_s is None else "brittle"
        ).inc()
        _log.write(
            "Replica is sound." if per_s is None else "Replica is brittle.",
            replica=state.replica.replica,
            rejections_per_s=per_s,
            before=before,
            told_by=told_by,
        )
        return True
