"""The routing table: pools, routes, organisations and limits of requests."""

import enum
import random

import msgspec

from boragedeck.ids import OrganisationName, PoolName, RouteName

__all__ = [
    "EMPTY_ROUTING_TABLE",
    "Backend",
    "CallKind",
    "CallerLimits",
    "EngineProfile",
    "RelayPool",
    "RouteRule",
    "RoutingTable",
    "choose_backend",
]


class CallKind(enum.Enum):
    """The kind of a request, which determines whether it may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    """Runs at most once for each request of a caller."""
    STREAM = "stream"


class Backend(msgspec.Struct, frozen=True):
    """A pool that takes a share of a route's requests.

    Parameters
    ----------
    pool : PoolName
        The pool.
    weight : float
        The share of requests, relative to the other backends of the route.
    """

    pool: PoolName
    weight: float = 1.0


class RouteRule(msgspec.Struct, frozen=True, kw_only=True):
    """How requests of one host and path prefix are handled.

    Parameters
    ----------
    name : RouteName
        The route's name.
    host : str
        The host in the requests, in lower case.
    prefix : str
        The path prefix of the requests; ends with a slash.
    kind : CallKind
        The kind of the requests, which determines whether they may be repeated.
    is_resumable : bool
        Whether a stream may be resumed at another replica.
    timeout_s : float
        The longest time until the final answer of a request, in seconds.
    goal_s : float
        The latency objective, in seconds; for streams, of the first event.
    gap_goal_s : float
        The objective for the longest gap between events of a stream, in seconds.
    priority : int
        The priority of the requests; 0 is the highest.
    max_attempts : int
        Maximum number of replicas to which one request is sent.
    is_public : bool
        Whether requests are accepted without an API key.
    backends : tuple of Backend
        The pools among which the requests are distributed.
    """

    name: RouteName
    host: str
    prefix: str
    kind: CallKind
    timeout_s: float
    goal_s: float
    backends: tuple[Backend, ...]
    is_resumable: bool = False
    gap_goal_s: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    is_public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request of this route may run more than once."""
        match self.kind:
            case CallKind.IDEMPOTENT:
                return True
            case CallKind.STREAM:
                return self.is_resumable
            case CallKind.ONCE:
                return False


class EngineProfile(msgspec.Struct, frozen=True):
    """The configured properties of the model engines of a pool.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests.
    memory_tokens : int
        Capacity of an engine's KV cache, in tokens.
    can_back_up : bool
        Whether an engine can copy the KV cache of a run to another engine.
    models : frozenset of str
        The models that the engines serve.
    """

    slots: int
    memory_tokens: int
    can_back_up: bool = False
    models: frozenset[str] = frozenset()


class RelayPool(msgspec.Struct, frozen=True):
    """A pool of replicas that serve the same requests.

    Parameters
    ----------
    name : PoolName
        The pool's name.
    max_connections : int
        Maximum number of connections of a replica from all routers together.
    engine : EngineProfile or None
        Properties of the model engines; None if the replicas are no engines.
    """

    name: PoolName
    max_connections: int
    engine: EngineProfile | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Size limits and time limits of callers' requests.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of the head and of the body of a request, in bytes.
    header_timeout_s : float
        The longest time to receive the head of a request, in seconds.
    idle_timeout_s : float
        The longest time that a connection may be idle, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the routing table.

    Parameters
    ----------
    version : int
        Increases with each change; 0 before the first table.
    routes : dict of str to tuple of RouteRule
        The rules by host, the longest prefix first.
    pools : dict of PoolName to RelayPool
        The pools by name.
    limits : CallerLimits
        Limits of callers' requests.
    organisations : dict of str to OrganisationName
        The organisation of each API key.
    priorities : dict of OrganisationName to int
        Priorities of organisations, which override those of the routes.
    needs_keys : bool
        Whether requests to non-public routes need an API key.
    """

    version: int
    routes: dict[str, tuple[RouteRule, ...]]
    pools: dict[PoolName, RelayPool]
    limits: CallerLimits = CallerLimits()
    organisations: dict[str, OrganisationName] = {}
    priorities: dict[OrganisationName, int] = {}
    needs_keys: bool = False

    def pool_of_models(self, models: frozenset[str]) -> PoolName | None:
        """Return the pool whose engines serve any of the models; None unless unique."""
        found = [
            pool.name
            for pool in self.pools.values()
            if pool.engine is not None and pool.engine.models & models
        ]
        return found[0] if len(found) == 1 else None

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the rule with the longest matching prefix; None if none matches."""
        for rule in self.routes.get(host, ()):
            if path.startswith(rule.prefix):
                return rule
        return None


EMPTY_ROUTING_TABLE = RoutingTable(version=0, routes={}, pools={})
"""The table in force until the first one is received."""


def choose_backend(rule: RouteRule, rng: random.Random) -> PoolName:
    """Return a random pool for one request, by the weights of the rule's backends."""
    backends = rule.backends
    if len(backends) == 1:
        return backends[0].pool
    weights = [backend.weight for backend in backends]
    if sum(weights) <= 0.0:
        return backends[0].pool
    return rng.choices(backends, weights)[0].pool
