import random
import unittest
from collections import Counter

import msgspec

from boragedeck.version.routing import Backend, choose_backend
from tests.support.replicas import call_rule, routing_table


class RoutingTest(unittest.TestCase):
    def test_paths_match_by_host_and_prefix(self):
        short = call_rule()
        table = routing_table(short)
        self.assertIs(table.match("here.example", "/r/x"), short)
        self.assertIsNone(table.match("here.example", "/r"))
        self.assertIsNone(table.match("other.example", "/r/x"))

    def test_requests_are_distributed_by_weight(self):
        backends = (Backend("a", 9.0), Backend("b", 1.0), Backend("c", 0.0))
        rule = msgspec.structs.replace(call_rule(), backends=backends)
        rng = random.Random(1)
        counts = Counter(choose_backend(rule, rng) for _ in range(2000))
        self.assertNotIn("c", counts)
        self.assertAlmostEqual(counts["b"] / 2000, 0.1, delta=0.03)

    def test_backends_are_used_when_all_weights_are_zero(self):
        backends = (Backend("a", 0.0), Backend("b", 0.0))
        rule = msgspec.structs.replace(call_rule(), backends=backends)
        self.assertEqual(choose_backend(rule, random.Random(1)), "a")
