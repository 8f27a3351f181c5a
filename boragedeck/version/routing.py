"""The routing table: which requests go to which pool, for whom and how long."""

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
    """What a request is and whether it may run more than once."""

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
        Its share, relative to the other backends of the route.
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
        The host that callers name, in lower case.
    prefix : str
        What the path begins with; ends with a slash.
    kind : CallKind
        What may be repeated.
    is_resumable : bool
        Whether a stream may go on at another replica.
    timeout_s : float
        When a request gets its final answer at the latest, in seconds.
    goal_s : float
        The latency objective, for streams that of the first event, in seconds.
    gap_goal_s : float
        The longest pause between events of a stream that is in time, in seconds.
    priority : int
        0 goes first.
    max_attempts : int
        How many replicas one request may be sent to.
    is_public : bool
        Whether requests need no key.
    backends : tuple of Backend
        Where the requests go.
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
    """What is known beforehand of a pool's model engines.

    Parameters
    ----------
    slots : int
        Requests that run at a time.
    kv_capacity_tokens : int
        Tokens that an engine holds for its requests.
    supports_kv_backup : bool
        Whether an engine keeps a copy of a run's memory at another one.
    models : frozenset of str
        The models that its engines serve.
    """

    slots: int
    kv_capacity_tokens: int
    supports_kv_backup: bool = False
    models: frozenset[str] = frozenset()


class RelayPool(msgspec.Struct, frozen=True):
    """A set of replicas that serve the same requests.

    Parameters
    ----------
    name : PoolName
        The pool's name.
    max_connections : int
        Connections that a replica takes from all routers together.
    engine : EngineProfile or None
        Set where the replicas are model engines.
    """

    name: PoolName
    max_connections: int
    engine: EngineProfile | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes : int
        The longest head and body of a request.
    header_timeout_s : float
        How long a request's head may take to arrive, in seconds.
    idle_timeout_s : float
        How long a connection may be idle, in seconds.
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
        Grows with each change; 0 before the first.
    routes : dict of str to tuple of RouteRule
        The rules of each host, the longest prefix first.
    pools : dict of PoolName to RelayPool
        The pools.
    limits : CallerLimits
        Bounds on callers.
    organisations : dict of str to OrganisationName
        The organisation that holds each key.
    priorities : dict of OrganisationName to int
        Priorities that go before those of the routes.
    needs_keys : bool
        Whether requests of routes that aren't public need a key.
    """

    version: int
    routes: dict[str, tuple[RouteRule, ...]]
    pools: dict[PoolName, RelayPool]
    limits: CallerLimits = CallerLimits()
    organisations: dict[str, OrganisationName] = {}
    priorities: dict[OrganisationName, int] = {}
    needs_keys: bool = False

    def pool_of_models(self, models: frozenset[str]) -> PoolName | None:
        """Return the only pool whose engines serve these models; None otherwise."""
        found = [
            pool.name
            for pool in self.pools.values()
            if pool.engine is not None and pool.engine.models & models
        ]
        return found[0] if len(found) == 1 else None

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the rule with the longest prefix of a path; None without one."""
        for rule in self.routes.get(host, ()):
            if path.startswith(rule.prefix):
                return rule
        return None


EMPTY_ROUTING_TABLE = RoutingTable(version=0, routes={}, pools={})
"""What is in force before the first table is known."""


def choose_backend(rule: RouteRule, rng: random.Random) -> PoolName:
    """Return the pool for one request, by the weights of the rule's backends."""
    backends = rule.backends
    if len(backends) == 1:
        return backends[0].pool
    weights = [backend.weight for backend in backends]
    if sum(weights) <= 0.0:
        return backends[0].pool
    return rng.choices(backends, weights)[0].pool
