"""Tells in which pools the requests have different priorities.

Only these pools order and refuse requests by priority and objective, and tell their
engines the priorities.
"""

from boragedeck.ids import PoolName
from boragedeck.version.routing import EMPTY_ROUTING_TABLE, RouteRule, RoutingTable

__all__ = ["PriorityPools", "pool_priorities"]


class PriorityPools:
    """Remembers which pools of the table in force have different priorities."""

    def __init__(self):
        self._table = EMPTY_ROUTING_TABLE
        self._has_priorities: dict[PoolName, bool] = {}

    def has_priorities(self, table: RoutingTable, pool: PoolName) -> bool:
        """Return whether requests of different priorities use a pool.

        Parameters
        ----------
        table : RoutingTable
            The table in force.
        pool : PoolName
            The pool.
        """
        if table is not self._table:
            self._table = table
            self._has_priorities = {}
        if pool not in self._has_priorities:
            self._has_priorities[pool] = len(pool_priorities(table, pool)) > 1
        return self._has_priorities[pool]


def pool_priorities(table: RoutingTable, pool: PoolName) -> frozenset[int]:
    """Return the priorities that requests to a pool may have."""
    organisations = set(table.organisations.values())
    found: set[int] = set()
    for rules in table.routes.values():
        for rule in rules:
            if not _uses(rule, pool):
                continue
            if rule.is_public or not table.needs_keys:
                found.add(rule.priority)
                continue
            for organisation in organisations:
                found.add(table.priorities.get(organisation, rule.priority))
    return frozenset(found)


def _uses(rule: RouteRule, pool: PoolName) -> bool:
    """Return whether requests of a route may be sent to a pool.

    Notes
    -----
    If no backend has a weight, all requests go to the first one.
    """
    weighted = [backend.pool for backend in rule.backends if backend.weight > 0.0]
    used = weighted or [backend.pool for backend in rule.backends[:1]]
    return pool in used
