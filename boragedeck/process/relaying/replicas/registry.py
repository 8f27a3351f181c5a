"""Registry of the replicas that this router knows, with the state of each.

A replica's entry is its description in the platform's list. A miss is defined in
`replica_state`.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterator

import msgspec

from boragedeck.connection.peer import Address
from boragedeck.ids import PoolName, RouterId, Version
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
MAX_CLAIMED_ADDRESSES = 256
"""Maximum number of addresses for which it is kept who had them before."""
MAX_ABSENT_RUNS = 1_024
"""Maximum number of runs without an entry whose restraints are kept."""

_log = PartLog("replicas")


class ReplicaRegistry:
    """Holds the state of all known replicas, by id.

    Parameters
    ----------
    timers : TimerService
        The source of time.

    Attributes
    ----------
    on_claimed : callable
        Called with a replica whose address a newer entry names.

    Notes
    -----
    Any writer may add an entry with the address of a sound replica. A newer entry of
    the same pool gets the new requests. No entry ends requests under way at a replica
    with the same address: that takes an answer from the address which shows that
    another replica has it.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._states: dict[ReplicaId, ReplicaState] = {}
        # Restraints of runs that have no entry (yet, or any more).
        self._absent_restraints: OrderedDict[Run, Restraints] = OrderedDict()
        self._callbacks: list[Callable[[], None]] = []
        # Replicas whose address a newer entry names, by that address.
        self._claimed: dict[Address, list[ReplicaState]] = {}
        self.on_claimed: Callable[[ReplicaState], None] = lambda state: None

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
        for state in self._all_at(address):
            state.forget_misses()
            self._notify_subscribers()

    def at(self, address: Address) -> ReplicaState | None:
        """Return the replica that has an address, or None.

        Notes
        -----
        Of several entries with the address, the newest one counts.
        """
        return next(reversed(self._all_at(address)), None)

    def of_pool(self, pool: PoolName) -> list[ReplicaState]:
        """Return a pool's replicas that take work; see `ReplicaState.takes_work`."""
        return list(self.iter_pool(pool))

    def iter_pool(self, pool: PoolName) -> Iterator[ReplicaState]:
        """Yield what `of_pool` returns; no other green thread may run meanwhile."""
        for state in self._states.values():
            if state.replica.pool == pool and state.takes_work:
                yield state

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
        if state is None:
            return
        self.remove_lost(old, "another replica at its address")
        if new not in self._states:
            self.put_successor(state, new, self._timers.now())

    def put_successor(
        self,
        before: ReplicaState,
        new: ReplicaId,
        found_at: float,
        told_by: RouterId | None = None,
    ) -> None:
        """Add the successor of a replica provisionally, with its predecessor's entry.

        Parameters
        ----------
        before : ReplicaState
            The predecessor. If it is still registered, it gets no further requests;
            those under way go on.
        new : ReplicaId
            The successor, which isn't registered.
        found_at : float
            When it answered at the address, on the timer service's clock.
        told_by : RouterId, optional
            The other router that found it; None if this one did.
        """
        _log.write(
            "Successor added.",
            replica=new,
            before=before.replica.replica,
            told_by=told_by,
            age_s=round(self._timers.now() - found_at, 3),
        )
        self.put(msgspec.structs.replace(before.replica, replica=new, born_ms=0))
        state = self._states[new]
        state.is_provisional = True
        state.listed = before.listed
        state.found_at = found_at
        state.is_told = told_by is not None

    def put(self, replica: Replica) -> None:
        """Add a replica, or update it with its newest entry."""
        state = self._states.get(replica.replica)
        is_provisional = state is not None and state.is_provisional
        if is_provisional:
            state.is_provisional = state.is_told = False
            state.listed = replica.replica
            state.found_at = float("-inf")
        elif state is not None and state.replica.born_ms != replica.born_ms:
            # It restarted under the same id and has lost its former state.
            self.remove(replica.replica, "restarted")
            state = None
        is_new = state is None
        has_moved = not is_new and state.replica.address != replica.address
        if state is None:
            state = self._states[replica.replica] = ReplicaState(replica)
            restored = self._absent_restraints.pop(state.run, None)
            if restored is not None:
                state.restraints = restored
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
        if is_new or has_moved:
            # The states are in the order in which they got their addresses.
            self._states[replica.replica] = self._states.pop(replica.replica)
            self._note_claim(state)
        self._notify_subscribers()

    def note_present(self, state: ReplicaState) -> None:
        """Record that a replica answered at its address, which no other has then."""
        others = self._claimed.get(state.replica.address)
        if others is None or state in others:
            return
        del self._claimed[state.replica.address]
        for other in others:
            self.note_lost(other, "another answered at its address")

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
        if state is not None:
            self.note_lost(state, cause)

    def note_lost(self, state: ReplicaState, cause: str) -> None:
        """End the requests at a run that is over, and remove it if it is listed."""
        if self._states.get(state.replica.replica) is state:
            self.remove(state.replica.replica, cause)
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

    def _all_at(self, address: Address) -> list[ReplicaState]:
        """Return the replicas whose entries name an address, the newest entry last."""
        return [s for s in self._states.values() if s.replica.address == address]

    def _note_claim(self, state: ReplicaState) -> None:
        """Have the older replicas at an address asked; replace those of the pool."""
        replica = state.replica
        for other in self._all_at(replica.address):
            is_older = other.replica.born_ms <= replica.born_ms or not replica.born_ms
            if other is state or not is_older:
                continue
            _log.write(
                "Address claimed by another entry.",
                replica=other.replica.replica,
                by=replica.replica,
                pool=replica.pool,
                address=str(replica.address),
            )
            if other.replica.pool == replica.pool:
                self.remove(other.replica.replica, "address taken over")
            self._store_claimed(other)
            self.on_claimed(other)

    def _store_claimed(self, state: ReplicaState) -> None:
        others = self._claimed.pop(state.replica.address, [])
        kept = [each for each in others if not each.is_removed or each.on_lost]
        self._claimed[state.replica.address] = [*kept, state]
        if len(self._claimed) > MAX_CLAIMED_ADDRESSES:
            self._claimed.pop(next(iter(self._claimed)))

    def _notify_subscribers(self) -> None:
        for callback in self._callbacks:
            callback()


def _is_same_run(run: Run, other: Run) -> bool:
    """Return whether two ids name the same run; an unknown start time matches any."""
    is_unknown = 0 in (run.born_ms, other.born_ms)
    return run.replica == other.replica and (is_unknown or run == other)
