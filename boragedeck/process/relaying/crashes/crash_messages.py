"""Messages and facts by which routers find out which requests crash replicas."""

import enum

import msgspec

from boragedeck.connection.messages import Message
from boragedeck.ids import FailureDomain, PoolName, PromptPartId, Version
from boragedeck.process.relaying.replicas.replica_state import Run

__all__ = [
    "AskTrial",
    "CrashSuspect",
    "CrashVerdict",
    "ReportCrash",
    "ReportSound",
    "Signature",
    "TrialDecision",
    "VerdictState",
    "part_signature",
    "request_signature",
    "single_signatures",
]


class Signature(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What requests that crash replicas have in common.

    Parameters
    ----------
    pool : PoolName
        The pool whose replicas crash.
    fingerprint : str
        Hash of a request or of a family of requests; empty if the signature consists
        of parts.
    parts : tuple of PromptPartId
        Parts, in sorted order, that a prompt has all of.
    """

    pool: PoolName
    fingerprint: str = ""
    parts: tuple[PromptPartId, ...] = ()


def request_signature(pool: PoolName, fingerprint: str) -> Signature:
    """Return the signature of a request and its repeats, or of a family."""
    return Signature(pool, fingerprint)


def part_signature(pool: PoolName, *parts: PromptPartId) -> Signature:
    """Return the signature of all requests whose prompts have the given parts."""
    return Signature(pool, "", tuple(sorted(parts)))


def single_signatures(signature: Signature) -> list[Signature]:
    """Return the signatures of one part, or the request, that make up a signature."""
    if signature.fingerprint:
        return [signature]
    return [part_signature(signature.pool, part) for part in signature.parts]


class CrashSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that was at a replica when it crashed, and had no lasting output.

    Parameters
    ----------
    fingerprint : str
        Hash that the request has in common with its repeats.
    shared_parts : tuple of PromptPartId
        The parts of its prompt that other requests may have, too.
    has_begun : bool
        Whether its answer had begun: the head had arrived. The others were waiting
        or being read, which doesn't crash a replica if another one has begun.
    family : str
        Hash that it has in common with its family; empty if an older build sent it,
        whose fingerprints are those of families.
    """

    fingerprint: str
    shared_parts: tuple[PromptPartId, ...] = ()
    has_begun: bool = False
    family: str = ""


class ReportCrash(Message, frozen=True):
    """Tells the judge of crashes that a replica crashed.

    Parameters
    ----------
    run : Run
        The run of the replica.
    pool : PoolName
        The replica's pool.
    domain : FailureDomain
        The replica's failure domain.
    version : Version
        The replica's version.
    is_only_version : bool
        Whether the pool has no replicas of another version.
    age_s : float
        Seconds since its connections broke.
    suspects : tuple of CrashSuspect
        The sender's requests at the replica, without those that had lasting output.
    """

    run: Run
    pool: PoolName
    domain: FailureDomain
    version: Version
    is_only_version: bool
    age_s: float
    suspects: tuple[CrashSuspect, ...]


class ReportSound(Message, frozen=True):
    """Tells the judge of crashes that a request with a signature had lasting output.

    Parameters
    ----------
    signature : Signature
        The signature, of one part or one request.
    age_s : float
        Seconds since the output began.
    """

    signature: Signature
    age_s: float


class AskTrial(Message, frozen=True):
    """Asks whether a request with a blamed signature may be sent as a trial."""

    signature: Signature


class TrialDecision(Message, frozen=True):
    """Answers `AskTrial`."""

    is_granted: bool


class VerdictState(enum.Enum):
    """What the judge of crashes thinks of a signature."""

    SUSPECTED = "suspected"
    """At least one crash counts against it. Routers report output that clears it."""
    BLAMED = "blamed"
    """Requests with it are refused, but for trials."""
    CLEARED = "cleared"
    """A request with it had lasting output since."""


class CrashVerdict(msgspec.Struct, frozen=True, array_like=True):
    """A verdict on a signature, as published to all routers.

    Parameters
    ----------
    signature : Signature
        The signature.
    state : VerdictState
        What is decided.
    trials : int
        Number of trials that were granted.
    trial_after_s : float
        Seconds after the decision from which the next trial may be sent.
    age_s : float
        Seconds from the decision to the publication.
    """

    signature: Signature
    state: VerdictState
    trials: int = 0
    trial_after_s: float = 0.0
    age_s: float = 0.0
