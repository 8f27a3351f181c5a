"""Replaces replicas that restarted under another id at their address.

Handles a failure domain whose engines restart under new ids while the platform's store
is down, so that the list of replicas names none of them. The router that finds such a
successor tells the others. Without that, each router would learn each successor by a
request of its own that is answered 421, and the repeats of these requests would use up
the bound that all routers share.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable
from typing import Annotated

import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.ids import RouterId
from boragedeck.interfaces import FactBoard
from boragedeck.process.membership.fact_store import MAX_BODY_BYTES
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import Replica, ReplicaId
from boragedeck.version.routing import RoutingTable

__all__ = ["ReplicaSuccessors", "SuccessorOutcome"]

FACT_TTL_S = 60.0
"""How long routers keep the fact, so that routers that start later receive it, too."""
RETRY_INTERVAL_S = 0.25
"""How often what waits for the list or for another router's fact is checked again."""
MAX_MODELS = 32
"""Maximum number of models in a fact."""
MAX_WAITING = 256
MAX_DISPLACED = 256

_log = PartLog("replicas")

_SendableId = Annotated[
    ReplicaId, msgspec.Meta(pattern=r"\A(?! )[^\x00-\x1f\x7f-\x9f]+(?<! )\Z")
]
"""An id that can be sent in a header, as the ids of entries; an empty one could be
taken for none."""


class SuccessorOutcome(enum.Enum):
    """How this router learnt of a successor that it uses, or why it uses none."""

    FOUND = "found"
    """It answered this router."""
    TOLD = "told"
    """Another router found it."""
    OUTDATED = "outdated"
    """Another router found it, and this router or the store knows something newer."""
    OTHER_POOL = "other_pool"
    """It serves other models than the replica before."""


class _SuccessorFact(msgspec.Struct, frozen=True, array_like=True):
    """Body of the fact about the replica at an address, which is the fact's key.

    Parameters
    ----------
    listed, replica : ReplicaId
        The replica that the finder's list names there, and the one that answered.
    models : tuple of str
        The models that it serves, by its report.
    age_s : float
        Seconds from its answer to the publication.
    """

    listed: ReplicaId
    replica: _SendableId
    models: tuple[str, ...]
    age_s: float


class _Told(msgspec.Struct, frozen=True):
    """A successor that another router has found, with the time on this clock."""

    address: str
    fact: _SuccessorFact
    found_at: float
    told_by: RouterId


class _Displaced(msgspec.Struct, frozen=True):
    """A replica that was lost to another one, of which no report was received."""

    state: ReplicaState
    by: ReplicaId
    at: float


