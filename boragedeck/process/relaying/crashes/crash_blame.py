"""Reports replicas that crash under this router's requests, and obeys the verdicts."""

import functools
import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable

import eventlet
import msgspec
import xxhash

from boragedeck.connection.messages import Accepted, Message
from boragedeck.connection.peer import Address, PeerLinks
from boragedeck.ids import OrganisationName, PoolName, RouterId, Version
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.crashes.crash_judge import CrashJudge
from boragedeck.process.relaying.crashes.crash_messages import (
    AskTrial,
    CrashSuspect,
    ReportCrash,
    ReportSound,
    Signature,
    TrialDecision,
    VerdictState,
    single_signatures,
)
from boragedeck.process.relaying.crashes.crash_verdicts import (
    CrashVerdicts,
    RequestTraits,
)
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.replica_state import ReplicaState, Run
from boragedeck.process.timers import TimerService

__all__ = ["JUDGE_TASK", "CrashBlame", "fingerprint_of"]

JUDGE_TASK = "judge of crashes"
CONFIRM_S = 0.6
"""How long after a connection broke its replica is lost if it hasn't answered."""
SILENT_CONFIRM_S = 2.0
"""How long after a replica fell silent it is lost if it accepts no connection. A sound
one may be silent for a second or more."""
REPORT_DELAY_S = 0.03
"""How long after a lost replica refused a connection its other connections break."""
PATH_CHECK_POLL_S = 0.05
"""How often a report waits for a check of the path to its replica."""
CALL_TIMEOUT_S = 0.3
TRIAL_TIMEOUT_S = 0.1
"""How long a request waits for the decision about a trial."""
REPEAT_INTERVAL_S = 1.0
REPEAT_TTL_S = 60.0
"""How long crashes are reported again if another router becomes the judge."""
MAX_REPEATED = 32
MAX_SOUND = 4_096
"""Maximum number of signatures whose last output is remembered."""
SOUND_TTL_S = 60.0
SOUND_INTERVAL_S = 0.5
"""Minimum time between two reports of output with the same signature."""
SOUND_SPREAD_S = 0.1
"""Reports of remembered output are spread over this time."""

_log = PartLog("blame")


class _Break(msgspec.Struct):
    """The connections of one run of a replica that broke at about the same time."""

    at: float
    suspects: list[CrashSuspect] = []
    is_due: bool = False
    confirm_in_s: float = math.inf
    """How long after the first break it is confirmed that the replica is lost."""


class _Sound(msgspec.Struct):
    """Output with a signature, and what was last reported of it."""

    began_at: float
    """When the newest output began."""
    reported_at: float = float("-inf")
    reported_began_at: float = float("-inf")
    """When the output that was reported last had begun."""


class _Report(msgspec.Struct):
    """A crash that was reported, without its age."""

    crash: ReportCrash
    at: float
    judge: RouterId | None = None
    """The judge that has accepted it; a judge that restarts has another id."""


