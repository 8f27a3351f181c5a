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

DOMAIN_MISSES = 2
"""So many replicas of a failure domain that are missed together speak for its loss."""
DOMAIN_WINDOW_S = 0.5
DOMAIN_AVOID_S = 0.5
"""For so long the rest of a failure domain is avoided, unless it answers."""
MAX_HOLD_S = 60.0
"""The longest time for which a replica is obeyed that asks for nothing to be sent."""
UNREADABLE_HOLD_S = 1.0
"""How long it is left alone when the time that it asks for can't be read."""
MAX_REMEMBERED = 1_024
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
        self._remembered: OrderedDict[Run, Restraints] = OrderedDict()
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
        is_here = state is not None and _is_same(run, state.run)
        restraints = state.restraints if is_here else self._remember(run)
        if not restraints.extend(Reason.LEAVING, math.inf):
            return False
        _log.write(
            "Replica leaves.",
            replica=run.replica,
            born_ms=run.born_ms,
            told_by=told_by,
            is_known=is_here,
        )
        self._call_back()
        return True

    def hold_off(self, state: ReplicaState, wish: HoldOff) -> None:
        """Send a replica nothing for as long as it asked, within bounds."""
        asked_s = wish.asked_s
        hold_s = UNREADABLE_HOLD_S if asked_s is None else min(asked_s, MAX_HOLD_S)
        now = self._timers.now()
        state.note_output(now)
        if state.restraints.extend(Reason.HELD_OFF, now + hold_s):
            _log.write(
                "Replica held off.",
                replica=state.replica.replica,
                hold_s=round(hold_s, 3),
                asked=wish.text,
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
                other.restraints.extend(Reason.AVOIDED, now + DOMAIN_AVOID_S)

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
            remembered = self._remembered.pop(state.run, None)
            if remembered is not None:
                state.restraints = remembered
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
        if not state.restraints.may_send(self._timers.now()):
            self._remember(state.run, state.restraints)
        self._call_back()

    def lose(self, replica: ReplicaId, cause: str) -> None:
        """Forget a replica that no longer runs, and end what it was running."""
        state = self._states.get(replica)
        self.remove(replica, cause)
        if state is not None:
            for callback in list(state.on_gone):
                callback()

    def _remember(self, run: Run, restraints: Restraints | None = None) -> Restraints:
        """Keep what is known of a run that has no entry, which may come back."""
        kept = self._remembered.setdefault(run, restraints or Restraints())
        self._remembered.move_to_end(run)
        if len(self._remembered) > MAX_REMEMBERED:
            self._remembered.popitem(last=False)
        return kept

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


def _is_same(run: Run, other: Run) -> bool:
    """Return whether two names stand for one run, as far as is known."""
    is_unknown = 0 in (run.born_ms, other.born_ms)
    return run.replica == other.replica and (is_unknown or run == other)
