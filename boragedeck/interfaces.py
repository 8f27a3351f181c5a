"""What the parts need of each other; the composition root joins them."""

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
    """Holds the configuration in force in this process."""

    def current(self) -> Config:
        """Return the configuration in force; revision 0 before the first."""

    def subscribe(self, callback: Callable[[Config], None]) -> None:
        """Call with each configuration that comes into force."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Another router, or this one.

    Parameters
    ----------
    router : RouterId
        One run of a router process.
    vm : VmName
        The VM that it runs on.
    failure_domain : FailureDomain
        Where the VM stands.
    address : Address
        Where it listens for peers.
    health : Health
        What this router believes of it.
    capacity : float
        How much its VM can do, relative to others: link times processor.
    """

    router: RouterId
    vm: VmName
    failure_domain: FailureDomain
    address: Address
    health: Health = Health.HEALTHY
    capacity: float = 1.0


class Membership(Protocol):
    """The view that one router has of the others."""

    own: Member

    def members(self) -> list[Member]:
        """Return the other routers that are not dead, suspects included."""

    def routers(self) -> int:
        """Return the number of routers that are not dead, this one included."""

    def address_of(self, router: RouterId) -> Address | None:
        """Return where one of `members` listens; None for all others."""

    def suspect(self, router: RouterId) -> None:
        """Note that a call to a router failed."""


class FactBoard(Protocol):
    """Soft state that spreads from router to router."""

    own: RouterId

    def publish(
        self, topic: FactTopic, key: str, body: bytes, *, ttl_s: float = 60.0
    ) -> Fact:
        """State a fact, replacing this router's earlier one of the same key."""

    def facts(self, topic: FactTopic) -> list[Fact]:
        """Return the facts that hold, of all origins."""

    def subscribe(self, topic: FactTopic, callback: Callable[[Fact], None]) -> None:
        """Call with each fact that is new or replaced, own ones included."""


class Outcome(enum.Enum):
    """How one run on an upstream ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    """Stopped by the caller or the router."""
    CRASHED = "crashed"
    """The connection broke in the middle of the run."""
    SILENT = "silent"
    """The stream went silent."""
    FAILED = "failed"
    """The upstream answered with an error."""
    REFUSED = "refused"
    """The upstream was not reached or did not take the request."""


class SlotRequest(msgspec.Struct, frozen=True):
    """A request for a place on an upstream.

    Parameters
    ----------
    route : Route
        The request's route.
    pool : Pool
        The pool that serves it.
    organisation : OrganisationName
        Whose request it is.
    version : Version or None
        The version that the upstream must serve; None for any.
    prompt_tokens : int
        Estimated tokens to prefill.
    prefix_hash : int
        Hash of the organisation and the start of the prompt, for affinity.
    fingerprint : str
        Identifies requests with the same content, for quarantine.
    excluded : frozenset of UpstreamName
        Upstreams that failed this request.
    is_resume : bool
        Whether output has already reached the caller.
    deadline : float
        When the wait must end, on the timer service's monotonic clock.
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
    """A place on an upstream, held for one run."""

    upstream: Upstream

    def first_token(self) -> None:
        """Note that the first output has come."""

    def tokens(self, count: int) -> None:
        """Note that further tokens have come."""

    def finish(self, outcome: Outcome) -> None:
        """Give the place back; further calls have no effect."""


class Chooser(Protocol):
    """Admits requests and chooses their upstreams."""

    def acquire(self, request: SlotRequest) -> Result[Slot, RefusedError]:
        """Wait for a place on an upstream.

        Returns
        -------
        Result
            The place, or ``Err(RefusedError)`` with a `retry_after_s`; a refused
            request has not run.
        """


class RunSample(msgspec.Struct, frozen=True):
    """What one run, or a part of a long one, showed of a version.

    Parameters
    ----------
    route : RouteName
        The request's route.
    version : Version
        The version that served it.
    upstream : UpstreamName
        The upstream that served it.
    failure_domain : FailureDomain
        Where the upstream stands.
    outcome : Outcome or None
        How the run ended; None while it runs.
    first_token_s : float or None
        Time to the first token, in seconds.
    gap_s : float or None
        Mean time between tokens, in seconds.
    tokens : int
        Tokens generated.
    is_quarantined : bool
        Whether the request is known to crash upstreams.
    fingerprint : str
        Identifies requests with the same content; empty where it is not known.
    age_s : float
        Time since the run started, in seconds.

    Notes
    -----
    A run is observed when its first token comes, while it goes on, and at its end.
    Only one of its samples states `first_token_s`; `gap_s` is the mean since the
    sample before.
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
    """Decides which version a new request gets, and watches how versions do."""

    def choose(self, route: Route, request_key: str) -> Version | None:
        """Return the version for a new request; None where any will do."""

    def observe(self, sample: RunSample) -> None:
        """Take note of a run."""
