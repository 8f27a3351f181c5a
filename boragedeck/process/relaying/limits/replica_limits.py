"""Limits that replicas in need name on the requests of all routers together."""

import enum

import eventlet
import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.interfaces import FactBoard
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.limits.limit_grants import LimitGrants
from boragedeck.process.relaying.limits.limit_messages import (
    ReportLimit,
    ReturnSend,
    SendDecision,
    TakeSend,
)
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import (
    KnownLimit,
    ReplicaState,
    Run,
)
from boragedeck.process.relaying.replicas.restraint import Reason
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import RateLimit, ReplicaId

__all__ = ["LimitChange", "ReplicaLimits"]

FACT_TTL_S = 60.0
MAX_DEFERRAL_S = 1.0
"""How long a replica is passed over at most before its limit owner is asked again."""

_log = PartLog("limits")


class LimitChange(enum.Enum):
    """How a router's knowledge of a replica's limit changes."""

    NAMED = "named"
    CHANGED = "changed"
    LIFTED = "lifted"


class _LimitFact(msgspec.Struct, frozen=True, array_like=True):
    """Body of the fact about the limit of a run of a replica, by its limit owner."""

    replica: ReplicaId
    born_ms: int
    per_s: float | None
    age_s: float


class ReplicaLimits:
    """The limits that replicas name, as this router knows them, and its sends to them.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    registry : ReplicaRegistry
        The replicas.
    grants : LimitGrants
        Grants the sends to limited replicas.
    board : FactBoard
        Publishes changed limits to the other routers.
    metrics : RelayMetrics
        Counts the changes, and the decisions about sends.

    Attributes
    ----------
    grants : LimitGrants
        Grants the sends to limited replicas.
    """

    def __init__(
        self,
        timers: TimerService,
        registry: ReplicaRegistry,
        grants: LimitGrants,
        board: FactBoard,
        metrics: RelayMetrics,
    ):
        self._timers = timers
        self._registry = registry
        self.grants = grants
        self._board = board
        self._metrics = metrics
        grants.on_change = self._publish
        board.subscribe(FactTopic.REPLICA_LIMIT, self._on_fact)

    def note_answer(
        self,
        state: ReplicaState,
        rate_limit: RateLimit | None,
        *,
        may_lift: bool = True,
    ) -> None:
        """Record what an answer of a replica says about its limit.

        Parameters
        ----------
        state : ReplicaState
            The replica that gave the answer.
        rate_limit : RateLimit or None
            The limit that the answer names. One that can't be parsed changes nothing.
        may_lift : bool, optional
            Whether the limit ends if the answer names none.
        """
        if rate_limit is None and not may_lift:
            return
        if rate_limit is not None and rate_limit.per_s is None:
            _log.write(
                "Limit can't be parsed.",
                replica=state.replica.replica,
                named=rate_limit.text,
            )
            return
        per_s = None if rate_limit is None else rate_limit.per_s
        if self._merge(state, KnownLimit(per_s, self._timers.now()), "its answer"):
            # In a thread of its own, since the caller waits for the answer's body.
            eventlet.spawn_n(self.grants.report, ReportLimit(state.run, per_s, 0.0))

    def take(
        self, state: ReplicaState, max_wait_s: float, request: str
    ) -> SendDecision:
        """Take one send to a limited replica.

        Parameters
        ----------
        state : ReplicaState
            The replica.
        max_wait_s : float
            The longest time that the request can wait, in seconds.
        request : str
            The id of the request, for the log.
        """
        now, known = self._timers.now(), state.limit
        age_s = now - known.observed_at
        question = TakeSend(state.run, known.per_s, age_s, max_wait_s)
        decision = self.grants.take(question)
        self._note_decision(state, decision)
        outcome = "granted" if decision.is_granted else "denied"
        self._metrics.limited_sends.labels(outcome).inc()
        _log.write(
            f"Send {outcome}.",
            request=request,
            replica=state.replica.replica,
            per_s=decision.per_s,
            age_s=round(decision.age_s, 3),
            wait_s=round(decision.wait_s, 3),
            max_wait_s=round(max_wait_s, 3),
            asked_s=round(self._timers.now() - now, 3),
        )
        return decision

    def give_back(self, state: ReplicaState, turn_at: float) -> None:
        """Return a send that was granted to a request which has ended.

        Parameters
        ----------
        state : ReplicaState
            The replica.
        turn_at : float
            When the request might have been sent, on the timer service's clock.
        """
        wait_s = turn_at - self._timers.now()
        if wait_s > 0.0:
            # In a thread of its own, since the request's own one is being ended.
            eventlet.spawn_n(self.grants.give_back, ReturnSend(state.run, wait_s))

    def _note_decision(self, state: ReplicaState, decision: SendDecision) -> None:
        now = self._timers.now()
        known = KnownLimit(decision.per_s, now - decision.age_s)
        self._merge(state, known, "its limit owner")
        if state.is_limited:
            state.next_turn_at = now + decision.wait_s
            until = now + min(decision.wait_s, MAX_DEFERRAL_S)
            state.restraints.extend(Reason.LIMITED, until)

    def _publish(self, run: Run, known: KnownLimit) -> None:
        """Publish a limit as its limit owner."""
        age_s = self._timers.now() - known.observed_at
        fact = _LimitFact(run.replica, run.born_ms, known.per_s, age_s)
        key = f"{run.born_ms}/{run.replica}"
        body = msgspec.msgpack.encode(fact)
        self._board.publish(FactTopic.REPLICA_LIMIT, key, body, ttl_s=FACT_TTL_S)

    def _on_fact(self, fact: Fact) -> None:
        try:
            limit = msgspec.msgpack.decode(fact.body, type=_LimitFact)
        except DECODE_ERRORS as exc:
            _log.write(
                "Fact about a limit can't be parsed.", peer=fact.origin, error=str(exc)
            )
            return
        state = self._registry.get(limit.replica)
        if state is None or state.run != Run(limit.replica, limit.born_ms):
            return
        age_s = limit.age_s + self._board.age_s(fact)
        observed_at = self._timers.now() - age_s
        self._merge(state, KnownLimit(limit.per_s, observed_at), fact.origin)

    def _merge(self, state: ReplicaState, known: KnownLimit, told_by: str) -> bool:
        """Merge what is known of a limit; return whether the limit has changed."""
        before = state.limit
        if known.observed_at < before.observed_at:
            return False
        state.limit = known
        if before.per_s == known.per_s:
            return False
        state.restraints.lift(Reason.LIMITED)
        change = _change(before, known)
        self._metrics.limit_changes.labels(change.value).inc()
        _log.write(
            f"Limit {change.value}.",
            replica=state.replica.replica,
            born_ms=state.replica.born_ms,
            per_s=known.per_s,
            before_per_s=before.per_s,
            told_by=told_by,
            age_s=round(self._timers.now() - known.observed_at, 3),
        )
        return True


def _change(before: KnownLimit, known: KnownLimit) -> LimitChange:
    if before.per_s is None:
        return LimitChange.NAMED
    return LimitChange.LIFTED if known.per_s is None else LimitChange.CHANGED
