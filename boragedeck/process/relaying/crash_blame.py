"""Detects requests that crash their replicas, and publishes them to all routers."""

import functools
from collections import OrderedDict

import eventlet
import msgspec
import xxhash

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.ids import OrganisationName
from boragedeck.interfaces import FactBoard
from boragedeck.process.logs import PartLog
from boragedeck.process.relaying.crash_reports import (
    CRASH_TTL_S,
    MAX_FINGERPRINTS,
    MIN_CRASHES_TO_BLAME,
    CrashReports,
    ReportCrash,
)
from boragedeck.process.relaying.replica_state import ReplicaState
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import ReplicaId

__all__ = ["CrashBlame", "fingerprint_of"]

DOMAIN_WINDOW_S = 0.6
"""Replicas of a domain that are lost within this time have a common cause."""

_log = PartLog("blame")


class _BrokenRequest(msgspec.Struct, frozen=True):
    """A request whose replica broke the connection and may have crashed."""

    fingerprint: str
    at: float


def fingerprint_of(
    organisation: OrganisationName | None, path: str, body: bytes
) -> str:
    """Return a hash of a request's organisation, path and body."""
    digest = xxhash.xxh64()
    for part in ((organisation or "").encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class CrashBlame:
    """Counts the replicas that crashed under each request.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    board : FactBoard
        Publishes crashes to the other routers.
    reports : CrashReports, optional
        Counts the crashes in a fleet that has hubs, where only blamed requests are
        published.

    Notes
    -----
    A broken connection alone is weak evidence, since replicas that keep running break
    off answers, too. A replica is lost if it was removed, or has missed an attempt and
    not answered since. A crash is counted if the replica is lost, and no other replica
    of its failure domain was lost at about the same time.
    """

    def __init__(
        self,
        timers: TimerService,
        board: FactBoard,
        reports: CrashReports | None = None,
    ):
        self._reports = reports
        if reports is not None:
            reports.on_blamed = self._publish
        self._timers = timers
        self._board = board
        self._broken: dict[ReplicaId, list[_BrokenRequest]] = {}
        # When replicas were lost, by pool and failure domain.
        self._lost: dict[tuple[str, str], list[tuple[float, ReplicaId]]] = {}
        # When replicas crashed under a request, by its fingerprint.
        self._crashes: OrderedDict[str, dict[ReplicaId, float]] = OrderedDict()
        board.subscribe(FactTopic.CRASH, self._on_fact)

    def is_blamed(self, fingerprint: str) -> bool:
        """Return whether `MIN_CRASHES_TO_BLAME` replicas crashed in `CRASH_TTL_S`."""
        since = self._timers.now() - CRASH_TTL_S
        crash_times = self._crashes.get(fingerprint, {})
        return sum(at > since for at in crash_times.values()) >= MIN_CRASHES_TO_BLAME

    def note_broken(self, fingerprint: str, state: ReplicaState) -> None:
        """Record that a replica broke the connection during a request."""
        replica = state.replica
        broken = self._broken.setdefault(replica.replica, [])
        if not broken:
            confirm = functools.partial(self._confirm_crash, replica.replica, state)
            self._timers.call_later(DOMAIN_WINDOW_S, confirm)
        broken.append(_BrokenRequest(fingerprint, self._timers.now()))
        self.note_lost(state)

    def note_lost(self, state: ReplicaState) -> None:
        """Record that a replica broke the connection or was unreachable."""
        replica = state.replica
        lost = self._lost.setdefault((replica.pool, replica.failure_domain), [])
        now = self._timers.now()
        lost[:] = [entry for entry in lost if now - entry[0] <= 4.0 * DOMAIN_WINDOW_S]
        lost.append((now, replica.replica))

    def _confirm_crash(self, replica: ReplicaId, state: ReplicaState) -> None:
        """Count a crash if the replica is lost and no other one is lost with it."""
        broken = self._broken.pop(replica, [])
        is_lost = state.is_removed or state.consecutive_misses > 0
        if not is_lost or self._has_common_cause(state, broken[0].at):
            return
        for fingerprint in {each.fingerprint for each in broken}:
            if self._reports is not None and self._reports.is_in_use():
                lost_replica = state.replica
                crash = ReportCrash(
                    fingerprint, replica, lost_replica.pool, lost_replica.failure_domain
                )
                eventlet.spawn_n(self._reports.report, crash)
            else:
                self._publish(fingerprint, [replica])

    def _publish(self, fingerprint: str, replicas: list[ReplicaId]) -> None:
        """Publish to all routers which replicas crashed under a request."""
        for replica in replicas:
            key = f"{fingerprint} {replica}"
            self._board.publish(FactTopic.CRASH, key, b"", ttl_s=CRASH_TTL_S)
            self._count_crash(fingerprint, replica)

    def _has_common_cause(self, state: ReplicaState, at: float) -> bool:
        """Return whether another replica of its failure domain was lost about then."""
        place = state.replica.pool, state.replica.failure_domain
        others = {
            replica
            for when, replica in self._lost.get(place, [])
            if abs(when - at) <= DOMAIN_WINDOW_S
        }
        return bool(others - {state.replica.replica})

    def _on_fact(self, fact: Fact) -> None:
        fingerprint, _, replica = fact.key.partition(" ")
        self._count_crash(fingerprint, ReplicaId(replica))

    def _count_crash(self, fingerprint: str, replica: ReplicaId) -> None:
        crash_times = self._crashes.setdefault(fingerprint, {})
        if replica in crash_times:
            return
        crash_times[replica] = self._timers.now()
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > MAX_FINGERPRINTS:
            self._crashes.popitem(last=False)
        _log.write(
            "Crash counted.",
            fingerprint=fingerprint,
            replica=replica,
            crashes=len(crash_times),
            is_blamed=self.is_blamed(fingerprint),
        )
