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

import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.ids import RouterId
from boragedeck.interfaces import FactBoard
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import Replica, ReplicaId
from boragedeck.version.routing import RoutingTable

__all__ = ["ReplicaSuccessors", "SuccessorSource"]

FACT_TTL_S = 60.0
"""How long routers keep the fact, so that routers that start later receive it, too."""
RETRY_INTERVAL_S = 0.25
"""How often facts about addresses without a replica are checked again."""
MAX_MODELS = 32
"""Maximum number of models in a fact."""
MAX_WAITING = 256
MAX_DISPLACED = 256

_log = PartLog("replicas")


class SuccessorSource(enum.Enum):
    """How this router learnt of a successor, or why it doesn't use one."""

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
    before, replica : ReplicaId
        The replica that was expected at the address, and the one that answered.
    models : tuple of str
        The models that it serves, by its report.
    age_s : float
        Seconds from its answer to the publication.
    """

    before: ReplicaId
    replica: ReplicaId
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

    entry: Replica
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
            self._note_displaced(state.replica, actual, found_at)
            return
        if not self._serves_pool(models, state.replica):
            self._metrics.successors.labels(SuccessorSource.OTHER_POOL.value).inc()
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
        is_current = self._registry.get(replica.replica) is state
        self._registry.add_successor(replica.replica, actual)
        if not is_current or self._registry.get(actual) is None:
            # Another one has taken the address during the question.
            return
        self._metrics.successors.labels(SuccessorSource.FOUND.value).inc()
        if len(models) > MAX_MODELS:
            return
        age_s = self._timers.now() - found_at
        fact = _SuccessorFact(replica.replica, actual, tuple(sorted(models)), age_s)
        self._board.publish(
            FactTopic.REPLICA_SUCCESSOR,
            str(replica.address),
            msgspec.msgpack.encode(fact),
            ttl_s=FACT_TTL_S,
        )

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
            self._ignore(told, SuccessorSource.OUTDATED)
            return
        before = self._at(told.address)
        if before is None:
            entry = self._displaced_entry(told)
        elif self._is_newer_than(told, before):
            entry = before.replica
        else:
            self._ignore(told, SuccessorSource.OUTDATED)
            return
        if entry is None:
            self._keep(told)
        elif self._serves_pool(frozenset(told.fact.models), entry):
            self._add_told(told, entry)
        else:
            self._ignore(told, SuccessorSource.OTHER_POOL)

    def _add_told(self, told: _Told, entry: Replica) -> None:
        self._metrics.successors.labels(SuccessorSource.TOLD.value).inc()
        self._displaced.pop(told.address, None)
        self._registry.put_successor(
            entry, told.fact.replica, told.found_at, told.told_by
        )

    def _ignore(self, told: _Told, reason: SuccessorSource) -> None:
        self._metrics.successors.labels(reason.value).inc()
        _log.write(
            "Successor ignored.",
            replica=told.fact.replica,
            before=told.fact.before,
            reason=reason.value,
            told_by=told.told_by,
            age_s=round(self._timers.now() - told.found_at, 3),
        )

    def _is_newer_than(self, told: _Told, known: ReplicaState) -> bool:
        """Return whether a successor was found after what is known of its address.

        Notes
        -----
        If the list names another replica than the one that was expected, the router
        that found the successor had an older list.
        """
        is_expected = known.replica.replica == told.fact.before
        is_found_earlier = known.is_provisional and known.found_at < told.found_at
        is_unheard = known.answered_at < told.found_at
        return is_unheard and (is_expected or is_found_earlier)

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

    def _at(self, address: str) -> ReplicaState | None:
        """Return the replica at an address, the newest if several entries name it."""
        states = self._registry.all()
        found = [state for state in states if str(state.replica.address) == address]
        return found[-1] if found else None

    def _note_displaced(self, entry: Replica, by: ReplicaId, at: float) -> None:
        """Keep an entry that another router's word may still be used with."""
        address = str(entry.address)
        self._displaced[address] = _Displaced(entry, by, at)
        self._displaced.move_to_end(address)
        if len(self._displaced) > MAX_DISPLACED:
            self._displaced.popitem(last=False)

    def _displaced_entry(self, told: _Told) -> Replica | None:
        """Return the entry with which a successor is added where none is left."""
        displaced = self._displaced.get(told.address)
        if displaced is None or displaced.entry.replica != told.fact.before:
            return None
        is_same = displaced.by == told.fact.replica
        return displaced.entry if is_same or displaced.at < told.found_at else None

    def _keep(self, told: _Told) -> None:
        """Keep a fact until this router's list names a replica at its address."""
        known = self._waiting.get(told.address)
        if known is not None and known.found_at > told.found_at:
            return
        self._waiting[told.address] = told
        self._waiting.move_to_end(told.address)
        if len(self._waiting) > MAX_WAITING:
            self._waiting.popitem(last=False)

    def _retry_waiting(self) -> None:
        since = self._timers.now() - FACT_TTL_S
        waiting, self._waiting = self._waiting, OrderedDict()
        for told in waiting.values():
            if told.found_at > since:
                self._handle(told)
