import unittest

from boragedeck.process.relaying.scheduling.priority_pools import (
    PriorityPools,
    pool_priorities,
)
from boragedeck.version.routing import Backend, CallKind, RouteRule, RoutingTable


def rule(name, priority, *pools, is_public=False):
    return RouteRule(
        name=name,
        host="h",
        prefix=f"/{name}/",
        kind=CallKind.STREAM,
        timeout_s=1.0,
        goal_s=1.0,
        priority=priority,
        is_public=is_public,
        backends=tuple(Backend(*pool) for pool in pools),
    )


def table(*rules, **fields):
    return RoutingTable(version=1, routes={"h": rules}, pools={}, **fields)


class PriorityPoolsTest(unittest.TestCase):
    """New behaviour takes effect in no pool whose requests have equal priorities."""

    def test_pool_of_routes_with_equal_priorities_has_none(self):
        equal = table(rule("a", 3, ("p",)), rule("b", 3, ("p",)), rule("c", 1, ("q",)))
        self.assertFalse(PriorityPools().has_priorities(equal, "p"))
        self.assertFalse(PriorityPools().has_priorities(equal, "q"))
        self.assertFalse(PriorityPools().has_priorities(equal, "unknown"))

    def test_pool_of_routes_with_different_priorities_has_them(self):
        different = table(rule("a", 3, ("p",)), rule("b", 1, ("p", 0.5), ("q", 0.5)))
        self.assertEqual(pool_priorities(different, "p"), {1, 3})
        self.assertTrue(PriorityPools().has_priorities(different, "p"))
        self.assertFalse(PriorityPools().has_priorities(different, "q"))

    def test_backend_without_weight_gets_no_requests(self):
        unused = table(rule("a", 3, ("p",)), rule("b", 1, ("p", 0.0), ("q", 1.0)))
        self.assertFalse(PriorityPools().has_priorities(unused, "p"))

    def test_priorities_of_organisations_override_those_of_routes(self):
        keys = {"key-1": "one", "key-2": "two"}
        rules = rule("a", 3, ("p",)), rule("b", 1, ("p",))
        fields = {"organisations": keys, "needs_keys": True}
        equal = table(*rules, priorities={"one": 2, "two": 2}, **fields)
        self.assertFalse(PriorityPools().has_priorities(equal, "p"))
        different = table(rules[0], priorities={"one": 2}, **fields)
        self.assertEqual(pool_priorities(different, "p"), {2, 3})
        self.assertTrue(PriorityPools().has_priorities(different, "p"))

    def test_public_routes_have_no_organisation(self):
        public = rule("a", 3, ("p",), is_public=True)
        fields = {"organisations": {"key": "one"}, "needs_keys": True}
        self.assertEqual(
            pool_priorities(table(public, priorities={"one": 2}, **fields), "p"), {3}
        )

    def test_another_table_is_asked_anew(self):
        pools = PriorityPools()
        self.assertFalse(pools.has_priorities(table(rule("a", 3, ("p",))), "p"))
        different = table(rule("a", 3, ("p",)), rule("b", 1, ("p",)))
        self.assertTrue(pools.has_priorities(different, "p"))
