"""Counts at the hubs which requests crashed their replicas.

Handles the loss of a failure domain of engines under hundreds of routers. Each router
loses one stream there and can't see that the others lost theirs by the same cause. If
each router published its loss, every router would suspect each of the lost streams.
"""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from boragedeck.connection.messages import Accepted, Message
from boragedeck.connection.peer import PeerLinks, PeerServer
from boragedeck.ids import FailureDomain, PoolName
from boragedeck.interfaces import Member
from boragedeck.process.logs import PartLog
from boragedeck.process.relaying.hubs import Hubs
from boragedeck.process.rendezvous import rank
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import ReplicaId

__all__ = ["CrashCounts", "CrashReports", "ReportCrash"]

MIN_CRASHES_TO_BLAME = 3
"""Number of replicas that must crash under a request before it is blamed."""
CRASH_TTL_S = 120.0
"""How long a crash counts against a request."""
MAX_FINGERPRINTS = 4_096
COMMON_CAUSE_WINDOW_S = 2.0
"""Replicas of a failure domain lost within this time have a common cause."""
MAX_LOSSES = 256
"""Maximum number of losses that are kept for one pool in a failure domain."""
COUNT_DELAY_S = 1.0
"""How long a hub waits for reports of other losses in the same failure domain."""
CALL_TIMEOUT_S = 0.5

_log = PartLog("blame")


class ReportCrash(Message, frozen=True):
    """Reports that a replica was lost under a request, and no other one with it.

    Parameters
    ----------
    fingerprint : str
        Hash that the request has in common with its repeats.
    replica : ReplicaId
        The lost replica.
    pool : PoolName
        The replica's pool.
    domain : FailureDomain
        The replica's failure domain.
    """

    fingerprint: str
    replica: ReplicaId
    pool: PoolName
    domain: FailureDomain


class _Loss(msgspec.Struct, frozen=True):
    """A replica that was lost, and when its loss was reported."""

    replica: ReplicaId
    at: float


class _Report(msgspec.Struct, frozen=True):
    """The first report of a crash, and when it was received."""

    crash: ReportCrash
    at: float


class CrashCounts:
    """Counts crashes by request, without losses that had a common cause.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._losses: dict[tuple[PoolName, FailureDomain], list[_Loss]] = {}
        self._reports: OrderedDict[str, dict[ReplicaId, _Report]] = OrderedDict()

    def note(self, report: ReportCrash) -> None:
        """Count a report."""
        now = self._timers.now()
        losses = self._losses.setdefault((report.pool, report.domain), [])
        losses.append(_Loss(report.replica, now))
        del losses[:-MAX_LOSSES]
        reports = self._reports.setdefault(report.fingerprint, {})
        reports.setdefault(report.replica, _Report(report, now))
        self._reports.move_to_end(report.fingerprint)
        if len(self._reports) > MAX_FINGERPRINTS:
            self._reports.popitem(last=False)

    def crashed(self, fingerprint: str) -> list[ReplicaId]:
        """Return the replicas that crashed under a request without a common cause."""
        since = self._timers.now() - CRASH_TTL_S
        reports = self._reports.get(fingerprint, {})
        return [
            replica
            for replica, report in reports.items()
            if report.at > since and not self._has_common_cause(report)
        ]

    def _has_common_cause(self, report: _Report) -> bool:
        crash = report.crash
        return any(
            loss.replica != crash.replica
            and abs(loss.at - report.at) <= COMMON_CAUSE_WINDOW_S
            for loss in self._losses.get((crash.pool, crash.domain), ())
        )


class CrashReports:
    """Sends crash reports to the hub that counts them, or counts them as that hub.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    hubs : Hubs
        The hubs.
    own : Member
        This router.
    links : PeerLinks
        Links to the hubs.
    server : PeerServer
        Receives the reports of other routers.

    Attributes
    ----------
    on_blamed : callable
        Called with a fingerprint and the replicas that crashed under it, if there are
        at least `MIN_CRASHES_TO_BLAME`.
    """

    def __init__(
        self,
        timers: TimerService,
        hubs: Hubs,
        own: Member,
        links: PeerLinks,
        server: PeerServer,
    ):
        self._timers = timers
        self._hubs = hubs
        self._own = own
        self._links = links
        self._counts = CrashCounts(timers)
        self.on_blamed: Callable[[str, list[ReplicaId]], None] = _ignore_blame
        server.register(ReportCrash, self._on_report)

    def is_in_use(self) -> bool:
        """Return whether the fleet has hubs that count."""
        return self._hubs.exist()

    def report(self, crash: ReportCrash) -> None:
        """Send a report to the hub that counts the request; wait for its answer."""
        hubs = self._hubs.serving_hubs() or [self._own, *self._hubs.peer_hubs()]
        hub = rank(crash.fingerprint, hubs, lambda member: member.router)[0]
        if hub.router == self._own.router:
            self._on_report(crash)
            return
        link = self._links.link(hub.address)
        answer = link.call(crash, Accepted, timeout_s=CALL_TIMEOUT_S)
        if answer.is_err():
            _log.write(
                "Crash report failed.",
                fingerprint=crash.fingerprint,
                replica=crash.replica,
                peer=hub.router,
                error=str(answer.err()),
            )

    def _on_report(self, crash: ReportCrash) -> Accepted:
        self._counts.note(crash)
        self._timers.call_later(
            COUNT_DELAY_S, lambda: self._check_count(crash.fingerprint)
        )
        return Accepted()

    def _check_count(self, fingerprint: str) -> None:
        replicas = self._counts.crashed(fingerprint)
        if len(replicas) >= MIN_CRASHES_TO_BLAME:
            self.on_blamed(fingerprint, replicas)


def _ignore_blame(fingerprint: str, replicas: list[ReplicaId]) -> None:
    """Ignore a blamed request."""
