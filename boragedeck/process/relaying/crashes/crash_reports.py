"""Reports to the judge which replicas crashed under this router's requests."""

import functools
import math
from collections import deque
from collections.abc import Callable

import eventlet
import msgspec

from boragedeck.connection.peer import Address
from boragedeck.ids import PoolName, RouterId, Version
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.crashes.crash_messages import (
    CrashSuspect,
    ReportCrash,
)
from boragedeck.process.relaying.crashes.judge_client import JudgeClient
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.replica_state import ReplicaState, Run
from boragedeck.process.timers import TimerService

__all__ = ["SILENT_CONFIRM_S", "CrashReports", "PathKnowledge"]

CONFIRM_S = 0.6
"""How long after a connection broke its replica is lost if it hasn't answered."""
SILENT_CONFIRM_S = 2.0
"""How long after a replica fell silent it is lost if it accepts no connection. A sound
one may be silent for a second or more."""
REPORT_DELAY_S = 0.03
"""How long after a lost replica refused a connection its other connections break."""
PATH_CHECK_POLL_S = 0.05
"""How often a report waits for a check of the path to its replica."""
REPEAT_INTERVAL_S = 1.0
REPEAT_TTL_S = 60.0
"""How long crashes are reported again if another router becomes the judge."""
MAX_REPEATED = 32

_log = PartLog("blame")


class _Break(msgspec.Struct):
    """The connections of one run of a replica that broke at about the same time."""

    at: float
    suspects: list[CrashSuspect] = []
    is_due: bool = False
    confirm_in_s: float = math.inf
    """How long after the first break it is confirmed that the replica is lost."""


class _Report(msgspec.Struct):
    """A crash that was reported, without its age."""

    crash: ReportCrash
    at: float
    judge: RouterId | None = None
    """The judge that has accepted it; a judge that restarts has another id."""


class PathKnowledge:
    """What is known about the paths to replicas; here all are thought to be sound."""

    def is_checking(self, address: Address) -> bool:
        """Return whether it is being found out how a replica is reached."""
        return False

    def is_own_loss(self, address: Address) -> bool:
        """Return whether this router can't reach a replica that others reach."""
        return False

    def is_lost(self, address: Address) -> bool:
        """Return whether no router that was asked reaches a replica."""
        return False

    def accepts(self, address: Address) -> bool:
        """Return whether a replica accepts a connection now."""
        return False


class CrashReports:
    """Finds out which replicas crashed under this router's requests, and reports them.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    judge : JudgeClient
        Receives the reports.
    versions_of : callable
        Returns the versions of the replicas of a pool.
    metrics : RelayMetrics
        Counts reported crashes.
    paths : PathKnowledge, optional
        Tells a lost replica from a lost path to it.

    Notes
    -----
    A broken connection alone is weak evidence, since replicas that keep running break
    off answers, too. A replica is lost if it was removed, refused a connection since,
    or has not answered since. A replica that leaves counts as none.
    """

    def __init__(
        self,
        timers: TimerService,
        judge: JudgeClient,
        versions_of: Callable[[PoolName], set[Version]],
        metrics: RelayMetrics,
        paths: PathKnowledge | None = None,
    ):
        self._timers = timers
        self._judge = judge
        self._versions_of = versions_of
        self._metrics = metrics
        self._paths = paths or PathKnowledge()
        self._breaks: dict[Run, _Break] = {}
        self._reports: deque[_Report] = deque(maxlen=MAX_REPEATED)
        timers.subscribe(REPEAT_INTERVAL_S, self._repeat_reports)

    def note_broken(
        self,
        suspect: CrashSuspect | None,
        state: ReplicaState,
        *,
        is_silent: bool = False,
    ) -> None:
        """Record that a replica broke the connection during a request.

        Parameters
        ----------
        suspect : CrashSuspect or None
            The request; None if it had lasting output.
        state : ReplicaState
            The replica.
        is_silent : bool, optional
            Whether the connection isn't broken, and the replica sends nothing.
        """
        found = self._breaks.get(state.run)
        if found is None:
            found = self._breaks[state.run] = _Break(self._timers.now())
        delay_s = SILENT_CONFIRM_S if is_silent else CONFIRM_S
        if delay_s < found.confirm_in_s:
            found.confirm_in_s = delay_s
            confirm = functools.partial(self._confirm, found, state)
            self._timers.call_later(delay_s, confirm)
        if suspect is not None:
            found.suspects.append(suspect)

    def note_lost(self, state: ReplicaState) -> None:
        """Record that a replica was unreachable."""
        found = self._breaks.get(state.run)
        if found is not None and not found.is_due:
            found.is_due = True
            report = functools.partial(self._report_crash, state.run, state)
            self._timers.call_later(REPORT_DELAY_S, report)

    def _confirm(self, found: _Break, state: ReplicaState) -> None:
        run = state.run
        if self._breaks.get(run) is not found:
            return
        is_lost = self._paths.is_lost(state.replica.address)
        has_answered = state.answered_at > found.at or (
            state.consecutive_misses == 0 and not is_lost
        )
        if state.is_removed or not has_answered:
            eventlet.spawn_n(self._confirm_lost, found, state)
        else:
            del self._breaks[run]

    def _confirm_lost(self, found: _Break, state: ReplicaState) -> None:
        """Report a crash, unless the replica was only silent and lives."""
        was_silent = found.confirm_in_s == SILENT_CONFIRM_S
        address = state.replica.address
        if was_silent and not state.is_removed and self._paths.accepts(address):
            _log.write("Silent replica lives.", replica=state.replica.replica)
            if self._breaks.get(state.run) is found:
                del self._breaks[state.run]
            return
        self._report_crash(state.run, state)

    def _report_crash(self, run: Run, state: ReplicaState) -> None:
        """Report a crash once it is known that the path to the replica isn't lost."""
        address = state.replica.address
        if self._paths.is_checking(address):
            report = functools.partial(self._report_crash, run, state)
            self._timers.call_later(PATH_CHECK_POLL_S, report)
            return
        found = self._breaks.pop(run, None)
        if found is None or state.is_leaving or self._paths.is_own_loss(address):
            return
        replica = state.replica
        crash = ReportCrash(
            run=run,
            pool=replica.pool,
            domain=replica.failure_domain,
            version=replica.version,
            is_only_version=len(self._versions_of(replica.pool)) <= 1,
            age_s=0.0,
            suspects=tuple(found.suspects),
        )
        report = _Report(crash, found.at)
        self._reports.append(report)
        self._metrics.crashes_reported.inc()
        _log.write(
            "Crash reported.",
            replica=run.replica,
            domain=replica.failure_domain,
            suspects=len(found.suspects),
            begun=[each.fingerprint for each in found.suspects if each.has_begun],
            age_s=round(self._timers.now() - found.at, 3),
        )
        eventlet.spawn_n(self._send_report, report, is_first=True)

    def _send_report(self, report: _Report, *, is_first: bool = False) -> None:
        age_s = self._timers.now() - report.at
        crash = msgspec.structs.replace(report.crash, age_s=age_s)
        report.judge = self._judge.report_crash(crash) or report.judge
        if report.judge is None and is_first:
            # Nobody else may judge what only this router can report.
            self._judge.keep_crash(crash)

    def _repeat_reports(self) -> None:
        """Report crashes again if the judge is new or didn't accept them."""
        judge = self._judge.judge()
        since = self._timers.now() - REPEAT_TTL_S
        for report in list(self._reports):
            if report.judge != judge and report.at > since:
                eventlet.spawn_n(self._send_report, report)
