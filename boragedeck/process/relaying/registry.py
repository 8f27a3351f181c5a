"""The replicas that this router knows, and what it has learnt of each."""

from collections.abc import Callable

import msgspec

from boragedeck.connection.peer import Address
from boragedeck.ids import PoolName
from boragedeck.process.logs import PartLog
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import Replica, ReplicaId, ReplicaStage

__all__ = ["Load", "ReplicaRegistry", "ReplicaState"]

FAILURE_WEIGHT = 0.2
"""How much the newest outcome counts in a replica's share of failures."""
FIRST_AVOID_S = 0.4
MAX_AVOID_S = 4.0
DOMAIN_MISSES = 2
"""So many replicas of a failure domain that are missed together speak for its loss."""
DOMAIN_WINDOW_S = 0.5
DOMAIN_AVOID_S = 0.5
"""For so long the rest of a failure domain is avoided, unless it answers."""

_log = PartLog("replicas")


class Load(msgspec.Struct, array_like=True):
    """Work at a replica.

    Parameters
    ----------
    running : int
        Requests that were sent and have not ended.
    unread_tokens : int
        Prompt tokens of those that have not sent their first output.
    tokens : int
        Memory that they take at their ends, in tokens.
    """

    running: int = 0
    unread_tokens: int = 0
    tokens: int = 0

    def copy(self) -> "Load":
        """Return the same load as an object of its own."""
        return Load(self.running, self.unread_tokens, self.tokens)

    def add(self, other: "Load", sign: int = 1) -> None:
        """Add other work, or take it off with a `sign` of -1."""
        self.running += sign * other.running
        self.unread_tokens += sign * other.unread_tokens
        self.tokens += sign * other.tokens


class ReplicaState:
    """One replica as this router sees it.

    Parameters
    ----------
    replica : Replica
        What it states of itself.
    """

    def __init__(self, replica: Replica):
        self.replica = replica
        self.is_adopted = False
        self.missed_at = float("-inf")
        self.answered_at = float("-inf")
        self.own = Load()
        self.peers = Load()
        self.failure_share = 0.0
        self.avoid_until = 0.0
        self.is_gone = False
        self.misses = 0
        self.on_gone: set[Callable[[], None]] = set()

    @property
    def running(self) -> int:
        """Requests at the replica, as far as is known."""
        return self.own.running + self.peers.running

    @property
    def tokens(self) -> int:
        """Memory that its requests take, in tokens."""
        return self.own.tokens + self.peers.tokens

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens that it has still to read."""
        return self.own.unread_tokens + self.peers.unread_tokens

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent."""
        return not self.is_gone and self.replica.stage is ReplicaStage.READY

    def note_answer(self, is_success: bool, now: float) -> None:
        """Note that the replica answered."""
        self.misses = 0
        self.answered_at = now
        self.avoid_until = 0.0
        failed = 0.0 if is_success else 1.0
        self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)

    def note_output(self, now: float) -> None:
        """Note that a part of an answer came, which shows that the replica runs."""
        self.answered_at = now

    def note_miss(self, now: float) -> None:
        """Note that the replica was not reached, broke off or stayed silent."""
        avoid_s = min(MAX_AVOID_S, FIRST_AVOID_S * 2.0**self.misses)
        self.misses += 1
        self.missed_at = now
        self.avoid_until = now + avoid_s
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share)


class ReplicaRegistry:
    """All replicas that are known, by id.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._states: dict[ReplicaId, ReplicaState] = {}
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call after each change of the set of replicas."""
        self._callbacks.append(callback)

    def get(self, replica: ReplicaId) -> ReplicaState | None:
        """Return what is known of a replica."""
        return self._states.get(replica)

    def all(self) -> list[ReplicaState]:
        """Return all replicas."""
        return list(self._states.values())

    def at(self, address: Address) -> ReplicaState | None:
        """Return the replica that has an address now."""
        found = (s for s in self._states.values() if s.replica.address == address)
        return next(found, None)

    def of_pool(self, pool: PoolName) -> list[ReplicaState]:
        """Return the replicas of a pool that take work."""
        return [
            state
            for state in self._states.values()
            if state.replica.pool == pool and state.takes_work
        ]

    def note_miss(self, state: ReplicaState) -> None:
        """Note that a replica was missed, and what that says of those beside it."""
        now = self._timers.now()
        state.note_miss(now)
        beside = [
            other
            for other in self.of_pool(state.replica.pool)
            if other.replica.failure_domain == state.replica.failure_domain
        ]
        missed = sum(now - other.missed_at <= DOMAIN_WINDOW_S for other in beside)
        if missed < DOMAIN_MISSES:
            return
        for other in beside:
            if now - other.answered_at > DOMAIN_WINDOW_S:
                until = now + DOMAIN_AVOID_S
                other.avoid_until = max(other.avoid_until, until)

    def adopt(self, old: ReplicaId, new: ReplicaId) -> None:
        """Take a replica for the successor of another at its address.

        Notes
        -----
        Its own entry isn't known yet, as while the store is away.
        """
        state = self._states.get(old)
        if state is None or new in self._states:
            return
        self.lose(old, "another at its address")
        replica = msgspec.structs.replace(state.replica, replica=new, born_ms=0)
        _log.write("Replica adopted.", replica=new, before=old)
        self.put(replica)
        self._states[new].is_adopted = True

    def put(self, replica: Replica) -> None:
        """Take what a replica states of itself."""
        state = self._states.get(replica.replica)
        is_adopted = state is not None and state.is_adopted
        if is_adopted:
            state.is_adopted = False
        elif state is not None and state.replica.born_ms != replica.born_ms:
            # It started again under its id and holds nothing of before.
            self.remove(replica.replica, "restarted")
            state = None
        if state is None:
            state = self._states[replica.replica] = ReplicaState(replica)
            self._drop_predecessors(replica)
        if state.replica.stage is not replica.stage or not state.replica.born_ms:
            _log.write(
                "Replica stated.",
                replica=replica.replica,
                pool=replica.pool,
                stage=replica.stage.value,
                address=str(replica.address),
            )
        state.replica = replica
        self._call_back()

    def remove(self, replica: ReplicaId, cause: str) -> None:
        """Forget a replica, which gets no further requests."""
        state = self._states.pop(replica, None)
        if state is None:
            return
        _log.write("Replica removed.", replica=replica, cause=cause)
        state.is_gone = True
        self._call_back()

    def lose(self, replica: ReplicaId, cause: str) -> None:
        """Forget a replica that no longer runs, and end what it was running."""
        state = self._states.get(replica)
        self.remove(replica, cause)
        if state is not None:
            for callback in list(state.on_gone):
                callback()

    def _drop_predecessors(self, replica: Replica) -> None:
        """Forget the replicas that had the address before."""
        for other in list(self._states.values()):
            is_same = other.replica.replica == replica.replica
            if other.replica.address == replica.address and not is_same:
                is_older = other.replica.born_ms <= replica.born_ms
                if is_older or not replica.born_ms:
                    self.lose(other.replica.replica, "address taken over")

    def _call_back(self) -> None:
        for callback in self._callbacks:
            callback()
