"""Refuses requests that crash replicas, but for a trial now and then."""

from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.crashes.crash_identity import RequestTraits
from boragedeck.process.relaying.crashes.crash_verdicts import CrashVerdicts
from boragedeck.process.relaying.crashes.judge_client import JudgeClient
from boragedeck.process.timers import TimerService

__all__ = ["CrashAdmission"]

_log = PartLog("blame")


class CrashAdmission:
    """Decides by the verdicts in force which requests may be sent.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    judge : JudgeClient
        Grants trials.
    verdicts : CrashVerdicts
        The verdicts in force.
    """

    def __init__(
        self, timers: TimerService, judge: JudgeClient, verdicts: CrashVerdicts
    ):
        self._timers = timers
        self._judge = judge
        self._verdicts = verdicts

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
            self._judge.ask_trial(known.verdict.signature) for known in blamed
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
