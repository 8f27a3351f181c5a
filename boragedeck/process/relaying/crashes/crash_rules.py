"""Says which requests, families and parts enough crashes count against."""

from collections import Counter

from boragedeck.ids import PoolName, PromptPartId
from boragedeck.process.relaying.crashes.crash_cases import (
    TOLERANCE,
    CrashCase,
    case_has,
)
from boragedeck.process.relaying.crashes.crash_messages import (
    Signature,
    part_signature,
    request_signature,
)

__all__ = ["blamed_signatures", "has_common_cause"]

MIN_WEIGHT = 2.0
"""Crashes that blame a signature. One counts in full if all its suspects have it."""
MIN_REQUEST_CRASHES = 3
"""Crashes that blame a request, however many suspects each of them has."""
MIN_PART_CRASHES = 4
"""Crashes that blame a part, however many suspects each of them has."""
MIN_PART_REQUESTS = 2
"""Different requests under which replicas must crash before a part is blamed; with
fewer, the request itself explains the crashes."""
MIN_VERSION_CRASHES = 3
"""Crashes of a version under requests with nothing in common that blame the version."""
VERSION_WINDOW_S = 120.0
"""How long before the first crash under a request other crashes of its version count
against the version."""
MIN_FAMILY_REQUESTS = 3
"""Different requests of a family under which replicas must crash before the family is
blamed; with fewer, the requests themselves explain the crashes."""


def blamed_signatures(cases: list[CrashCase]) -> set[Signature]:
    """Return the requests, parts and families that enough crashes count against."""
    blamed = _blamed_parts(cases) | _blamed_requests(cases)
    rest = [
        case
        for case in cases
        if not any(case_has(case, signature) for signature in blamed)
    ]
    return blamed | _blamed_families(rest)


def _blamed_parts(cases: list[CrashCase]) -> set[Signature]:
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


def _blamed_requests(cases: list[CrashCase]) -> set[Signature]:
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


def _blamed_families(cases: list[CrashCase]) -> set[Signature]:
    """Return the families of which different requests crashed replicas.

    Notes
    -----
    A request that comes with another query each time is recognised by its family.
    """
    by_family: dict[tuple[PoolName, str], list[CrashCase]] = {}
    for case in cases:
        for family in case.families:
            by_family.setdefault((case.crash.pool, family), []).append(case)
    return {
        request_signature(pool, family)
        for (pool, family), having in by_family.items()
        if _is_family_blamed(family, having, cases)
    }


def _is_family_blamed(
    family: str, having: list[CrashCase], cases: list[CrashCase]
) -> bool:
    """Return whether a family is blamed for crashes under its requests."""
    members = set().union(*(case.members_of(family) for case in having))
    is_enough = min(len(members), len(having)) >= MIN_FAMILY_REQUESTS
    return is_enough and not _is_version_at_fault(having, cases)


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
    its crashes about then have nothing in common with any other crash.
    """
    versions = {case.crash.version for case in having}
    if len(versions) != 1 or any(case.crash.is_only_version for case in having):
        return False
    since = min(case.crash.at for case in having) - VERSION_WINDOW_S
    of_version = [
        case
        for case in cases
        if case.crash.version in versions
        and case.crash.pool == having[0].crash.pool
        and case.crash.at >= since
    ]
    counts = Counter(trait for case in of_version for trait in case.traits)
    alone = [
        case for case in of_version if all(counts[trait] == 1 for trait in case.traits)
    ]
    return len(alone) >= MIN_VERSION_CRASHES and len(alone) > len(having)
