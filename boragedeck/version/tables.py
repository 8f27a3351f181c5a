"""Row types of the two tables that operators edit: routes and pools."""

import enum

import msgspec

from boragedeck.ids import (
    FailureDomain,
    OrganisationName,
    PoolName,
    Revision,
    RouteName,
    UpstreamName,
    Version,
)

__all__ = [
    "Config",
    "RouteKind",
    "Organisation",
    "Pool",
    "PoolKind",
    "Priority",
    "QuarantineLift",
    "Route",
    "RouteLimits",
    "Upstream",
]

ANY_ORGANISATION = "*"

# Default values aren't stored, so that routers of the previous version can read rows
# in which a new field is unused.
ROW_OPTIONS = {"forbid_unknown_fields": True, "omit_defaults": True}


class RouteKind(enum.Enum):
    """The kind of requests of a route."""

    GENERATION = "generation"
    CALL = "call"


class PoolKind(enum.Enum):
    """The kind of upstreams in a pool."""

    ENGINE = "engine"
    SERVICE = "service"


class Priority(enum.Enum):
    """The priority of the requests of a route."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class Organisation(msgspec.Struct, frozen=True, **ROW_OPTIONS):
    """A customer, declared in the routes table.

    Parameters
    ----------
    name : OrganisationName
        Unique name.
    key_sha256 : tuple of str
        SHA-256 of each API key, in hexadecimal.
    weight : float
        The organisation's relative share while requests are queued.
    """

    name: OrganisationName
    key_sha256: tuple[str, ...] = ()
    weight: float = 1.0


class RouteLimits(msgspec.Struct, frozen=True, **ROW_OPTIONS):
    """Limits of one route's requests.

    Parameters
    ----------
    max_tokens : int
        The largest `max_tokens` that a caller may request.
    deadline_s : float
        The longest total time of a request, in seconds.
    queue_s : float
        The longest time that a request waits for an upstream, in seconds.
    grace_s : float
        The longest time that an answer continues without a reader, in seconds.
    """

    max_tokens: int = 32_768
    deadline_s: float = 1800.0
    queue_s: float = 10.0
    grace_s: float = 10.0


class QuarantineLift(msgspec.Struct, frozen=True, **ROW_OPTIONS):
    """Lifts the quarantine of a fingerprint.

    Parameters
    ----------
    fingerprint : str
        The fingerprint that ``boragedeck quarantine`` shows.
    """

    fingerprint: str


class Route(msgspec.Struct, frozen=True, **ROW_OPTIONS):
    """Assigns requests to a pool.

    Parameters
    ----------
    name : RouteName
        Unique name; for generations, the `model` that callers send.
    pool : PoolName
        The pool that serves the route.
    kind : RouteKind
        Whether requests are generations or calls of a plain service.
    repeatable : bool
        Whether a call may run more than once.
    organisations : tuple of str
        The organisations that may use the route; ``"*"`` stands for all.
    version : Version or None
        The upstream version that the route requires; None for any.
    deadline : float or None
        When the rollout of `version` must be finished, in Unix seconds.
    priority : Priority
        The priority of the requests.
    limits : RouteLimits
        Limits of each request.
    quarantine_lifts : tuple of QuarantineLift
        Quarantines of requests that an operator has lifted.
    """

    name: RouteName
    pool: PoolName
    kind: RouteKind = RouteKind.GENERATION
    repeatable: bool = True
    organisations: tuple[str, ...] = (ANY_ORGANISATION,)
    version: Version | None = None
    deadline: float | None = None
    priority: Priority = Priority.INTERACTIVE
    limits: RouteLimits = RouteLimits()
    quarantine_lifts: tuple[QuarantineLift, ...] = ()

    def allows(self, organisation: OrganisationName) -> bool:
        """Return whether an organisation may use the route."""
        allowed = self.organisations
        return ANY_ORGANISATION in allowed or organisation in allowed


class Upstream(msgspec.Struct, frozen=True, **ROW_OPTIONS):
    """A backend: a model engine or a plain service.

    Parameters
    ----------
    name : UpstreamName
        Unique within its pool.
    url : str
        Base URL, such as ``"http://10.1.2.3:8000"``.
    failure_domain : FailureDomain
        The failure domain of the upstream.
    version : Version
        The version that it currently serves, as declared.
    weight : float
        Relative capacity.
    leaving : bool
        Whether it must not receive new requests.
    """

    name: UpstreamName
    url: str
    failure_domain: FailureDomain
    version: Version = Version("")
    weight: float = 1.0
    leaving: bool = False


class Pool(msgspec.Struct, frozen=True, **ROW_OPTIONS):
    """A set of upstreams to which routes refer.

    Parameters
    ----------
    name : PoolName
        Unique name.
    kind : PoolKind
        Whether the upstreams are engines or plain services.
    checks_fencing : bool
        Whether the engines reject orders with an outdated fencing token.
    upstreams : tuple of Upstream
        The pool's upstreams.
    """

    name: PoolName
    kind: PoolKind = PoolKind.ENGINE
    checks_fencing: bool = True
    upstreams: tuple[Upstream, ...] = ()


class Config(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted configuration: both tables at one revision.

    Parameters
    ----------
    revision : Revision
        Increases with each accepted change; 0 before the first.
    organisations : tuple of Organisation
        The organisations, from the routes table.
    routes : tuple of Route
        The routes, from the routes table.
    pools : tuple of Pool
        The pools, from the pools table.
    """

    revision: Revision = Revision(0)
    organisations: tuple[Organisation, ...] = ()
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()

    def route(self, name: str) -> Route | None:
        """Return the route with a name, or None."""
        return next((route for route in self.routes if route.name == name), None)

    def pool(self, name: str) -> Pool | None:
        """Return the pool with a name, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)
