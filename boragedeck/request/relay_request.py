"""Types of a request that is relayed to a replica, and of the replica's answer."""

import enum
from typing import Protocol

import msgspec

from boragedeck.connection.http_message import AnswerHead, Headers, Message
from boragedeck.connection.peer import Address
from boragedeck.connection.request_body import RequestBody
from boragedeck.connection.sent_requests import AnswerMatch
from boragedeck.ids import OrganisationName, PromptPartId
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
    """A request with its body, as received from the caller.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt.
    method, target : bytes
        The request line.
    host, path : str
        The host in lower case and the path without the query, which select the route.
    headers : list of tuple of bytes
        The headers that are passed on unchanged.
    body : RequestBody
        The complete body.
    key : str or None
        The caller's API key.
    caller_timeout_s : float or None
        How long the caller waits after `arrived`, in seconds; None if the request
        doesn't say.
    arrived, received : float
        Times at which its head and its body were complete, on the timer service's
        monotonic clock.
    resume_after : int or None
        Number of the last event of this stream that the caller has received.
    prompt_tokens, expected_tokens : int
        Number of tokens in the prompt, and the expected number of generated tokens.
    shared_parts : tuple of PromptPartId
        The parts of the prompt that other requests may have, too: all but the last
        one, in order.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: RequestBody
    key: str | None
    caller_timeout_s: float | None
    arrived: float
    received: float
    resume_after: int | None = None
    prompt_tokens: int = 0
    expected_tokens: int = 0
    shared_parts: tuple[PromptPartId, ...] = ()

    @property
    def tokens(self) -> int:
        """Memory that the request takes when it is complete, in tokens."""
        return self.prompt_tokens + self.expected_tokens


class CopySource(msgspec.Struct, frozen=True):
    """A replica that holds a copy of a run's memory, from which the run can resume.

    Parameters
    ----------
    address : Address
        The address of the replica.
    """

    address: Address


class AttemptPlan(msgspec.Struct, frozen=True, kw_only=True):
    """The parameters of one attempt to send a caller's request.

    Parameters
    ----------
    replica : Replica
        The replica it is sent to; another one at the same address must not run it.
    organisation : OrganisationName or None
        The caller's organisation.
    left_s : float
        How long the replica may work, in seconds.
    last_event : int or None
        The stream resumes after this event.
    backup : Replica or None
        The replica that keeps a copy of the run's memory.
    source : CopySource or None
        The copy from which the run resumes.
    priority : int or None
        The priority by which an engine orders its requests, 0 first; None if it isn't
        told.
    """

    replica: Replica
    organisation: OrganisationName | None
    left_s: float
    last_event: int | None = None
    backup: Replica | None = None
    source: CopySource | None = None
    priority: int | None = None


class VerdictKind(enum.Enum):
    """Classification of a replica's answer by its head."""

    SUCCESS = "success"
    FAILED = "failed"
    """The replica ran the request and failed."""
    NOT_RUN = "not_run"
    """The replica reports that it did not run the request and will not."""
    MOVED = "moved"
    """Another replica has the address, and it did not run the request."""
    INVALID = "invalid"
    """The answer isn't valid, or it can't be told to which request it belongs, so the
    replica may have run the request."""


class Verdict(msgspec.Struct, frozen=True):
    """What the head of an answer means for the request.

    Parameters
    ----------
    kind : VerdictKind
        The classification of the answer.
    headers : list of tuple of bytes
        The headers that are passed on to the caller.
    actual_replica : ReplicaId or None
        The replica that has the address, if it is not the expected one.
    """

    kind: VerdictKind
    headers: Headers = []
    actual_replica: ReplicaId | None = None


class ReplicaProtocol(Protocol):
    """Encodes requests to replicas and interprets their answers."""

    def message(self, req: RelayRequest, plan: AttemptPlan) -> Message:
        """Return the request that is sent for one attempt."""

    def probe_message(self, expected: ReplicaId | None = None) -> Message:
        """Return a probe, which any live engine answers without using a slot.

        If a replica is expected, another one at its address says so.
        """

    def models(self, body: bytes) -> frozenset[str]:
        """Return the models listed in an engine's answer to a probe."""

    def notice(self, head: AnswerHead) -> ReplicaNotice:
        """Return the notice about the replica's own state in the head of an answer."""

    def request_id(self, headers: Headers) -> bytes | None:
        """Return the id that a request or an answer names; None if it has none."""

    def verdict(self, head: AnswerHead, match: AnswerMatch) -> Verdict:
        """Return the classification of an answer that isn't another request's."""
