"""The replicas that this router knows, and what it has learnt of each."""

import math
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from boragedeck.connection.peer import Address
from boragedeck.ids import PoolName
from boragedeck.process.logs import PartLog
from boragedeck.process.relaying.replica_state import ReplicaState, Run
from boragedeck.process.relaying.restraint import Reason, Restraints
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import HoldOff, Replica, ReplicaId

__all__ = ["ReplicaRegistry"]

MIN_DOMAIN_MISSES = 2
"""So many replicas of a failure domain that are missed together speak for its loss."""
DOMAIN_WINDOW_S = 0.5
DOMAIN_AVOID_S = 0.5
"""For so long the rest of a failure domain is avoided, unless it answers."""
MAX_HOLD_S = 60.0
"""The longest time for which a replica is obeyed that asks for nothing to be sent."""
DEFAULT_HOLD_S = 1.0
"""How long it is left alone when the time that it asks for can't be read."""
MAX_ABSENT_RUNS = 1_024
"""Runs of replicas that left the list, whose restraints are kept for their return."""

_log = PartLog("replicas")


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
        self._absent_restraints: OrderedDict[Run, Restraints] = OrderedDict()
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call after each change of the set of replicas."""
        self._callbacks.append(callback)

    def note_leaving(self, run: Run, told_by: str) -> bool:
        """Note that a run of a replica takes no further requests.

        Parameters
        ----------
        run : Run
            The run; another one with its id or its address isn't concerned.
        told_by : str
            Who said so, for the log.

        Returns
        -------
        bool
            Whether that is news.
        """
        state = self._states.get(run.replica)
        is_listed = state is not None and _is_same_run(run, state.run)
        restraints = state.restraints if is_listed else self._store_absent(run)
        if not restraints.extend(Reason.LEAVING, math.inf):
            return False
        _log.write(
            "Replica leaves.",
            replica=run.replica,
            born_ms=run.born_ms,
            told_by=told_by,
            is_known=is_listed,
        )
        self._notify_subscribers()
        return True

    def hold_off(self, state: ReplicaState, requested: HoldOff) -> None:
        """Send a replica nothing for as long as it asked, within bounds."""
        asked_s = requested.asked_s
        hold_s = DEFAULT_HOLD_S if asked_s is None else min(asked_s, MAX_HOLD_S)
        now = self._timers.now()
        state.note_output(now)
        if state.restraints.extend(Reason.HELD_OFF, now + hold_s):
            _log.write(
                "Replica held off.",
                replica=state.replica.replica,
                hold_s=round(hold_s, 3),
                asked=requested.text,
                is_bounded=asked_s is None or asked_s > MAX_HOLD_S,
            )

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
        if state.is_leaving:
            # It ended as it said, which tells nothing of its failure domain.
            return
        domain_states = [
            other
            for other in self.of_pool(state.replica.pool)
            if other.replica.failure_domain == state.replica.failure_domain
        ]
        missed = sum(
            now - other.missed_at <= DOMAIN_WINDOW_S for other in domain_states
        )
        if missed < MIN_DOMAIN_MISSES:
            return
        for other in domain_states:
            if now - other.answered_at > DOMAIN_WINDOW_S:
                other.restraints.extend(Reason.AVOIDED, now + DOMAIN_AVOID_S)

    def add_successor(self, old: ReplicaId, new: ReplicaId) -> None:
        """Take a replica for the successor of another at its address.

        Notes
        -----
        Its own entry isn't known yet, as while the store is away.
        """
        state = self._states.get(old)
        if state is None or new in self._states:
            return
        self.remove_lost(old, "another at its address")
        replica = msgspec.structs.replace(state.replica, replica=new, born_ms=0)
        _log.write("Replica adopted.", replica=new, before=old)
        self.put(replica)
        self._states[new].is_provisional = True

    def put(self, replica: Replica) -> None:
        """Take what a replica states of itself."""
        state = self._states.get(replica.replica)
        is_provisional = state is not None and state.is_provisional
        if is_provisional:
            state.is_provisional = False
        elif state is not None and state.replica.born_ms != replica.born_ms:
            # It started again under its id and holds nothing of before.
            self.remove(replica.replica, "restarted")
            state = None
        if state is None:
            state = self._states[replica.replica] = ReplicaState(replica)
            restored = self._absent_restraints.pop(state.run, None)
            if restored is not None:
                state.restraints = restored
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
        self._notify_subscribers()

    def remove(self, replica: ReplicaId, cause: str) -> None:
        """Forget a replica, which gets no further requests."""
        state = self._states.pop(replica, None)
        if state is None:
            return
        _log.write("Replica removed.", replica=replica, cause=cause)
        state.is_removed = True
        if not state.restraints.may_send(self._timers.now()):
            self._store_absent(state.run, state.restraints)
        self._notify_subscribers()

    def remove_lost(self, replica: ReplicaId, cause: str) -> None:
        """Forget a replica that no longer runs, and end what it was running."""
        state = self._states.get(replica)
        self.remove(replica, cause)
        if state is not None:
            for callback in list(state.on_lost):
                callback()

    def _store_absent(
        self, run: Run, restraints: Restraints | None = None
    ) -> Restraints:
        """Keep what is known of a run that has no entry, which may come back."""
        kept = self._absent_restraints.setdefault(run, restraints or Restraints())
        self._absent_restraints.move_to_end(run)
        if len(self._absent_restraints) > MAX_ABSENT_RUNS:
            self._absent_restraints.popitem(last=False)
        return kept

    def _drop_predecessors(self, replica: Replica) -> None:
        """Forget the replicas that had the address before."""
        for other in list(self._states.values()):
            is_same = other.replica.replica == replica.replica
            if other.replica.address == replica.address and not is_same:
                is_older = other.replica.born_ms <= replica.born_ms
                if is_older or not replica.born_ms:
                    self.remove_lost(other.replica.replica, "address taken over")

    def _notify_subscribers(self) -> None:
        for callback in self._callbacks:
            callback()


def _is_same_run(run: Run, other: Run) -> bool:
    """Return whether two names stand for one run, as far as is known."""
    is_unknown = 0 in (run.born_ms, other.born_ms)
    return run.replica == other.replica and (is_unknown or run == other)
