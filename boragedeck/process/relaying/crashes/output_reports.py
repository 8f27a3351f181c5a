"""Reports to the judge which requests had lasting output, so crash no replica."""

import functools
import random
from collections import OrderedDict

import msgspec

from boragedeck.process.relaying.crashes.crash_identity import RequestTraits
from boragedeck.process.relaying.crashes.crash_messages import (
    ReportSound,
    Signature,
    VerdictState,
    single_signatures,
)
from boragedeck.process.relaying.crashes.crash_verdicts import CrashVerdicts
from boragedeck.process.relaying.crashes.judge_client import JudgeClient
from boragedeck.process.timers import TimerService

__all__ = ["OutputReports"]

MAX_SOUND = 4_096
"""Maximum number of signatures whose last output is remembered."""
SOUND_TTL_S = 60.0
SOUND_INTERVAL_S = 0.5
"""Minimum time between two reports of output with the same signature."""
SOUND_SPREAD_S = 0.1
"""Reports of remembered output are spread over this time."""


class _Sound(msgspec.Struct):
    """Output with a signature, and what was last reported of it."""

    began_at: float
    """When the newest output began."""
    reported_at: float = float("-inf")
    reported_began_at: float = float("-inf")
    """When the output that was reported last had begun."""


class OutputReports:
    """Remembers the output of this router's requests, and reports what clears some.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    judge : JudgeClient
        Receives the reports.
    verdicts : CrashVerdicts
        The verdicts in force; output is reported if its signature is suspected or
        blamed.
    rng : random.Random
        Spreads the reports.
    """

    def __init__(
        self,
        timers: TimerService,
        judge: JudgeClient,
        verdicts: CrashVerdicts,
        rng: random.Random,
    ):
        self._timers = timers
        self._judge = judge
        self._verdicts = verdicts
        self._rng = rng
        self._sound: OrderedDict[Signature, _Sound] = OrderedDict()
        verdicts.on_active = self._report_remembered_output

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
        self._judge.report_output(ReportSound(signature, now - sound.began_at))
