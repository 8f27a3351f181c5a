"""Judges for all routers which requests crash replicas.

One router is the judge, so that the crashes under requests that came to different
routers count together. When another router becomes the judge, the routers report their
crashes of the last minute to it again; if all routers end, their successors take over
what the platform's store has (`crash_store`).
"""

import math
from collections import OrderedDict
from collections.abc import Callable

from boragedeck.connection.messages import Accepted
from boragedeck.connection.peer import PeerServer
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.crashes.crash_evidence import GATHER_S, CrashEvidence
from boragedeck.process.relaying.crashes.crash_messages import (
    AskTrial,
    CrashVerdict,
    ReportCrash,
    ReportSound,
    Signature,
    TrialDecision,
    VerdictState,
    single_signatures,
)
from boragedeck.process.relaying.crashes.crash_trials import (
    CrashTrials,
    trial_after_s,
)
from boragedeck.process.relaying.crashes.crash_verdicts import (
    CrashVerdicts,
    KnownVerdict,
)
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.timers import TimerService

__all__ = ["CrashJudge"]

REVIEW_DELAY_S = GATHER_S + 0.01
MIN_SUSPECTED_S = 0.6
"""How long after a suspicion was published routers may report output that clears it,
before it can become blame."""
MAX_LOGGED = 256
"""Maximum number of crashes of which it is remembered how they were logged."""
MAX_SUSPECTED = 64
"""Maximum number of signatures that become suspected in one review."""

_log = PartLog("blame")