class ReplicaSuccessors:
    """Replaces replicas by those that answered at their addresses.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    registry : ReplicaRegistry
        The replicas.
    board : FactBoard
        Publishes successors to the other routers.
    table : callable
        Returns the routing table in force.
    list_age_s : callable
        Returns how long ago this router's list of replicas was the store's newest
        state, in seconds; None if that isn't known.
    metrics : RelayMetrics
        Counts the successors.

    Notes
    -----
    The word of another router counts only if this router's list hasn't been confirmed
    since, and if the expected replica hasn't answered this router since. It ends no
    requests under way; see `ReplicaRegistry`. Each router judges by its own routing
    table whether the successor belongs to the pool.
    """

    def __init__(
        self,
        timers: TimerService,
        registry: ReplicaRegistry,
        board: FactBoard,
        table: Callable[[], RoutingTable],
        list_age_s: Callable[[], float | None],
        metrics: RelayMetrics,
    ):
        self._timers = timers
        self._registry = registry
        self._board = board
        self._table = table
        self._list_age_s = list_age_s
        self._metrics = metrics
        # By address: the newest facts about addresses at which no replica is known.
        self._waiting: OrderedDict[str, _Told] = OrderedDict()
        self._displaced: OrderedDict[str, _Displaced] = OrderedDict()
        board.subscribe(FactTopic.REPLICA_SUCCESSOR, self._on_fact)
        timers.subscribe(RETRY_INTERVAL_S, self._drop_displaced)
        timers.subscribe(RETRY_INTERVAL_S, self._retry_waiting)

    def note_moved(
        self,
        state: ReplicaState,
        actual: ReplicaId,
        fetch_models: Callable[[], frozenset[str] | None],
    ) -> None:
        """Replace a replica by the one that answered this router at its address.

        Parameters
        ----------
        state : ReplicaState
            The replica that was expected.
        actual : ReplicaId
            The one that answered.
        fetch_models : callable
            Returns the models that the answering replica serves; None if it doesn't
            say. Called only if it isn't registered yet.
        """
        found_at = self._timers.now()
        if self._is_registered(actual, state.replica):
            self._registry.note_lost(state, "another replica at its address")
            return
        models = fetch_models()
        if models is None:
            self._registry.note_lost(state, "another at its address")
            self._note_displaced(state, actual, found_at)
            return
        if not self._serves_pool(models, state.replica):
            self._metrics.successors.labels(SuccessorOutcome.OTHER_POOL.value).inc()
            self._registry.note_lost(state, "another at its address")
            return
        self._add_found(state, actual, models, found_at)

    def _add_found(
        self,
        state: ReplicaState,
        actual: ReplicaId,
        models: frozenset[str],
        found_at: float,
    ) -> None:
        replica = state.replica
        if self._registry.get(replica.replica) is not state:
            # Another one has taken its place while the report was fetched.
            self._registry.note_lost(state, "another replica at its address")
            return
        self._registry.add_successor(replica.replica, actual)
        if not self._is_registered(actual, replica):
            # The list names the successor at another address.
            return
        self._metrics.successors.labels(SuccessorOutcome.FOUND.value).inc()
        if len(models) > MAX_MODELS:
            return
        age_s = self._timers.now() - found_at
        fact = _SuccessorFact(state.listed, actual, tuple(sorted(models)), age_s)
        body = msgspec.msgpack.encode(fact)
        if len(body) > MAX_BODY_BYTES:
            return
        key = str(replica.address)
        self._board.publish(FactTopic.REPLICA_SUCCESSOR, key, body, ttl_s=FACT_TTL_S)

    def _on_fact(self, fact: Fact) -> None:
        if fact.origin == self._board.own:
            return
        try:
            body = msgspec.msgpack.decode(fact.body, type=_SuccessorFact)
        except DECODE_ERRORS as exc:
            _log.write(
                "Fact about a successor can't be parsed.",
                key=fact.key,
                peer=fact.origin,
                error=str(exc),
            )
            return
        age_s = max(0.0, body.age_s) + self._board.age_s(fact)
        found_at = self._timers.now() - age_s
        self._handle(_Told(fact.key, body, found_at, fact.origin))

    def _handle(self, told: _Told) -> None:
        """Use a successor, ignore it, or keep it until its address is known."""
        if self._registry.get(told.fact.replica) is not None:
            return
        if self._is_confirmed_since(told.found_at):
            self._ignore(told, SuccessorOutcome.OUTDATED)
            return
        known = self._state_at_address(told)
        before = known or self._displaced_state(told)
        if before is None:
            self._keep(told)
        elif known is not None and not self._is_newer_than(told, known):
            self._ignore(told, SuccessorOutcome.OUTDATED)
        elif not self._serves_pool(frozenset(told.fact.models), before.replica):
            self._ignore(told, SuccessorOutcome.OTHER_POOL)
        else:
            self._add_told(told, before)

    def _add_told(self, told: _Told, before: ReplicaState) -> None:
        self._metrics.successors.labels(SuccessorOutcome.TOLD.value).inc()
        self._displaced.pop(told.address, None)
        self._registry.put_successor(
            before, told.fact.replica, told.found_at, told.told_by
        )

    def _ignore(self, told: _Told, reason: SuccessorOutcome) -> None:
        self._metrics.successors.labels(reason.value).inc()
        _log.write(
            "Successor ignored.",
            replica=told.fact.replica,
            listed=told.fact.listed,
            reason=reason.value,
            told_by=told.told_by,
            age_s=round(self._timers.now() - told.found_at, 3),
        )

    def _is_newer_than(self, told: _Told, known: ReplicaState) -> bool:
        """Return whether a successor was found after what is known of its address.

        Notes
        -----
        If the lists of the two routers name different replicas there, this one's may be
        the newer list.
        """
        is_same_list = known.listed == told.fact.listed
        return is_same_list and max(known.found_at, known.answered_at) < told.found_at

    def _is_confirmed_since(self, found_at: float) -> bool:
        age_s = self._list_age_s()
        return age_s is not None and self._timers.now() - age_s >= found_at

    def _is_registered(self, replica: ReplicaId, before: Replica) -> bool:
        """Return whether a replica is known at the address and in the pool of one."""
        state = self._registry.get(replica)
        if state is None:
            return False
        entry = state.replica
        return entry.address == before.address and entry.pool == before.pool

    def _serves_pool(self, models: frozenset[str], before: Replica) -> bool:
        return self._table().pool_of_models(models) == before.pool

    def _state_at_address(self, told: _Told) -> ReplicaState | None:
        """Return the replica at an address, or None.

        Notes
        -----
        Other writers may list entries with the same address, which don't count if the
        replica that the finder's list names is still there.
        """
        states = self._registry.all()
        found = [each for each in states if str(each.replica.address) == told.address]
        same = [each for each in found if each.listed == told.fact.listed]
        return next(reversed(same or found), None)

    def _note_displaced(self, state: ReplicaState, by: ReplicaId, at: float) -> None:
        """Keep a lost replica whose successor another router may still verify."""
        address = str(state.replica.address)
        self._displaced[address] = _Displaced(state, by, at)
        self._displaced.move_to_end(address)
        if len(self._displaced) > MAX_DISPLACED:
            self._displaced.popitem(last=False)

    def _displaced_state(self, told: _Told) -> ReplicaState | None:
        """Return the lost replica that a successor replaces, if it was kept."""
        displaced = self._displaced.get(told.address)
        if displaced is None or displaced.state.listed != told.fact.listed:
            return None
        is_same = displaced.by == told.fact.replica
        return displaced.state if is_same or displaced.at < told.found_at else None

    def _keep(self, told: _Told) -> None:
        """Keep a fact until this router's list names a replica at its address."""
        known = self._waiting.get(told.address)
        if known is not None and known.found_at > told.found_at:
            return
        self._waiting[told.address] = told
        self._waiting.move_to_end(told.address)
        if len(self._waiting) > MAX_WAITING:
            self._waiting.popitem(last=False)

    def _drop_displaced(self) -> None:
        """Drop lost replicas if the list of replicas was confirmed after their loss."""
        for address, displaced in list(self._displaced.items()):
            if self._is_confirmed_since(displaced.at):
                del self._displaced[address]

    def _retry_waiting(self) -> None:
        since = self._timers.now() - FACT_TTL_S
        waiting, self._waiting = self._waiting, OrderedDict()
        if not waiting:
            return
        # Collected once, since a search for each fact is slow with many replicas.
        known = {str(address) for address in self._registry.addresses()}
        for told in waiting.values():
            if told.found_at <= since:
                continue
            if told.address in known or self._is_confirmed_since(told.found_at):
                self._handle(told)
            else:
                self._keep(told)
