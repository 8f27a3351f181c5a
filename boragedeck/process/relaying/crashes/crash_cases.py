"""Explains crashes of replicas by what the requests had in common under them."""

from collections import Counter

import msgspec

from boragedeck.ids import FailureDomain, PoolName, PromptPartId, Version
from boragedeck.process.relaying.crashes.crash_messages import (
    CrashSuspect,
    Signature,
    part_signature,
    request_signature,
)
from boragedeck.process.relaying.replicas.replica_state import Run

__all__ = [
    "TOLERANCE",
    "Crash",
    "CrashAssessment",
    "CrashCase",
    "blamed_parts",
    "blamed_requests",
    "case_has",
    "has_common_cause",
    "signatures_of",
]

COMMON_CAUSE_WINDOW_S = 0.5
"""Replicas of a failure domain that crash within this time have a common cause, unless
their requests have something in common."""
BEGUN_COMMON_CAUSE_WINDOW_S = 0.05
"""The same for a crash under a request whose answer had begun, which explains it."""
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
TOLERANCE = 1e-9


class Crash(msgspec.Struct):
    """A crash, as the reports of all routers describe it.

    Parameters
    ----------
    run, pool, domain, version, is_only_version
        See `ReportCrash`.
    at, first_reported_at : float
        When the connections broke and when the first report came, on the timer
        service's monotonic clock.
    suspects : dict
        The requests without lasting output, by their fingerprints.
    """

    run: Run
    pool: PoolName
    domain: FailureDomain
    version: Version
    is_only_version: bool
    at: float
    first_reported_at: float
    suspects: dict[str, CrashSuspect]


class CrashCase(msgspec.Struct, frozen=True):
    """A crash with its prime suspects.

    Parameters
    ----------
    crash : Crash
        The crash.
    suspects : tuple of CrashSuspect
        The prime suspects.
    suspicious_parts : tuple of frozenset of PromptPartId
        For each suspect, the parts that may have crashed the replica.
    traits : frozenset of str
        Fingerprints and suspicious parts, which another crash may have in common.
    """

    crash: Crash
    suspects: tuple[CrashSuspect, ...]
    suspicious_parts: tuple[frozenset[PromptPartId], ...]
    traits: frozenset[str]

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
        """Return the weight of the crash against a part."""
        having = sum(part in parts for parts in self.suspicious_parts)
        return self.weight * having / len(self.suspects)

    def fingerprints_with(self, part: PromptPartId) -> set[str]:
        """Return the suspects for which a part is suspicious."""
        pairs = zip(self.suspects, self.suspicious_parts, strict=True)
        return {each.fingerprint for each, parts in pairs if part in parts}

    def has_request(self, fingerprint: str) -> bool:
        """Return whether a request is a suspect."""
        return any(each.fingerprint == fingerprint for each in self.suspects)


class CrashAssessment(msgspec.Struct, frozen=True):
    """What a crash counts against, and why.

    Parameters
    ----------
    case : CrashCase
        The crash with its prime suspects.
    cleared : tuple of str
        Fingerprints of the suspects that have had lasting output since.
    has_common_cause : bool
        Whether its failure domain lost a replica with other requests then.
    """

    case: CrashCase
    cleared: tuple[str, ...]
    has_common_cause: bool

    @property
    def counts(self) -> bool:
        """Whether the crash counts against its prime suspects."""
        return bool(self.case.suspects) and not self.has_common_cause


def blamed_parts(cases: list[CrashCase]) -> set[Signature]:
    """Return the parts that enough crashes count against.

    Notes
    -----
    Those that explain most crashes are blamed first, then those that explain the rest.
    """
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


def blamed_requests(cases: list[CrashCase]) -> set[Signature]:
    """Return the requests that enough crashes count against."""
    by_request: dict[tuple[PoolName, str], list[CrashCase]] = {}
    for case in cases:
        for each in case.suspects:
            key = case.crash.pool, each.fingerprint
            by_request.setdefault(key, []).append(case)
    return {
        request_signature(pool, fingerprint)
        for (pool, fingerprint), having in by_request.items()
        if _is_request_blamed(having, cases)
    }


def _cases_by_part(
    cases: list[CrashCase],
) -> dict[tuple[PoolName, PromptPartId], list[CrashCase]]:
    by_part: dict[tuple[PoolName, PromptPartId], list[CrashCase]] = {}
    for case in cases:
        for part in frozenset().union(*case.suspicious_parts):
            by_part.setdefault((case.crash.pool, part), []).append(case)
    return by_part


def _is_part_blamed(
    part: PromptPartId, having: list[CrashCase], cases: list[CrashCase]
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


def _is_request_blamed(having: list[CrashCase], cases: list[CrashCase]) -> bool:
    """Return whether a request is blamed for the crashes of which it is a suspect."""
    weight = sum(case.weight / len(case.suspects) for case in having)
    is_enough = weight >= MIN_WEIGHT - TOLERANCE or len(having) >= MIN_REQUEST_CRASHES
    return is_enough and not _is_version_at_fault(having, cases)


def _companions(part: PromptPartId, cases: list[CrashCase]) -> frozenset[PromptPartId]:
    """Return the parts that each suspicious request with a part has."""
    sets = [parts for case in cases for parts in case.suspicious_parts if part in parts]
    return frozenset.intersection(*sets)


def case_has(case: CrashCase, signature: Signature) -> bool:
    """Return whether a prime suspect of a crash has a signature."""
    if case.crash.pool != signature.pool:
        return False
    if signature.fingerprint:
        return case.has_request(signature.fingerprint)
    wanted = frozenset(signature.parts)
    return any(wanted <= frozenset(each.shared_parts) for each in case.suspects)


def signatures_of(case: CrashCase) -> set[Signature]:
    """Return the signatures of one request or part that may explain a crash."""
    pool = case.crash.pool
    requests = {request_signature(pool, each.fingerprint) for each in case.suspects}
    parts = frozenset().union(*case.suspicious_parts)
    return requests | {part_signature(pool, part) for part in parts}


def has_common_cause(case: CrashCase, of_domain: list[CrashCase]) -> bool:
    """Return whether its failure domain lost a replica with other requests then."""
    window_s = case.common_cause_window_s
    return any(
        abs(other.crash.at - case.crash.at) <= window_s
        and other.crash.run != case.crash.run
        and case.traits.isdisjoint(other.traits)
        for other in of_domain
    )


def _is_version_at_fault(having: list[CrashCase], cases: list[CrashCase]) -> bool:
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
