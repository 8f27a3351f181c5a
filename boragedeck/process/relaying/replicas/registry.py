"""Registry of the replicas that this router knows, with the state of each.

A replica's entry is its description in the platform's list. A miss is defined in
`replica_state`.
"""

import math
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from boragedeck.connection.peer import Address
from boragedeck.ids import PoolName, Version
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.replicas.replica_state import ReplicaState, Run
from boragedeck.process.relaying.replicas.restraint import Reason, Restraints
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import HoldOff, Replica, ReplicaId, ReplicaStage

__all__ = ["ReplicaRegistry"]

MIN_DOMAIN_MISSES = 2
"""Number of missed replicas of a failure domain, within `DOMAIN_WINDOW_S`, that
indicates its loss."""
DOMAIN_WINDOW_S = 0.5
DOMAIN_AVOID_S = 0.5
"""How long the other replicas of the failure domain are avoided, unless they answer."""
MAX_HOLD_S = 60.0
"""Maximum time for which a replica can hold off requests."""
DEFAULT_HOLD_S = 1.0
"""How long a replica is held off if the time that it asks for can't be parsed."""
MAX_ABSENT_RUNS = 1_024
"""Maximum number of runs without an entry whose restraints are kept."""

_log = PartLog("replicas")


class ReplicaRegistry:
    """Holds the state of all known replicas, by id.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._states: dict[ReplicaId, ReplicaState] = {}
        # Restraints of runs that have no entry (yet, or any more).
        self._absent_restraints: OrderedDict[Run, Restraints] = OrderedDict()
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after a replica is added, updated, removed or leaving."""
        self._callbacks.append(callback)

    def note_leaving(self, run: Run, told_by: str) -> bool:
        """Record that a run of a replica accepts no further requests.

        Parameters
        ----------
        run : Run
            The run; other runs with the same id or address are not affected.
        told_by : str
            The source of this information, for the log.

        Returns
        -------
        bool
            Whether this was not known before.
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
        """Send a replica no requests for the time that it asked for, within bounds.

        Notes
        -----
        An earlier, longer hold is not shortened.
        """
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
        """Return the state of a replica, or None if it is unknown."""
        return self._states.get(replica)

    def all(self) -> list[ReplicaState]:
        """Return all replicas."""
        return list(self._states.values())

    def addresses(self) -> set[Address]:
        """Return the addresses of all replicas."""
        return {state.replica.address for state in self._states.values()}

    def note_path_changed(self, address: Address) -> None:
        """Forget the misses of a replica whose path has changed.

        Notes
        -----
        The misses tell nothing about the replica if this router's path to it was lost,
        and nothing about the path that it has now.
        """
        state = self.at(address)
        if state is not None:
            state.forget_misses()
            self._notify_subscribers()

    def at(self, address: Address) -> ReplicaState | None:
        """Return the replica that currently has an address, or None."""
        found = (s for s in self._states.values() if s.replica.address == address)
        return next(found, None)

    def of_pool(self, pool: PoolName) -> list[ReplicaState]:
        """Return a pool's replicas that take work; see `ReplicaState.takes_work`."""
        return [
            state
            for state in self._states.values()
            if state.replica.pool == pool and state.takes_work
        ]

    def versions(self, pool: PoolName) -> set[Version]:
        """Return the versions of a pool's replicas, also of those that leave."""
        return {
            state.replica.version
            for state in self._states.values()
            if state.replica.pool == pool
        }

    def note_miss(self, state: ReplicaState) -> None:
        """Record a miss of a replica; avoid its failure domain after several misses."""
        now = self._timers.now()
        state.note_miss(now)
        if state.is_leaving:
            # It ended as announced, which says nothing about its failure domain.
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
        """Replace a replica by its successor at the same address, provisionally.

        Notes
        -----
        The successor's own entry isn't known yet, for example during a store outage, so
        it gets the entry of its predecessor until then.
        """
        state = self._states.get(old)
        if state is None or new in self._states:
            return
        self.remove_lost(old, "another replica at its address")
        replica = msgspec.structs.replace(state.replica, replica=new, born_ms=0)
        _log.write("Successor added.", replica=new, before=old)
        self.put(replica)
        self._states[new].is_provisional = True

    def put(self, replica: Replica) -> None:
        """Add a replica, or update it with its newest entry."""
        state = self._states.get(replica.replica)
        is_provisional = state is not None and state.is_provisional
        if is_provisional:
            state.is_provisional = False
        elif state is not None and state.replica.born_ms != replica.born_ms:
            # It restarted under the same id and has lost its former state.
            self.remove(replica.replica, "restarted")
            state = None
        is_new = state is None
        if state is None:
            state = self._states[replica.replica] = ReplicaState(replica)
            restored = self._absent_restraints.pop(state.run, None)
            if restored is not None:
                state.restraints = restored
            self._drop_predecessors(replica)
        if is_new or is_provisional or state.replica.stage is not replica.stage:
            _log.write(
                "Replica added." if is_new else "Replica updated.",
                replica=replica.replica,
                pool=replica.pool,
                version=replica.version,
                stage=replica.stage.value,
                address=str(replica.address),
            )
        state.replica = replica
        if replica.stage is ReplicaStage.DRAINING:
            # An entry from an older copy of the store may say "ready" again.
            state.restraints.extend(Reason.LEAVING, math.inf)
        self._notify_subscribers()

    def remove(self, replica: ReplicaId, cause: str) -> None:
        """Remove a replica, so that it gets no further requests; `cause` is logged."""
        state = self._states.pop(replica, None)
        if state is None:
            return
        _log.write("Replica removed.", replica=replica, cause=cause)
        state.is_removed = True
        if not state.restraints.may_send(self._timers.now()):
            self._store_absent(state.run, state.restraints)
        self._notify_subscribers()

    def remove_lost(self, replica: ReplicaId, cause: str) -> None:
        """Remove a replica that no longer runs, and end its requests."""
        state = self._states.get(replica)
        self.remove(replica, cause)
        if state is not None:
            for callback in list(state.on_lost):
                callback()

    def _store_absent(
        self, run: Run, restraints: Restraints | None = None
    ) -> Restraints:
        """Keep the restraints of a run without an entry, in case it gets one."""
        kept = self._absent_restraints.setdefault(run, restraints or Restraints())
        self._absent_restraints.move_to_end(run)
        if len(self._absent_restraints) > MAX_ABSENT_RUNS:
            self._absent_restraints.popitem(last=False)
        return kept

    def _drop_predecessors(self, replica: Replica) -> None:
        """Remove the older replicas at the same address."""
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
    """Return whether two ids name the same run; an unknown start time matches any."""
    is_unknown = 0 in (run.born_ms, other.born_ms)
    return run.replica == other.replica and (is_unknown or run == other)
