"""Interfaces between components; the composition root connects them."""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec
from result import Result

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.peer import Address
from boragedeck.exceptions import RefusedError
from boragedeck.ids import (
    FailureDomain,
    Health,
    OrganisationName,
    RouteName,
    RouterId,
    UpstreamName,
    Version,
    VmName,
)
from boragedeck.version.tables import Config, Pool, Route, Upstream

__all__ = [
    "Chooser",
    "ConfigSource",
    "FactBoard",
    "Member",
    "Membership",
    "Outcome",
    "RunSample",
    "Slot",
    "VersionPolicy",
    "SlotRequest",
]


class ConfigSource(Protocol):
    """Provides the configuration in force in this process."""

    def current(self) -> Config:
        """Return the configuration in force; its revision is 0 before the first."""

    def subscribe(self, callback: Callable[[Config], None]) -> None:
        """Call `callback` with each configuration that comes into force."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Another router, or this one.

    Parameters
    ----------
    router : RouterId
        One run of a router process.
    vm : VmName
        The VM that it runs on.
    failure_domain : FailureDomain
        The failure domain of the VM.
    address : Address
        The address on which it accepts peer connections.
    health : Health
        Its health as seen by this router.
    capacity : float
        Capacity of its VM relative to others: link capacity times processor capacity.
    """

    router: RouterId
    vm: VmName
    failure_domain: FailureDomain
    address: Address
    health: Health = Health.HEALTHY
    capacity: float = 1.0


class Membership(Protocol):
    """One router's view of the other routers."""

    own: Member

    def members(self) -> list[Member]:
        """Return the other routers that are not dead, suspects included."""

    def routers(self) -> int:
        """Return the number of routers that are not dead, this one included."""

    def address_of(self, router: RouterId) -> Address | None:
        """Return the address of one of `members`, or None for any other router."""

    def suspect(self, router: RouterId) -> None:
        """Record that a call to a router failed, so that its health is checked."""


class FactBoard(Protocol):
    """Soft state that routers share by gossip."""

    own: RouterId

    def publish(
        self, topic: FactTopic, key: str, body: bytes, *, ttl_s: float = 60.0
    ) -> Fact:
        """Publish a fact that expires after `ttl_s`, unless it is published again.

        It replaces this router's earlier fact with the same topic and key.
        """

    def facts(self, topic: FactTopic) -> list[Fact]:
        """Return the facts of all origins that have not expired."""

    def age_s(self, fact: Fact) -> float:
        """Return the time since a fact was published, in seconds.

        It is infinity if the fact has expired or was replaced.
        """

    def subscribe(self, topic: FactTopic, callback: Callable[[Fact], None]) -> None:
        """Call `callback` with each new or updated fact, including this router's."""


class Outcome(enum.Enum):
    """How a run on an upstream ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    """Stopped by the caller or the router."""
    CRASHED = "crashed"
    """The connection broke during the run."""
    SILENT = "silent"
    """The stream stopped producing output."""
    FAILED = "failed"
    """The upstream answered with an error."""
    REFUSED = "refused"
    """The upstream was unreachable or did not accept the request."""


class SlotRequest(msgspec.Struct, frozen=True):
    """A request for a slot on an upstream.

    Parameters
    ----------
    route : Route
        The request's route.
    pool : Pool
        The pool that serves it.
    organisation : OrganisationName
        The organisation that sent the request.
    version : Version or None
        The version that the upstream must serve; None for any.
    prompt_tokens : int
        Estimated number of tokens to prefill.
    prefix_hash : int
        Hash of the organisation and the start of the prompt; requests with the same
        hash prefer the same upstream.
    fingerprint : str
        Identical for requests with the same content; used by the quarantine.
    excluded : frozenset of UpstreamName
        Upstreams that failed this request.
    is_resume : bool
        Whether the answer already has output, which the run continues.
    deadline : float
        When the wait for a slot must end, on the timer service's monotonic clock.
    """

    route: Route
    pool: Pool
    organisation: OrganisationName
    version: Version | None
    prompt_tokens: int
    prefix_hash: int
    fingerprint: str
    excluded: frozenset[UpstreamName] = frozenset()
    is_resume: bool = False
    deadline: float = float("inf")


class Slot(Protocol):
    """Permission to run one request on an upstream, held until the run ends."""

    upstream: Upstream

    def first_token(self) -> None:
        """Record the first output of the run, before its tokens are counted."""

    def tokens(self, count: int) -> None:
        """Count tokens that the run has just generated, the first one included."""

    def finish(self, outcome: Outcome) -> None:
        """Release the slot; further calls have no effect."""


class Chooser(Protocol):
    """Admits requests and chooses their upstreams."""

    def acquire(self, request: SlotRequest) -> Result[Slot, RefusedError]:
        """Wait for a slot on an upstream.

        Returns
        -------
        Result
            The slot, or ``Err(RefusedError)`` with a `retry_after_s`; a refused
            request has not run.
        """


class RunSample(msgspec.Struct, frozen=True):
    """Measurements of one run, or of a part of a long run, of a version.

    Parameters
    ----------
    route : RouteName
        The request's route.
    version : Version
        The version that served it.
    upstream : UpstreamName
        The upstream that served it.
    failure_domain : FailureDomain
        The failure domain of the upstream.
    outcome : Outcome or None
        How the run ended; None while it is in progress.
    first_token_s : float or None
        Time to the first token, in seconds; None in all samples but one.
    gap_s : float or None
        Mean time between tokens, in seconds; None if it isn't known.
    tokens : int
        Number of tokens generated so far.
    is_quarantined : bool
        Whether the request is known to crash upstreams.
    fingerprint : str
        Identical for requests with the same content; empty if not known.
    age_s : float
        Time since the run started, in seconds.

    Notes
    -----
    A run is sampled at its first token, while it is in progress, and at its end.
    Only one of its samples has `first_token_s`; `gap_s` is the mean since the first
    token.
    """

    route: RouteName
    version: Version
    upstream: UpstreamName
    failure_domain: FailureDomain
    outcome: Outcome | None
    first_token_s: float | None
    gap_s: float | None
    tokens: int
    is_quarantined: bool = False
    fingerprint: str = ""
    age_s: float = 0.0


class VersionPolicy(Protocol):
    """Assigns a version to each new request and observes runs of each version."""

    def choose(self, route: Route, request_key: str) -> Version | None:
        """Return the version for a new request, or None if any version may serve it."""

    def observe(self, sample: RunSample) -> None:
        """Record a sample of a run."""
