"""Crashes of replicas, with the requests that may have caused them."""

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
    "case_has",
    "signatures_of",
]

COMMON_CAUSE_WINDOW_S = 0.5
"""Replicas of a failure domain that crash within this time have a common cause, unless
their requests have something in common."""
BEGUN_COMMON_CAUSE_WINDOW_S = 0.05
"""The same for a crash under a request whose answer had begun, which explains it."""
UNBEGUN_WEIGHT = 0.5
"""Weight of a crash none of whose suspects had begun its answer."""
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
    families : frozenset of str
        The families of prime suspects that may have crashed the replica.
    """

    crash: Crash
    suspects: tuple[CrashSuspect, ...]
    suspicious_parts: tuple[frozenset[PromptPartId], ...]
    traits: frozenset[str]
    families: frozenset[str] = frozenset()

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
        """Return whether a request, or one of a family, is a suspect."""
        return any(
            fingerprint in (each.fingerprint, each.family) for each in self.suspects
        )

    def members_of(self, family: str) -> set[str]:
        """Return the fingerprints of the suspects of a family."""
        return {each.fingerprint for each in self.suspects if each.family == family}


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
