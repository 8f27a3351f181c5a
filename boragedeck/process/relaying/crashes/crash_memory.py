"""Turns what the judge of crashes knows into the stored row, and back."""

from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.crashes.crash_cases import Crash
from boragedeck.process.relaying.crashes.crash_evidence import (
    CRASH_TTL_S,
    CrashEvidence,
)
from boragedeck.process.relaying.crashes.crash_messages import (
    CrashVerdict,
    VerdictState,
)
from boragedeck.process.relaying.crashes.crash_row import (
    CrashRow,
    StoredCrash,
    StoredVerdict,
    stored_crash,
)
from boragedeck.process.relaying.crashes.crash_verdicts import (
    CrashVerdicts,
    KnownVerdict,
)
from boragedeck.process.timers import TimerService

__all__ = ["CrashMemory"]

_log = PartLog("blame")


class CrashMemory:
    """The verdicts and the crashes that are to outlive the routers.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    evidence : CrashEvidence
        The crashes that were reported.
    verdicts : CrashVerdicts
        The verdicts in force.

    Notes
    -----
    Stored times are Unix times, since monotonic clocks end with their processes. A
    clock that is wrong by some seconds moves a trial by as much.
    """

    def __init__(
        self, timers: TimerService, evidence: CrashEvidence, verdicts: CrashVerdicts
    ):
        self._timers = timers
        self._evidence = evidence
        self._verdicts = verdicts

    def row(self) -> CrashRow:
        """Return what is to outlive the routers."""
        since_epoch_s = self._timers.wall() - self._timers.now()
        verdicts = [
            StoredVerdict(
                known.verdict.signature,
                known.verdict.trials,
                known.verdict.trial_after_s,
                known.decided_at + since_epoch_s,
            )
            for known in self._verdicts.blamed()
        ]
        crashes = [
            stored_crash(each.case, each.case.crash.at + since_epoch_s)
            for each in self._evidence.assess()
            if each.counts
        ]
        return CrashRow(tuple(verdicts), tuple(crashes))

    def restore(self, row: CrashRow) -> None:
        """Take over what routers knew that may have ended since.

        Notes
        -----
        What is known of a signature stays, unless the row has a later decision.
        """
        for crash in row.crashes:
            age_s = self._age_s(crash.at)
            if age_s <= CRASH_TTL_S:
                self._evidence.restore(_crash_of(crash, self._timers.now() - age_s))
        for stored in row.verdicts:
            self._restore_verdict(stored)

    def _restore_verdict(self, stored: StoredVerdict) -> None:
        age_s = self._age_s(stored.decided_at)
        known = self._verdicts.get(stored.signature)
        if known is not None and not self._is_later(stored, age_s, known):
            return
        _log.write(
            "Verdict restored.",
            pool=stored.signature.pool,
            fingerprint=stored.signature.fingerprint,
            shared_parts=list(stored.signature.parts),
            trials=stored.trials,
            trial_after_s=stored.trial_after_s,
            age_s=round(age_s, 3),
        )
        verdict = CrashVerdict(
            stored.signature,
            VerdictState.BLAMED,
            stored.trials,
            stored.trial_after_s,
            age_s,
        )
        self._verdicts.publish(verdict)

    def _is_later(
        self, stored: StoredVerdict, age_s: float, known: KnownVerdict
    ) -> bool:
        """Return whether a stored verdict is a later decision than a known one."""
        match known.verdict.state:
            case VerdictState.SUSPECTED:
                return True
            case VerdictState.BLAMED:
                return stored.trials > known.verdict.trials
            case VerdictState.CLEARED:
                return self._timers.now() - age_s > known.decided_at

    def _age_s(self, at: float) -> float:
        """Return how long ago a Unix time was; 0 if a clock was set back since."""
        return max(0.0, self._timers.wall() - at)


def _crash_of(stored: StoredCrash, at: float) -> Crash:
    """Return a stored crash, with its time on the timer service's clock."""
    return Crash(
        run=stored.run,
        pool=stored.pool,
        domain=stored.domain,
        version=stored.version,
        is_only_version=stored.is_only_version,
        at=at,
        first_reported_at=at,
        suspects={each.fingerprint: each for each in stored.suspects},
    )