def fingerprint_of(
    organisation: OrganisationName | None, path: str, body: bytes
) -> str:
    """Return a hash of a request's organisation, path and body."""
    digest = xxhash.xxh64()
    for part in ((organisation or "").encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


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


class CrashBlame:
    """What this router contributes to, and knows of, the verdicts on crashes.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    owners : TaskOwners
        Chooses the judge.
    links : PeerLinks
        Links to the other routers.
    judge : CrashJudge
        Judges in this router, if it is the judge or doesn't reach it.
    verdicts : CrashVerdicts
        The verdicts in force.
    versions_of : callable
        Returns the versions of the replicas of a pool.
    metrics : RelayMetrics
        Counts reported crashes.
    rng : random.Random
        Spreads reports.
    paths : PathKnowledge, optional
        Tells a lost replica from a lost path to it.

    Attributes
    ----------
    on_blamed : set of callable
        Called when something is blamed; see `is_blamed`.

    Notes
    -----
    A broken connection alone is weak evidence, since replicas that keep running break
    off answers, too. A replica is lost if it was removed, refused a connection since,
    or has not answered since. A replica that leaves counts as none.
    """

    def __init__(
        self,
        timers: TimerService,
        owners: TaskOwners,
        links: PeerLinks,
        judge: CrashJudge,
        verdicts: CrashVerdicts,
        versions_of: Callable[[PoolName], set[Version]],
        metrics: RelayMetrics,
        rng: random.Random,
        paths: PathKnowledge | None = None,
    ):
        self._paths = paths or PathKnowledge()
        self._timers = timers
        self._owners = owners
        self._links = links
        self._judge = judge
        self._verdicts = verdicts
        self._versions_of = versions_of
        self._metrics = metrics
        self._rng = rng
        self._breaks: dict[Run, _Break] = {}
        self._reports: deque[_Report] = deque(maxlen=MAX_REPEATED)
        self._sound: OrderedDict[Signature, _Sound] = OrderedDict()
        self.on_blamed = verdicts.on_blamed
        verdicts.on_active = self._report_remembered_output
        timers.subscribe(REPEAT_INTERVAL_S, self._repeat_reports)

    def is_blamed(self, traits: RequestTraits) -> bool:
        """Return whether a request is refused, without asking for a trial."""
        return bool(self._verdicts.blamed_for(traits))

    def is_suspected(self, traits: RequestTraits) -> bool:
        """Return whether a crash counts against a request or a part of it."""
        return any(map(self._verdicts.is_suspected, traits.signatures()))

    def admits(self, traits: RequestTraits, request_id: str = "") -> bool:
        """Return whether a request may be sent; ask for a trial if one is due.

        Parameters
        ----------
        traits : RequestTraits
            What the request may have in common with others.
        request_id : str
            The id of the request, for the log.
        """
        now = self._timers.now()
        blamed = self._verdicts.blamed_for(traits)
        if not blamed:
            return True
        is_due = all(known.trial_at <= now for known in blamed)
        is_trial = is_due and all(
            self._ask_trial(known.verdict.signature) for known in blamed
        )
        for known in blamed:
            signature = known.verdict.signature
            _log.write(
                "Sent as a trial." if is_trial else "Refused.",
                request=request_id,
                fingerprint=signature.fingerprint,
                shared_parts=list(signature.parts),
                trials=known.verdict.trials,
                trial_in_s=round(known.trial_at - now, 3),
                age_s=round(now - known.decided_at, 3),
            )
        return is_trial

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

    def note_output(self, traits: RequestTraits, began_at: float) -> None:
        """Record that a request had lasting output, which began at a time."""
        for signature in traits.signatures():
            sound = self._sound.setdefault(signature, _Sound(began_at))
            sound.began_at = max(sound.began_at, began_at)
            self._sound.move_to_end(signature)
            if self._is_report_due(signature, sound):
                self._report_output(signature, sound)
        while len(self._sound) > MAX_SOUND:
            self._sound.popitem(last=False)
        for known in self._verdicts.blamed_for(traits):
            sound = _Sound(began_at)
            self._report_output(known.verdict.signature, sound)

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
        owner = self._owners.owner_of(JUDGE_TASK)
        age_s = self._timers.now() - report.at
        crash = msgspec.structs.replace(report.crash, age_s=age_s)
        if owner.router == self._owners.own.router:
            self._judge.note_crash(crash)
            report.judge = owner.router
        elif self._call(crash, owner.address):
            report.judge = owner.router
        elif is_first:
            # Nobody else may judge what only this router can report.
            self._judge.note_crash(crash)

    def _repeat_reports(self) -> None:
        """Report crashes again if the judge is new or didn't accept them."""
        judge = self._owners.owner_of(JUDGE_TASK).router
        since = self._timers.now() - REPEAT_TTL_S
        for report in list(self._reports):
            if report.judge != judge and report.at > since:
                eventlet.spawn_n(self._send_report, report)

    def _report_remembered_output(self, signature: Signature) -> None:
        for each in single_signatures(signature):
            sound = self._sound.get(each)
            if sound is None or self._timers.now() - sound.began_at > SOUND_TTL_S:
                continue
            report = functools.partial(self._report_output, each, sound)
            self._timers.call_later(self._rng.uniform(0.0, SOUND_SPREAD_S), report)

    def _is_report_due(self, signature: Signature, sound: _Sound) -> bool:
        """Return whether output is news to the judge, who suspects its signature."""
        known = self._verdicts.get(signature)
        if known is None or known.verdict.state is not VerdictState.SUSPECTED:
            return False
        if sound.reported_began_at < known.decided_at <= sound.began_at:
            return True
        return self._timers.now() - sound.reported_at >= SOUND_INTERVAL_S

    def _report_output(self, signature: Signature, sound: _Sound) -> None:
        now = self._timers.now()
        sound.reported_at = now
        sound.reported_began_at = sound.began_at
        report = ReportSound(signature, now - sound.began_at)
        owner = self._owners.owner_of(JUDGE_TASK)
        if owner.router == self._owners.own.router:
            self._judge.note_sound(report)
        else:
            eventlet.spawn_n(self._call, report, owner.address)

    def _ask_trial(self, signature: Signature) -> bool:
        owner = self._owners.owner_of(JUDGE_TASK)
        if owner.router == self._owners.own.router:
            return self._judge.decide_trial(AskTrial(signature)).is_granted
        link = self._links.link(owner.address)
        answer = link.call(
            AskTrial(signature), TrialDecision, timeout_s=TRIAL_TIMEOUT_S
        )
        if answer.is_ok():
            return answer.ok().is_granted
        _log.write("Judge failed.", peer=str(owner.address), error=str(answer.err()))
        return False

    def _call(self, message: Message, judge: Address) -> bool:
        link = self._links.link(judge)
        answer = link.call(message, Accepted, timeout_s=CALL_TIMEOUT_S)
        if answer.is_err():
            _log.write("Judge failed.", peer=str(judge), error=str(answer.err()))
        return answer.is_ok()
