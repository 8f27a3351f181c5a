"""Finds what the requests have in common under which replicas crashed.

Handles requests that share nothing but one part of their prompts, which crashes each
replica that begins an answer on it. Their neighbours share their organisation, their
other parts, their replica and the moment of the crash, and must be served as before.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable

import msgspec

from boragedeck.ids import FailureDomain, PoolName, PromptPartId, Version
from boragedeck.process.relaying.crash_messages import (
    CrashSuspect,
    ReportCrash,
    Signature,
    part_signature,
    request_signature,
)
from boragedeck.process.relaying.replica_state import Run
from boragedeck.process.timers import TimerService

__all__ = ["CRASH_TTL_S", "GATHER_S", "CrashEvidence"]

CRASH_TTL_S = 120.0
"""How long a crash counts against the requests that were at the replica."""
GATHER_S = 0.2
"""How long after the first report of a crash it counts: the suspects of other routers
may have begun their answers when those of the first one had not."""
COMMON_CAUSE_WINDOW_S = 0.5
"""Replicas of a failure domain that crash within this time have a common cause, unless
their requests have something in common."""
BEGUN_COMMON_CAUSE_WINDOW_S = 0.05
"""The same for a crash under a request whose answer had begun, which explains it."""
SOUND_TTL_S = 60.0
"""How long a part that had lasting output is less suspect than one that had none."""
MIN_WEIGHT = 2.0
"""Crashes that blame a signature. One counts in full if all its suspects have it."""
UNBEGUN_WEIGHT = 0.5
"""Weight of a crash none of whose suspects had begun its answer."""
MIN_REQUEST_CRASHES = 3
"""Crashes that blame a request, however many suspects each of them has."""
MIN_PART_CRASHES = 4
"""Crashes that blame a part, however many suspects each of them has."""
MIN_PART_REQUESTS = 2
"""Different requests under which replicas must crash before a part is blamed; with
fewer, the request itself explains the crashes."""
MIN_VERSION_CRASHES = 3
"""Crashes of a version under requests with nothing in common that blame the version."""
SAME_CRASH_S = 2.0
"""Reports on one run further apart than this concern different breaks: the replica was
running in between."""
MAX_CRASHES = 256
MAX_SUSPECTS = 32
"""Maximum number of requests that are kept for one crash."""
MAX_SOUND = 4_096
SNAPSHOT_TTL_S = 0.05
"""How long the crashes that count are used to answer questions about one signature."""
TOLERANCE = 1e-9


class _Crash(msgspec.Struct):
    """A crash, as the reports of all routers describe it."""

    run: Run
    pool: PoolName
    domain: FailureDomain
    version: Version
    is_only_version: bool
    at: float
    first_reported_at: float
    suspects: dict[str, CrashSuspect]


class _Case(msgspec.Struct, frozen=True):
    """A crash that counts, and the signatures of its prime suspects."""

    crash: _Crash
    suspects: tuple[CrashSuspect, ...]
    suspicious_parts: tuple[frozenset[PromptPartId], ...]
    """For each suspect, the parts that may have crashed the replica."""
    traits: frozenset[str]
    """Fingerprints and suspicious parts, which another crash may have in common."""

    @property
    def has_begun(self) -> bool:
        """Whether the answer of a suspect had begun."""
        return any(each.has_begun for each in self.suspects)

    @property
    def weight(self) -> float:
        """Weight of the crash against a signature that all suspects have."""
        return 1.0 if self.has_begun else UNBEGUN_WEIGHT

    @property
    def common_cause_window_s(self) -> float:
        """How close to this crash another one has the same cause."""
        if self.has_begun:
            return BEGUN_COMMON_CAUSE_WINDOW_S
        return COMMON_CAUSE_WINDOW_S

    def weight_of_part(self, part: PromptPartId) -> float:
        having = sum(part in parts for parts in self.suspicious_parts)
        return self.weight * having / len(self.suspects)

    def fingerprints_with(self, part: PromptPartId) -> set[str]:
        pairs = zip(self.suspects, self.suspicious_parts, strict=True)
        return {each.fingerprint for each, parts in pairs if part in parts}

    def has_request(self, fingerprint: str) -> bool:
        return any(each.fingerprint == fingerprint for each in self.suspects)


class _Snapshot(msgspec.Struct, frozen=True):
    """The crashes that counted at a time."""

    cases: list[_Case]
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
        self._crashes: OrderedDict[Run, _Crash] = OrderedDict()
        # When the newest lasting output of a signature began.
        self._sound_at: OrderedDict[Signature, float] = OrderedDict()
        self._snapshot = _Snapshot([], float("-inf"))

    def note_crash(self, report: ReportCrash) -> None:
        """Record a report; the reports of several routers on one crash are joined."""
        now = self._timers.now()
        crash = self._crashes.get(report.run)
        if crash is None or now - report.age_s - crash.at > SAME_CRASH_S:
            crash = self._crashes[report.run] = _Crash(
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
        return [case.crash.run for case in cases if _case_has(case, signature)]

    def last_crash_at(self, signature: Signature) -> float:
        """Return when a replica last crashed under a signature; minus infinity if none.

        Notes
        -----
        Times are on the timer service's monotonic clock.
        """
        cases = self._recent_cases()
        times = [case.crash.at for case in cases if _case_has(case, signature)]
        return max(times, default=float("-inf"))

    def suspected(self) -> set[Signature]:
        """Return the signatures whose output would help to decide."""
        cases = self._recent_cases()
        counts = Counter(
            signature for case in cases for signature in _single_signatures(case)
        )
        clear_cases = [
            case for case in cases if all(each.has_begun for each in case.suspects)
        ]
        clear = {each for case in clear_cases for each in _single_signatures(case)}
        repeated = {each for each, count in counts.items() if each.parts and count > 1}
        return clear | repeated

    def blamed(self) -> set[Signature]:
        """Return the signatures that enough crashes count against."""
        cases = self._cases()
        return self._blamed_parts(cases) | self._blamed_requests(cases)

    def _blamed_parts(self, cases: list[_Case]) -> set[Signature]:
        """Blame the parts that explain most crashes first, then those of the rest."""
        blamed = set()
        rest = list(cases)
        while True:
            by_part = _cases_by_part(rest)
            found = [
                key
                for key, having in sorted(by_part.items())
                if _is_part_blamed(key[1], having, rest)
            ]
            if not found:
                return blamed
            pool, part = max(found, key=lambda key: len(by_part[key]))
            explained = by_part[pool, part]
            blamed.add(part_signature(pool, *_companions(part, explained)))
            runs = {case.crash.run for case in explained}
            rest = [case for case in rest if case.crash.run not in runs]

    def _blamed_requests(self, cases: list[_Case]) -> set[Signature]:
        by_request: dict[tuple[PoolName, str], list[_Case]] = {}
        for case in cases:
            for each in case.suspects:
                key = case.crash.pool, each.fingerprint
                by_request.setdefault(key, []).append(case)
        return {
            request_signature(pool, fingerprint)
            for (pool, fingerprint), having in by_request.items()
            if _is_request_blamed(having, cases)
        }

    def _recent_cases(self) -> list[_Case]:
        if self._timers.now() - self._snapshot.at > SNAPSHOT_TTL_S:
            self._cases()
        return self._snapshot.cases

    def _cases(self) -> list[_Case]:
        """Return the crashes that count, without those that have a common cause."""
        now = self._timers.now()
        cases = [
            self._case(crash)
            for crash in self._crashes.values()
            if now - crash.at <= CRASH_TTL_S
            and now - crash.first_reported_at >= GATHER_S - TOLERANCE
        ]
        by_domain: dict[tuple[PoolName, FailureDomain], list[_Case]] = {}
        for case in cases:
            key = case.crash.pool, case.crash.domain
            by_domain.setdefault(key, []).append(case)
        counted = [
            case
            for case in cases
            if case.suspects
            and not _has_common_cause(
                case, by_domain[case.crash.pool, case.crash.domain]
            )
        ]
        self._snapshot = _Snapshot(counted, now)
        return counted

    def _case(self, crash: _Crash) -> _Case:
        unproven = [
            each
            for each in crash.suspects.values()
            if not self.is_sound_since(
                request_signature(crash.pool, each.fingerprint), crash.at
            )
        ]
        prime = [each for each in unproven if each.has_begun] or unproven
        parts = tuple(self._suspicious_parts(each, crash) for each in prime)
        fingerprints = frozenset(each.fingerprint for each in prime)
        return _Case(crash, tuple(prime), parts, fingerprints.union(*parts))

    def _suspicious_parts(
        self, suspect: CrashSuspect, crash: _Crash
    ) -> frozenset[PromptPartId]:
        unproven = self._not_sound_since(suspect.shared_parts, crash, crash.at)
        since = crash.at - SOUND_TTL_S
        return self._not_sound_since(unproven, crash, since) or unproven

    def _not_sound_since(
        self, parts: Iterable[PromptPartId], crash: _Crash, since: float
    ) -> frozenset[PromptPartId]:
        return frozenset(
            part
            for part in parts
            if not self.is_sound_since(part_signature(crash.pool, part), since)
        )


def _add_suspect(crash: _Crash, suspect: CrashSuspect) -> None:
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


def _cases_by_part(
    cases: list[_Case],
) -> dict[tuple[PoolName, PromptPartId], list[_Case]]:
    by_part: dict[tuple[PoolName, PromptPartId], list[_Case]] = {}
    for case in cases:
        for part in frozenset().union(*case.suspicious_parts):
            by_part.setdefault((case.crash.pool, part), []).append(case)
    return by_part


def _is_part_blamed(
    part: PromptPartId, having: list[_Case], cases: list[_Case]
) -> bool:
    """Return whether a part is blamed for the crashes under requests that have it."""
    if len(having) < MIN_PART_REQUESTS:
        return False
    weight = sum(case.weight_of_part(part) for case in having)
    is_enough = weight >= MIN_WEIGHT - TOLERANCE or len(having) >= MIN_PART_CRASHES
    if not is_enough:
        return False
    requests = set().union(*(case.fingerprints_with(part) for case in having))
    is_varied = len(requests) >= MIN_PART_REQUESTS
    return is_varied and not _is_version_at_fault(having, cases)


def _is_request_blamed(having: list[_Case], cases: list[_Case]) -> bool:
    """Return whether a request is blamed for the crashes of which it is a suspect."""
    weight = sum(case.weight / len(case.suspects) for case in having)
    is_enough = weight >= MIN_WEIGHT - TOLERANCE or len(having) >= MIN_REQUEST_CRASHES
    return is_enough and not _is_version_at_fault(having, cases)


def _companions(part: PromptPartId, cases: list[_Case]) -> frozenset[PromptPartId]:
    """Return the parts that each suspicious request with a part has."""
    sets = [parts for case in cases for parts in case.suspicious_parts if part in parts]
    return frozenset.intersection(*sets)


def _case_has(case: _Case, signature: Signature) -> bool:
    if case.crash.pool != signature.pool:
        return False
    if signature.fingerprint:
        return case.has_request(signature.fingerprint)
    wanted = frozenset(signature.parts)
    return any(wanted <= frozenset(each.shared_parts) for each in case.suspects)


def _single_signatures(case: _Case) -> set[Signature]:
    pool = case.crash.pool
    requests = {request_signature(pool, each.fingerprint) for each in case.suspects}
    parts = frozenset().union(*case.suspicious_parts)
    return requests | {part_signature(pool, part) for part in parts}


def _has_common_cause(case: _Case, of_domain: list[_Case]) -> bool:
    """Return whether its failure domain lost a replica with other requests then."""
    window_s = case.common_cause_window_s
    return any(
        abs(other.crash.at - case.crash.at) <= window_s
        and other.crash.run != case.crash.run
        and case.traits.isdisjoint(other.traits)
        for other in of_domain
    )


def _is_version_at_fault(having: list[_Case], cases: list[_Case]) -> bool:
    """Return whether a version explains crashes better than what they have in common.

    Notes
    -----
    That is so if it is the version of all of them, other versions exist, and more of
    its crashes have nothing in common with any other crash.
    """
    versions = {case.crash.version for case in having}
    if len(versions) != 1 or any(case.crash.is_only_version for case in having):
        return False
    of_version = [
        case
        for case in cases
        if case.crash.version in versions and case.crash.pool == having[0].crash.pool
    ]
    counts = Counter(trait for case in of_version for trait in case.traits)
    alone = [
        case for case in of_version if all(counts[trait] == 1 for trait in case.traits)
    ]
    return len(alone) >= MIN_VERSION_CRASHES and len(alone) > len(having)
