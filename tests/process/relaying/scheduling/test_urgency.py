import unittest

from boragedeck.process.relaying.scheduling.urgency import UrgencyRanks, pool_urgencies
from boragedeck.version.routing import (
    Backend,
    CallKind,
    EngineProfile,
    RelayPool,
    RouteRule,
    RoutingTable,
)

ENGINE = EngineProfile(slots=8, memory_tokens=80_000)
POOLS = {name: RelayPool(name, 100, ENGINE) for name in "pq"}
POOLS["service"] = RelayPool("service", 100)


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
    return RoutingTable(version=1, routes={"h": rules}, pools=POOLS, **fields)


def rank(table, pool, rule, organisation=None):
    return UrgencyRanks().rank(table, pool, rule, organisation)


class UrgencyRanksTest(unittest.TestCase):
    """New behaviour takes effect in no pool whose requests are equally urgent."""

    def test_pool_of_routes_with_equal_priorities_has_none(self):
        a, b, c = rule("a", 3, ("p",)), rule("b", 3, ("p",)), rule("c", 1, ("q",))
        equal = table(a, b, c)
        self.assertIsNone(rank(equal, "p", a))
        self.assertIsNone(rank(equal, "q", c))
        self.assertIsNone(rank(equal, "unknown", a))

    def test_pool_of_routes_with_different_priorities_has_ranks(self):
        a, b = rule("a", 3, ("p",)), rule("b", 1, ("p", 0.5), ("q", 0.5))
        different = table(a, b)
        self.assertEqual(pool_urgencies(different, "p"), [(1, 1), (3, 3)])
        self.assertEqual([rank(different, "p", each) for each in (b, a)], [0, 1])
        self.assertIsNone(rank(different, "q", b))

    def test_pool_of_a_service_has_none(self):
        a, b = rule("a", 3, ("service",)), rule("b", 1, ("service",))
        self.assertIsNone(rank(table(a, b), "service", a))

    def test_backend_without_weight_gets_no_requests(self):
        a, b = rule("a", 3, ("p",)), rule("b", 1, ("p", 0.0), ("q", 1.0))
        self.assertIsNone(rank(table(a, b), "p", a))

    def test_priority_of_the_organisation_counts_before_that_of_the_route(self):
        keys = {"key-1": "one", "key-2": "two"}
        fields = {"organisations": keys, "needs_keys": True}
        a, b = rule("a", 3, ("p",)), rule("b", 1, ("p",))
        both = table(a, b, priorities={"one": 0, "two": 2}, **fields)
        order = [(b, "one"), (a, "one"), (b, "two"), (a, "two")]
        self.assertEqual([rank(both, "p", *each) for each in order], [0, 1, 2, 3])

    def test_organisation_without_a_priority_has_that_of_its_route(self):
        fields = {"organisations": {"1": "one", "2": "two"}, "needs_keys": True}
        a = rule("a", 3, ("p",))
        mixed = table(a, priorities={"one": 2}, **fields)
        self.assertEqual(pool_urgencies(mixed, "p"), [(2, 3), (3, 3)])
        self.assertEqual(rank(mixed, "p", a, "two"), 1)

    def test_equal_organisations_and_routes_have_none(self):
        fields = {"organisations": {"1": "one", "2": "two"}, "needs_keys": True}
        a = rule("a", 3, ("p",))
        equal = table(a, priorities={"one": 2, "two": 2}, **fields)
        self.assertIsNone(rank(equal, "p", a, "one"))

    def test_public_routes_have_no_organisation(self):
        public = rule("a", 3, ("p",), is_public=True)
        fields = {"organisations": {"key": "one"}, "needs_keys": True}
        found = pool_urgencies(table(public, priorities={"one": 2}, **fields), "p")
        self.assertEqual(found, [(3, 3)])

    def test_organisations_are_looked_up_once_for_all_routes(self):
        """Guards against a change of a large table that holds up the process."""
        looked_up = []

        class Priorities(dict):
            def get(self, key, default=None):
                looked_up.append(key)
                return super().get(key, default)

        fields = {"organisations": {"1": "one", "2": "two"}, "needs_keys": True}
        rules = [rule(f"r{number}", number % 2, ("p",)) for number in range(20)]
        large = table(*rules, priorities=Priorities(one=0, two=0), **fields)
        self.assertEqual(pool_urgencies(large, "p"), [(0, 0), (0, 1)])
        self.assertCountEqual(looked_up, ["one", "two"])

    def test_another_table_is_asked_anew(self):
        ranks = UrgencyRanks()
        a, b = rule("a", 3, ("p",)), rule("b", 1, ("p",))
        self.assertIsNone(ranks.rank(table(a), "p", a, None))
        self.assertEqual(ranks.rank(table(a, b), "p", a, None), 1)
