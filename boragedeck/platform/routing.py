"""Decodes the operators' routing table and rollout orders."""

import msgspec
from result import Err, Ok, Result

from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import TableError
from boragedeck.ids import OrganisationName, PoolName, RouteName, Version
from boragedeck.platform.header_text import check_header_text
from boragedeck.version.relay_rollouts import RolloutOrder
from boragedeck.version.routing import (
    Backend,
    CallerLimits,
    CallKind,
    EngineProfile,
    RelayPool,
    RouteRule,
    RoutingTable,
)

__all__ = [
    "ROLLOUT_PREFIX",
    "ROUTING_KEY",
    "decode_rollout",
    "decode_routing",
]

ROUTING_KEY = "config"
ROLLOUT_PREFIX = "rollout/"


class _Backend(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    latency_goal_ms: float
    service: str | None = None
    backends: list[_Backend] = []
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: float = 0.0


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct, rename="camel"):
    slots: int
    kv_capacity: int
    """In tokens, although the name has no unit."""
    backups: bool = False
    models: list[_Model] = []


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_conns: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Rollout(msgspec.Struct, rename="camel"):
    service: str
    to: str
    duration_s: float


def decode_routing(body: bytes) -> Result[RoutingTable, TableError]:
    """Decode a routing table.

    Parameters
    ----------
    body : bytes
        The routing table as JSON, written by the operators.
    """
    try:
        cfg = msgspec.json.decode(body, type=_Config, strict=False)
        return Ok(_table(cfg))
    except (*DECODE_ERRORS, ValueError) as exc:
        return Err(TableError(str(exc), step="decode routing table"))


def decode_rollout(body: bytes) -> Result[RolloutOrder, TableError]:
    """Decode an order to move a pool to another version."""
    try:
        order = msgspec.json.decode(body, type=_Rollout, strict=False)
    except DECODE_ERRORS as exc:
        return Err(TableError(str(exc), step="decode rollout"))
    return Ok(
        RolloutOrder(PoolName(order.service), Version(order.to), order.duration_s)
    )


def _table(cfg: _Config) -> RoutingTable:
    routes: dict[str, list[RouteRule]] = {}
    for route in cfg.routes:
        routes.setdefault(route.host.lower(), []).append(_rule(route))
    for rules in routes.values():
        rules.sort(key=lambda rule: -len(rule.prefix))
    tenants = cfg.tenants or []
    return RoutingTable(
        version=cfg.version,
        routes={host: tuple(rules) for host, rules in routes.items()},
        pools={PoolName(each.name): _pool(each) for each in cfg.services},
        limits=CallerLimits(
            cfg.limits.max_header_bytes,
            cfg.limits.max_body_bytes,
            cfg.limits.header_timeout_ms / 1000.0,
            cfg.limits.idle_timeout_ms / 1000.0,
        ),
        organisations={
            key: _organisation(tenant) for tenant in tenants for key in tenant.api_keys
        },
        priorities={
            OrganisationName(tenant.name): tenant.priority
            for tenant in tenants
            if tenant.priority is not None
        },
        needs_keys=cfg.tenants is not None,
    )


def _organisation(tenant: _Tenant) -> OrganisationName:
    """Return an organisation's name, which is sent to replicas in a header."""
    return OrganisationName(check_header_text(tenant.name, "tenant's name"))


def _rule(route: _Route) -> RouteRule:
    backends = [Backend(PoolName(b.service), b.weight) for b in route.backends]
    if not backends and route.service is not None:
        backends = [Backend(PoolName(route.service))]
    if not backends:
        raise ValueError(f"route {route.name!r} has no service")
    return RouteRule(
        name=RouteName(route.name),
        host=route.host.lower(),
        prefix=route.prefix,
        kind=_kind(route.kind),
        timeout_s=route.timeout_ms / 1000.0,
        goal_s=route.latency_goal_ms / 1000.0,
        backends=tuple(backends),
        is_resumable=route.resumable,
        gap_goal_s=route.target_gap_ms / 1000.0,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        is_public=route.public,
    )


def _kind(text: str) -> CallKind:
    match text:
        case "idempotent":
            return CallKind.IDEMPOTENT
        case "streaming":
            return CallKind.STREAM
    # A request of an unknown kind must not run twice.
    return CallKind.ONCE


def _pool(service: _Service) -> RelayPool:
    engine = None
    if service.engine is not None:
        engine = EngineProfile(
            service.engine.slots,
            service.engine.kv_capacity,
            service.engine.backups,
            frozenset(model.name for model in service.engine.models),
        )
    return RelayPool(PoolName(service.name), service.max_conns, engine)
