"""Finds what the requests have in common under which replicas crashed.

Handles requests that share nothing but one part of their prompts, which crashes each
replica that begins an answer on it. Their neighbours share their organisation, their
other parts, their replica and the moment of the crash, and must be served as before.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable

import msgspec

from boragedeck.ids import FailureDomain, PoolName, PromptPartId
from boragedeck.process.relaying.crashes.crash_cases import (
    TOLERANCE,
    Crash,
    CrashAssessment,
    CrashCase,
    case_has,
    signatures_of,
)
from boragedeck.process.relaying.crashes.crash_messages import (
    CrashSuspect,
    ReportCrash,
    Signature,
    part_signature,
    request_signature,
)
from boragedeck.process.relaying.crashes.crash_rules import (
    blamed_signatures,
    has_common_cause,
)
from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.timers import TimerService

__all__ = ["CRASH_TTL_S", "GATHER_S", "CrashEvidence"]

CRASH_TTL_S = 600.0
"""How long a crash counts against the requests that were at the replica. Some come
again a few minutes later only."""
GATHER_S = 0.2
"""How long after the first report of a crash it counts: the suspects of other routers
may have begun their answers when those of the first one had not."""
SOUND_TTL_S = 60.0
"""How long a part that had lasting output is less suspect than one that had none, and a
family isn't suspect."""
SAME_CRASH_S = 2.0
"""Reports on one run further apart than this concern different breaks: the replica was
running in between."""
MAX_CRASHES = 256
MAX_SUSPECTS = 32
"""Maximum number of requests that are kept for one crash."""
MAX_SOUND = 4_096
SNAPSHOT_TTL_S = 0.05
"""How long the crashes that count are used to answer questions about one signature."""


class _Snapshot(msgspec.Struct, frozen=True):
    """The crashes that counted at a time."""

    cases: list[CrashCase]
    at: float


