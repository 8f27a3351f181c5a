"""Counts at the hubs which requests crashed their replicas.

The load this answers: a failure domain of engines that goes down under hundreds of
routers. Each router loses one stream there and can't see that the others lost theirs
by the same cause, so told to all, the loss of a domain would be a suspicion against
each of its streams in every router.
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
"""So many replicas that crashed under a request speak against it."""
CRASH_TTL_S = 120.0
MAX_FINGERPRINTS = 4_096
COMMON_CAUSE_WINDOW_S = 2.0
"""Replicas of a failure domain that are lost within this time had a common cause."""
MAX_LOSSES = 256
"""Losses of one pool in a failure domain that are kept."""
COUNT_DELAY_S = 1.0
"""How long a hub waits for reports of replicas beside the one that was lost."""
CALL_TIMEOUT_S = 0.5

_log = PartLog("blame")


class ReportCrash(Message, frozen=True):
    """Says that a replica was lost under a request, and no other beside it.

    Parameters
    ----------
    fingerprint : str
        What the request has in common with its repeats.
    replica : ReplicaId
        The replica.
    pool : PoolName
        Its pool.
    domain : FailureDomain
        Where it stood.
    """

    fingerprint: str
    replica: ReplicaId
    pool: PoolName
    domain: FailureDomain


class _Loss(msgspec.Struct, frozen=True):
    replica: ReplicaId
    at: float


class _Report(msgspec.Struct, frozen=True):
    crash: ReportCrash
    at: float


class CrashCounts:
    """Crashes by request, without those that had a common cause.

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
        """Return the replicas that crashed under a request, and alone."""
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
    """Sends reports to the hub that counts a request's crashes, or counts them.

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
        Where other routers report.

    Attributes
    ----------
    on_blamed : callable
        Called with a fingerprint and the replicas that crashed under it, when there
        are `MIN_CRASHES_TO_BLAME` of them or more.
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
        """Tell the hub that counts for this request; waits for its answer."""
        hubs = self._hubs.above() or [self._own, *self._hubs.beside()]
        hub = rank(crash.fingerprint, hubs, lambda member: member.router)[0]
        if hub.router == self._own.router:
            self._on_report(crash)
            return
        link = self._links.link(hub.address)
        answer = link.call(crash, Accepted, timeout_s=CALL_TIMEOUT_S)
        if answer.is_err():
            _log.write(
                "Report lost.",
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
    """Take no notice of a request that crashes replicas."""
