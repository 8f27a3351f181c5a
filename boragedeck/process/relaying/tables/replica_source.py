"""Updates the replica registry from the mirror of the platform's list."""

from collections.abc import Callable

from result import Result

from boragedeck.connection.store import Change
from boragedeck.exceptions import TableError
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.relaying.tables.deleted_entries import DeletedEntries
from boragedeck.process.relaying.tables.mirror_follower import MirrorFollower
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import Replica, ReplicaId

__all__ = ["ReplicaSource"]

CHECK_INTERVAL_S = 0.5
RECHECK_S = 0.2
"""How often it is checked whether an entry that is gone may have lapsed only because
the store had failed."""
RENEWAL_PERIOD_S = 2.2
"""Time within which replicas renew their lapsed entries after a store outage."""

HEARTBEATS_TO_LAPSE = 3.5
"""Number of heartbeat intervals after which a silent replica has no entry any more."""

_log = PartLog("replicas")


class ReplicaSource:
    """Keeps the registry in line with the platform's list.

    Parameters
    ----------
    mirror : TableMirror
        Local copy of the list.
    follower : MirrorFollower
        Provides the state of the connection to the store.
    registry : ReplicaRegistry
        The registry to update.
    decode : callable
        Decodes an entry.
    timers : TimerService
        The source of time.
    heartbeat_s : callable
        Returns how often replicas renew their entries, in seconds.

    Notes
    -----
    An entry that disappears during a store outage, or just after it, may have lapsed
    only because the replica couldn't renew it. The replica is kept until
    `RENEWAL_PERIOD_S` after the outage.

    If the store is restored from an older copy, entries appear that had been deleted.
    They count only if they are still there when those of replicas that no longer renew
    them have lapsed.
    """

    def __init__(
        self,
        mirror: TableMirror,
        follower: MirrorFollower,
        registry: ReplicaRegistry,
        decode: Callable[[str, bytes], Result[Replica, TableError]],
        timers: TimerService,
        heartbeat_s: Callable[[], float],
    ):
        self._mirror = mirror
        self._follower = follower
        self._registry = registry
        self._decode = decode
        self._timers = timers
        self._heartbeat_s = heartbeat_s
        self._deleted = DeletedEntries()
        self._restored_at = float("-inf")
        self._checked_reconnection_at = 0.0
        mirror.subscribe(self._on_change)
        mirror.subscribe_restored(self._note_restored)
        timers.subscribe(CHECK_INTERVAL_S, self.drop_missing)
        timers.subscribe(CHECK_INTERVAL_S, self._drop_unlisted_successors)

    def drop_missing(self) -> None:
        """Remove replicas that have had no entry since the last store outage."""
        if (
            self._renewal_left_s() > 0.0
            or self._checked_reconnection_at == self._follower.reconnected_at
        ):
            return
        self._checked_reconnection_at = self._follower.reconnected_at
        for state in self._registry.all():
            replica = state.replica.replica
            if replica not in self._mirror.rows:
                self._remove_unlisted(state, "no entry since the store outage")

    def _drop_unlisted_successors(self) -> None:
        """Remove successors by another router's word that have written no entry.

        Notes
        -----
        One that runs writes its entry as soon as the store answers. One that answers
        requests is kept.
        """
        answering_since = self._follower.answering_since()
        if answering_since is None:
            return
        lapse_s = HEARTBEATS_TO_LAPSE * self._heartbeat_s()
        for state in self._registry.all():
            known_at = max(answering_since, state.found_at, state.answered_at)
            if state.is_told and self._timers.now() - known_at > lapse_s:
                self._remove_unlisted(state, "successor has no entry")

    def _remove_unlisted(self, state: ReplicaState, cause: str) -> None:
        """Remove a replica without an entry; restore one that it replaced wrongly.

        Notes
        -----
        The word of another router may be wrong. If the store still lists the former
        replica, its entry may not change again, so nothing else would restore it.
        """
        self._registry.remove(state.replica.replica, cause)
        if state.is_told:
            self._put_if_listed(state.listed)

    def _note_restored(self) -> None:
        self._restored_at = self._timers.now()

    def _on_change(self, change: Change) -> None:
        replica = ReplicaId(change.key)
        if change.value is None:
            self._deleted.note(replica, change.version)
            self._remove(replica)
            return
        wait_s = self._lapse_left_s()
        if wait_s > 0.0 and self._deleted.may_be_undone(replica, change.version):
            _log.write(
                "Deleted entry appears again.",
                replica=replica,
                version=change.version,
                checked_in_s=round(wait_s, 3),
            )
            self._timers.call_later(wait_s, lambda: self._put_if_listed(replica))
            return
        self._deleted.forget(replica)
        self._put(change)

    def _put_if_listed(self, replica: ReplicaId) -> None:
        """Accept an entry that hasn't lapsed since the store was restored."""
        row = self._mirror.rows.get(replica)
        if row is not None:
            self._on_change(row)

    def _lapse_left_s(self) -> float:
        lapse_s = HEARTBEATS_TO_LAPSE * self._heartbeat_s()
        return self._restored_at + lapse_s - self._timers.now()

    def _put(self, change: Change) -> None:
        decoded = self._decode(change.key, change.value)
        if decoded.is_err():
            _log.write("Replica entry can't be decoded.", error=str(decoded.err()))
            self._registry.remove(ReplicaId(change.key), "its entry can't be decoded")
            return
        self._registry.put(decoded.ok())

    def _remove(self, replica: ReplicaId) -> None:
        wait_s = self._renewal_left_s()
        if wait_s <= 0.0:
            self._registry.remove(replica, "its entry was deleted")
            return
        # Other routers may tell meanwhile that the store hasn't failed.
        recheck_s = min(wait_s, RECHECK_S)
        self._timers.call_later(recheck_s, lambda: self._remove_missing(replica))

    def _renewal_left_s(self) -> float:
        since = self._follower.answering_since()
        if since is None:
            return RENEWAL_PERIOD_S
        return since + RENEWAL_PERIOD_S - self._timers.now()

    def _remove_missing(self, replica: ReplicaId) -> None:
        if replica not in self._mirror.rows:
            self._remove(replica)
