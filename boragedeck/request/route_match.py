"""Finds the route, the organisation, the pool and the priority of a request."""

import msgspec

from boragedeck.exceptions import RefusedError
from boragedeck.ids import OrganisationName
from boragedeck.request.relay_components import RelayComponents
from boragedeck.request.relay_request import RelayRequest
from boragedeck.version.routing import (
    RelayPool,
    RouteRule,
    RoutingTable,
    choose_backend,
)

__all__ = ["RouteMatch", "match_request"]

NO_TABLE_RETRY_SHARE = 1 / 3
"""Longest Retry-After that a caller follows, as a share of its time-out. A caller may
retry only once, and a table that is missing at start takes seconds to arrive."""
NO_TABLE_JITTER_SHARE = 0.25
"""Retries are spread over this share of the wait."""
NO_TABLE_CALLER_TIMEOUT_S = 2.0
"""Assumed time-out of a caller that sent none."""


class RouteMatch(msgspec.Struct, frozen=True):
    """What the routing table says of a request.

    Parameters
    ----------
    rule : RouteRule
        The route.
    organisation : OrganisationName or None
        The caller's organisation.
    pool : RelayPool
        The pool whose replicas serve it, drawn by the weights of the route.
    priority : int
        The priority; 0 is the highest.
    rank : int or None
        Its rank among the requests to the pool, see `UrgencyRanks`.
    """

    rule: RouteRule
    organisation: OrganisationName | None
    pool: RelayPool
    priority: int
    rank: int | None


def match_request(
    parts: RelayComponents, table: RoutingTable, req: RelayRequest
) -> RouteMatch:
    """Return what a routing table says of a request.

    Raises
    ------
    RefusedError
        If no route matches, or the key is unknown.
    """
    rule = _match_route(parts, table, req)
    organisation = _authenticate(table, rule, req)
    name = choose_backend(rule, parts.rng)
    pool = table.pools.get(name, RelayPool(name, 0))
    priority = table.priorities.get(organisation, rule.priority)
    rank = parts.urgency_ranks.rank(table, name, rule, organisation)
    return RouteMatch(rule, organisation, pool, priority, rank)


def _match_route(
    parts: RelayComponents, table: RoutingTable, req: RelayRequest
) -> RouteRule:
    if not table.version:
        caller_timeout_s = req.caller_timeout_s or NO_TABLE_CALLER_TIMEOUT_S
        spread = parts.rng.uniform(1.0 - NO_TABLE_JITTER_SHARE, 1.0)
        raise RefusedError(
            "no routing table is known yet",
            status=503,
            kind="server_error",
            code="no_table",
            retry_after_s=NO_TABLE_RETRY_SHARE * caller_timeout_s * spread,
            step="route",
        )
    rule = table.match(req.host, req.path)
    if rule is None:
        raise RefusedError(
            "no route matches this host and path",
            status=404,
            kind="invalid_request_error",
            code="no_route",
            step="route",
        )
    return rule


def _authenticate(
    table: RoutingTable, rule: RouteRule, req: RelayRequest
) -> OrganisationName | None:
    if rule.is_public or not table.needs_keys:
        return None
    organisation = table.organisations.get(req.key or "")
    if organisation is None:
        raise RefusedError(
            "no organisation has this API key",
            status=401,
            kind="authentication_error",
            code="bad_key",
            step="route",
        )
    return organisation
