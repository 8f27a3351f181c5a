"""Grants trials: single requests that show whether a verdict is still right."""

import functools
from collections.abc import Callable

from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.crashes.crash_messages import Signature, VerdictState
from boragedeck.process.relaying.crashes.crash_verdicts import (
    BLAME_TTL_S,
    CrashVerdicts,
)
from boragedeck.process.timers import TimerService

__all__ = ["TRIAL_AFTER_S", "TRIAL_TIMEOUT_S", "CrashTrials", "trial_after_s"]

TRIAL_AFTER_S = (30.0, 120.0, 480.0)
"""How long after a verdict one request is sent as a trial, by how many trials there
were. After the last one the verdict holds until it expires."""
TRIAL_TIMEOUT_S = 15.0
"""How long after a trial was granted the next one is, if nothing was heard of it."""

_log = PartLog("blame")


class CrashTrials:
    """Grants one trial at a time of what is blamed.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    verdicts : CrashVerdicts
        The verdicts in force.
    blame : callable
        Publishes that a signature is blamed, with its number of trials and the time to
        the next one.

    Notes
    -----
    A trial counts when it is granted, not when it has crashed a replica: the judge, or
    all routers, may end in between, and their successors must not grant it again.
    """

    def __init__(
        self,
        timers: TimerService,
        verdicts: CrashVerdicts,
        blame: Callable[[Signature, int, float], None],
    ):
        self._timers = timers
        self._verdicts = verdicts
        self._blame = blame

    def grant(self, signature: Signature) -> bool:
        """Return whether a request may be sent as a trial; if so, count it."""
        known = self._verdicts.get(signature)
        is_blamed = known is not None and known.verdict.state is VerdictState.BLAMED
        is_granted = is_blamed and known.trial_at <= self._timers.now()
        _log.write(
            "Trial granted." if is_granted else "Trial denied.",
            pool=signature.pool,
            fingerprint=signature.fingerprint,
            shared_parts=list(signature.parts),
            is_blamed=is_blamed,
        )
        if is_granted:
            trials = known.verdict.trials + 1
            self._blame(signature, trials, trial_after_s(trials))
            self._return_if_unused(signature)
        return is_granted

    def _return_if_unused(self, signature: Signature) -> None:
        decided_at = self._verdicts.get(signature).decided_at
        check = functools.partial(self._return_unused, signature, decided_at)
        self._timers.call_later(TRIAL_TIMEOUT_S, check)

    def _return_unused(self, signature: Signature, decided_at: float) -> None:
        """Make a trial due again if there was no verdict since it was granted."""
        known = self._verdicts.get(signature)
        if known is not None and known.decided_at == decided_at:
            self._blame(signature, known.verdict.trials - 1, 0.0)


def trial_after_s(trials: int) -> float:
    """Return how long after a verdict the next trial is due, by the trials before."""
    return TRIAL_AFTER_S[trials] if trials < len(TRIAL_AFTER_S) else BLAME_TTL_S