class CrashJudge:
    """Collects reports, and publishes verdicts when they change.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    evidence : CrashEvidence
        The crashes that were reported.
    verdicts : CrashVerdicts
        The verdicts in force, also those of other judges.
    server : PeerServer
        Receives the reports of other routers.
    metrics : RelayMetrics
        Counts crashes and verdicts.

    Attributes
    ----------
    on_crash, on_verdict : callable
        Called when a crash was counted, and when another signature is blamed or one
        isn't any more.
    """

    def __init__(
        self,
        timers: TimerService,
        evidence: CrashEvidence,
        verdicts: CrashVerdicts,
        server: PeerServer,
        metrics: RelayMetrics,
    ):
        self._timers = timers
        self._verdicts = verdicts
        self._metrics = metrics
        self._evidence = evidence
        self._is_review_due = False
        self.on_crash: Callable[[], None] = _ignore
        self.on_verdict: Callable[[], None] = _ignore
        self._logged: OrderedDict[Run, tuple[str, ...]] = OrderedDict()
        self._trials = CrashTrials(timers, verdicts, self._publish_blame)
        server.register(ReportCrash, self.note_crash)
        server.register(ReportSound, self.note_sound)
        server.register(AskTrial, self.decide_trial)

    def note_crash(self, report: ReportCrash) -> Accepted:
        """Record a crash, and review the verdicts once all routers have reported it."""
        self._evidence.note_crash(report)
        _log.write(
            "Crash counted.",
            replica=report.run.replica,
            domain=report.domain,
            version=report.version,
            age_s=round(report.age_s, 3),
            suspects=len(report.suspects),
            begun=[each.fingerprint for each in report.suspects if each.has_begun],
        )
        if not self._is_review_due:
            self._is_review_due = True
            self._timers.call_later(REVIEW_DELAY_S, self.review)
        self.on_crash()
        return Accepted()

    def note_sound(self, report: ReportSound) -> Accepted:
        """Record output, and clear what it proves harmless."""
        for each in single_signatures(report.signature):
            self._evidence.note_sound(each, report.age_s)
        for known in self._verdicts.active():
            signature = known.verdict.signature
            if _have_common_part(signature, report.signature) and self._is_sound(known):
                self._publish(signature, VerdictState.CLEARED, 0, 0.0)
        return Accepted()

    def decide_trial(self, request: AskTrial) -> TrialDecision:
        """Grant one trial at a time, and none before it is due."""
        return TrialDecision(self._trials.grant(request.signature))

    def _is_sound(self, known: KnownVerdict) -> bool:
        """Return whether all that is blamed had output since the last crash."""
        signature = known.verdict.signature
        crashed_at = self._evidence.last_crash_at(signature)
        # Without evidence, the verdict shows that the crash was earlier.
        since = known.decided_at if math.isinf(crashed_at) else crashed_at
        return all(
            self._evidence.is_sound_since(each, since)
            for each in single_signatures(signature)
        )

    def review(self) -> None:
        """Decide by the crashes that count, and publish what changes."""
        self._is_review_due = False
        self._log_assessments()
        blamed = self._evidence.blamed()
        for signature in sorted(blamed):
            self._blame(signature)
        for known in self._verdicts.blamed():
            self._renew(known)
        suspected = sorted(self._evidence.suspected() - blamed)
        for signature in suspected[:MAX_SUSPECTED]:
            self._suspect(signature)

    def _log_assessments(self) -> None:
        """Log what each crash counts against, once and whenever more is cleared."""
        for each in self._evidence.assess():
            run = each.case.crash.run
            if self._logged.get(run) == each.cleared:
                continue
            self._logged[run] = each.cleared
            _log.write(
                "Crash weighed.",
                replica=run.replica,
                counts=each.counts,
                has_common_cause=each.has_common_cause,
                prime_suspects=[one.fingerprint for one in each.case.suspects],
                cleared=list(each.cleared),
                weight=each.case.weight,
                age_s=round(self._timers.now() - each.case.crash.at, 3),
            )
        while len(self._logged) > MAX_LOGGED:
            self._logged.popitem(last=False)

    def _blame(self, signature: Signature) -> None:
        known = self._verdicts.get(signature)
        is_blamed = known is not None and known.verdict.state is VerdictState.BLAMED
        if is_blamed or self._is_cleared_since_last_crash(signature):
            return
        wait_s = max(map(self._suspect, single_signatures(signature)))
        if wait_s > 0.0:
            self._timers.call_later(wait_s, self.review)
        else:
            self._blame_for(signature, 0)

    def _suspect(self, signature: Signature) -> float:
        """Publish a suspicion unless it is known; return how long to wait for output.

        Notes
        -----
        Other routers may have seen output that clears the signature, and they report
        it if the signature is suspected.
        """
        if self._is_news(signature):
            self._publish(signature, VerdictState.SUSPECTED, 0, 0.0)
        known = self._verdicts.get(signature)
        return known.decided_at + MIN_SUSPECTED_S - self._timers.now()

    def _renew(self, known: KnownVerdict) -> None:
        """Blame a signature anew if a replica has crashed under it since."""
        signature, trials = known.verdict.signature, known.verdict.trials
        crashed_at = self._evidence.last_crash_at(signature)
        if crashed_at <= known.decided_at:
            return
        # A trial that another judge granted, or one of which nothing was heard.
        is_uncounted = crashed_at > known.trial_at
        self._blame_for(signature, trials + is_uncounted)

    def _blame_for(self, signature: Signature, trials: int) -> None:
        self._publish_blame(signature, trials, trial_after_s(trials))

    def _publish_blame(self, signature: Signature, trials: int, after_s: float) -> None:
        self._publish(signature, VerdictState.BLAMED, trials, after_s)

    def _is_news(self, signature: Signature) -> bool:
        """Return whether there is no verdict on a signature since its last crash."""
        known = self._verdicts.get(signature)
        if known is None:
            return True
        is_cleared = known.verdict.state is VerdictState.CLEARED
        return is_cleared and not self._is_cleared_since_last_crash(signature)

    def _is_cleared_since_last_crash(self, signature: Signature) -> bool:
        known = self._verdicts.get(signature)
        if known is None or known.verdict.state is not VerdictState.CLEARED:
            return False
        return known.decided_at >= self._evidence.last_crash_at(signature)

    def _publish(
        self, signature: Signature, state: VerdictState, trials: int, after_s: float
    ) -> None:
        runs = self._evidence.crashes_of(signature)
        _log.write(
            "Verdict published.",
            state=state.value,
            pool=signature.pool,
            fingerprint=signature.fingerprint,
            shared_parts=list(signature.parts),
            replicas=[run.replica for run in runs],
            trials=trials,
            trial_after_s=after_s,
        )
        self._metrics.crash_verdicts.labels(state.value).inc()
        known = self._verdicts.get(signature)
        was_blamed = known is not None and known.verdict.state is VerdictState.BLAMED
        self._verdicts.publish(CrashVerdict(signature, state, trials, after_s))
        if was_blamed or state is VerdictState.BLAMED:
            self.on_verdict()


def _ignore() -> None:
    """Do nothing; the default of the callbacks."""


def _have_common_part(first: Signature, second: Signature) -> bool:
    """Return whether a part, or the request, is the same in two signatures."""
    return not set(single_signatures(first)).isdisjoint(single_signatures(second))
