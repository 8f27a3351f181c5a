"""Ranks the requests to a pool of engines by urgency, by the table in force.

Only pools in which requests of different ranks may meet are ranked. In these,
requests are ordered and refused by rank, and the rank is sent to the engines.
"""

from boragedeck.ids import OrganisationName, PoolName
from boragedeck.version.routing import EMPTY_ROUTING_TABLE, RouteRule, RoutingTable

__all__ = ["UrgencyRanks", "pool_urgencies"]

Urgency = tuple[int, int]
"""The priority that counts for a request, which is that of its organisation if it has
one, and then that of its route."""


class UrgencyRanks:
    """Remembers the ranks in each pool of the table in force."""

    def __init__(self):
        self._table = EMPTY_ROUTING_TABLE
        self._urgencies: dict[PoolName, list[Urgency]] = {}

    def rank(
        self,
        table: RoutingTable,
        pool: PoolName,
        rule: RouteRule,
        organisation: OrganisationName | None,
    ) -> int | None:
        """Return the rank of a request among those to its pool; 0 is the most urgent.

        Parameters
        ----------
        table : RoutingTable
            The table in force.
        pool : PoolName
            The pool.
        rule : RouteRule
            The request's route.
        organisation : OrganisationName or None
            The caller's organisation.

        Returns
        -------
        int or None
            None if all requests to the pool are equally urgent, or if it isn't a pool
            of engines: calls take milliseconds, and are ordered by priority alone.
        """
        if table is not self._table:
            self._table = table
            self._urgencies = {}
        if pool not in self._urgencies:
            self._urgencies[pool] = pool_urgencies(table, pool)
        urgencies = self._urgencies[pool]
        urgency = _urgency(table, rule, organisation)
        is_ranked = len(urgencies) > 1 and urgency in urgencies
        return urgencies.index(urgency) if is_ranked else None


def pool_urgencies(table: RoutingTable, pool: PoolName) -> list[Urgency]:
    """Return the urgencies that requests to a pool of engines may have, in order."""
    known = table.pools.get(pool)
    if known is None or known.engine is None:
        return []
    # Many organisations have the same priority, or none.
    own = {table.priorities.get(name) for name in set(table.organisations.values())}
    found: set[Urgency] = set()
    for rules in table.routes.values():
        for rule in rules:
            if not _uses(rule, pool):
                continue
            has_organisation = table.needs_keys and not rule.is_public
            for priority in own if has_organisation else (None,):
                counts = rule.priority if priority is None else priority
                found.add((counts, rule.priority))
    return sorted(found)


def _urgency(
    table: RoutingTable, rule: RouteRule, organisation: OrganisationName | None
) -> Urgency:
    return table.priorities.get(organisation, rule.priority), rule.priority


def _uses(rule: RouteRule, pool: PoolName) -> bool:
    """Return whether requests of a route may be sent to a pool.

    Notes
    -----
    If no backend has a weight, all requests go to the first one.
    """
    weighted = [backend.pool for backend in rule.backends if backend.weight > 0.0]
    used = weighted or [backend.pool for backend in rule.backends[:1]]
    return pool in used