class CrashEvidence:
    """The crashes of the last minutes, and the output that clears requests.

    Parameters
    ----------
    timers : TimerService
        The source of time.

    Notes
    -----
    The prime suspects of a crash are the requests whose answers had begun and had no
    lasting output; if there are none, all requests without output. A part is suspicious
    if no request with it has had output since the crash, and none shortly before unless
    all parts of the request have. Parts that occur in the same crashes are blamed
    together: requests with all of them are refused, those with one of them are not.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._crashes: OrderedDict[Run, Crash] = OrderedDict()
        # When the newest lasting output of a signature began.
        self._sound_at: OrderedDict[Signature, float] = OrderedDict()
        self._snapshot = _Snapshot([], float("-inf"))

    def note_crash(self, report: ReportCrash) -> None:
        """Record a report; the reports of several routers on one crash are joined."""
        now = self._timers.now()
        crash = self._crashes.get(report.run)
        if crash is None or now - report.age_s - crash.at > SAME_CRASH_S:
            crash = self._crashes[report.run] = Crash(
                run=report.run,
                pool=report.pool,
                domain=report.domain,
                version=report.version,
                is_only_version=report.is_only_version,
                at=now - report.age_s,
                first_reported_at=now,
                suspects={},
            )
            if len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        crash.at = min(crash.at, now - report.age_s)
        for suspect in report.suspects:
            _add_suspect(crash, suspect)

    def restore(self, crash: Crash) -> None:
        """Add a crash that was stored, unless it is known."""
        self._crashes.setdefault(crash.run, crash)

    def note_sound(self, signature: Signature, age_s: float) -> None:
        """Record lasting output of a request with a signature."""
        at = self._timers.now() - age_s
        self._sound_at[signature] = max(at, self._sound_at.get(signature, at))
        self._sound_at.move_to_end(signature)
        if len(self._sound_at) > MAX_SOUND:
            self._sound_at.popitem(last=False)

    def is_sound_since(self, signature: Signature, since: float) -> bool:
        """Return whether output with a signature of one part began since a time."""
        return self._sound_at.get(signature, float("-inf")) >= since

    def crashes_of(self, signature: Signature) -> list[Run]:
        """Return the runs that crashed under a signature, in the order of reports."""
        cases = self._recent_cases()
        return [case.crash.run for case in cases if case_has(case, signature)]

    def last_crash_at(self, signature: Signature) -> float:
        """Return when a replica last crashed under a signature; minus infinity if none.

        Notes
        -----
        Times are on the timer service's monotonic clock.
        """
        cases = self._recent_cases()
        times = [case.crash.at for case in cases if case_has(case, signature)]
        return max(times, default=float("-inf"))

    def suspected(self) -> set[Signature]:
        """Return the signatures whose output would help to decide."""
        cases = self._recent_cases()
        counts = Counter(
            signature for case in cases for signature in signatures_of(case)
        )
        clear_cases = [
            case for case in cases if all(each.has_begun for each in case.suspects)
        ]
        clear = {each for case in clear_cases for each in signatures_of(case)}
        repeated = {each for each, count in counts.items() if each.parts and count > 1}
        return clear | repeated

    def blamed(self) -> set[Signature]:
        """Return the signatures that enough crashes count against."""
        return blamed_signatures(self._cases())

    def _recent_cases(self) -> list[CrashCase]:
        if self._timers.now() - self._snapshot.at > SNAPSHOT_TTL_S:
            self._cases()
        return self._snapshot.cases

    def assess(self) -> list[CrashAssessment]:
        """Return what each crash of the last minutes counts against."""
        now = self._timers.now()
        cases = [
            self._case(crash)
            for crash in self._crashes.values()
            if now - crash.at <= CRASH_TTL_S
            and now - crash.first_reported_at >= GATHER_S - TOLERANCE
        ]
        by_domain: dict[tuple[PoolName, FailureDomain], list[CrashCase]] = {}
        for case in cases:
            key = case.crash.pool, case.crash.domain
            by_domain.setdefault(key, []).append(case)
        return [
            CrashAssessment(
                case,
                self._cleared(case.crash),
                has_common_cause(case, by_domain[case.crash.pool, case.crash.domain]),
            )
            for case in cases
        ]

    def _cases(self) -> list[CrashCase]:
        """Return the crashes that count, without those that have a common cause."""
        counted = [each.case for each in self.assess() if each.counts]
        self._snapshot = _Snapshot(counted, self._timers.now())
        return counted

    def _cleared(self, crash: Crash) -> tuple[str, ...]:
        """Return the suspects of a crash that have had lasting output since."""
        return tuple(
            fingerprint
            for fingerprint in crash.suspects
            if self.is_sound_since(request_signature(crash.pool, fingerprint), crash.at)
        )

    def _case(self, crash: Crash) -> CrashCase:
        cleared = self._cleared(crash)
        unproven = [
            each for each in crash.suspects.values() if each.fingerprint not in cleared
        ]
        prime = [each for each in unproven if each.has_begun] or unproven
        parts = tuple(self._suspicious_parts(each, crash) for each in prime)
        fingerprints = frozenset(each.fingerprint for each in prime)
        return CrashCase(
            crash,
            tuple(prime),
            parts,
            fingerprints.union(*parts),
            self._suspicious_families(prime, crash),
        )

    def _suspicious_families(
        self, suspects: list[CrashSuspect], crash: Crash
    ) -> frozenset[str]:
        """Return the families of suspects that had no output, also not before.

        Notes
        -----
        If another request of the family is sound, the suspect by itself explains the
        crash.
        """
        since = crash.at - SOUND_TTL_S
        return frozenset(
            each.family
            for each in suspects
            if each.family
            and not self.is_sound_since(
                request_signature(crash.pool, each.family), since
            )
        )

    def _suspicious_parts(
        self, suspect: CrashSuspect, crash: Crash
    ) -> frozenset[PromptPartId]:
        unproven = self._not_sound_since(suspect.shared_parts, crash, crash.at)
        since = crash.at - SOUND_TTL_S
        return self._not_sound_since(unproven, crash, since) or unproven

    def _not_sound_since(
        self, parts: Iterable[PromptPartId], crash: Crash, since: float
    ) -> frozenset[PromptPartId]:
        return frozenset(
            part
            for part in parts
            if not self.is_sound_since(part_signature(crash.pool, part), since)
        )


def _add_suspect(crash: Crash, suspect: CrashSuspect) -> None:
    """Add a suspect; if there are too many, one whose answer had begun stays."""
    suspects = crash.suspects
    known = suspects.get(suspect.fingerprint)
    if known is not None:
        if suspect.has_begun:
            suspects[suspect.fingerprint] = suspect
        return
    if len(suspects) >= MAX_SUSPECTS:
        waiting = [name for name, each in suspects.items() if not each.has_begun]
        if not suspect.has_begun or not waiting:
            return
        del suspects[waiting[0]]
    suspects[suspect.fingerprint] = suspect
