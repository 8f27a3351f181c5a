"""A caller's request that is passed on to a replica, and what replicas answer."""

import enum
from typing import Protocol

import msgspec

from boragedeck.connection.exchange import AnswerHead, Headers, Message
from boragedeck.connection.peer import Address
from boragedeck.ids import OrganisationName
from boragedeck.version.replicas import Replica, ReplicaId, ReplicaNotice

__all__ = [
    "AttemptPlan",
    "CopySource",
    "RelayRequest",
    "ReplicaProtocol",
    "Verdict",
    "VerdictKind",
]


class RelayRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request with its body, as the caller sent it.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt.
    method, target : bytes
        The request line.
    host, path : str
        What selects the route: the host in lower case and the path without query.
    headers : list of tuple of bytes
        What is passed on unchanged.
    body : bytes
        The whole body.
    key : str or None
        The caller's key.
    caller_timeout_s : float or None
        How long the caller waits from `arrived` on, in seconds; None where it
        didn't say.
    arrived : float
        When it arrived, on the timer service's monotonic clock.
    resume_after : int or None
        The last event that the caller has of this stream.
    prompt_tokens, expected_tokens : int
        Tokens to read, and to generate as far as is known.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str | None
    caller_timeout_s: float | None
    arrived: float
    resume_after: int | None = None
    prompt_tokens: int = 0
    expected_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Memory that the request takes at its end, in tokens."""
        return self.prompt_tokens + self.expected_tokens


class CopySource(msgspec.Struct, frozen=True):
    """The copy of a run's memory that a replica holds.

    Parameters
    ----------
    address : Address
        The replica that holds it.
    """

    address: Address


class AttemptPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What one attempt adds to the caller's request.

    Parameters
    ----------
    replica : Replica
        Where it goes; another one at the same address must not run it.
    organisation : OrganisationName or None
        The caller's organisation.
    left_s : float
        How long the replica may work, in seconds.
    last_event : int or None
        The stream goes on after this event.
    backup : Replica or None
        Holds a copy of the run's memory.
    source : CopySource or None
        Go on from the copy there.
    """

    replica: Replica
    organisation: OrganisationName | None
    left_s: float
    last_event: int | None = None
    backup: Replica | None = None
    source: CopySource | None = None


class VerdictKind(enum.Enum):
    """What the head of a replica's answer says."""

    SUCCESS = "success"
    FAILED = "failed"
    """The replica ran the request and failed."""
    NOT_RUN = "not_run"
    """The replica says that it didn't and won't run the request."""
    MOVED = "moved"
    """Another replica has the address; it did not run the request."""
    STRAY = "stray"
    """The answer belongs to another request."""
    INVALID = "invalid"
    """The answer can't be the replica's answer to this request."""


class Verdict(msgspec.Struct, frozen=True):
    """The meaning of the head of an answer.

    Parameters
    ----------
    kind : VerdictKind
        What it says.
    headers : list of tuple of bytes
        What the caller gets of the headers.
    actual_replica : ReplicaId or None
        The replica that has the address, where it isn't the expected one.
    """

    kind: VerdictKind
    headers: Headers = []
    actual_replica: ReplicaId | None = None


class ReplicaProtocol(Protocol):
    """How requests and answers are written towards replicas."""

    def message(self, req: RelayRequest, plan: AttemptPlan) -> Message:
        """Return the request as one attempt sends it."""

    def probe(self) -> Message:
        """Return a question that any live engine answers without a slot."""

    def models(self, body: bytes) -> frozenset[str]:
        """Return the models that an engine's answer to `probe` names."""

    def notice(self, head: AnswerHead) -> ReplicaNotice:
        """Return what a replica says of itself in the head of an answer."""

    def judge(self, req: RelayRequest, head: AnswerHead) -> Verdict:
        """Return what the head of an answer means."""
