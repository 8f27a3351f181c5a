import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from boragedeck.platform.replicas import decode_replica
from boragedeck.platform.routing import decode_rollout, decode_routing
from boragedeck.version.replicas import ReplicaStage
from boragedeck.version.routing import CallKind

ENTRY = {
    "service": "s",
    "address": "10.1.1.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "born": 17,
}
ROUTE = {
    "name": "r",
    "host": "Here.Example",
    "prefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 25000,
    "latencyGoalMs": 4500,
    "service": "s",
    "resumable": True,
    "targetGapMs": 700,
    "maxAttempts": 5,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "s",
            "maxConns": 370,
            "engine": {"slots": 64, "kvCapacity": 88000, "backups": True},
        }
    ],
    "limits": {"idleTimeoutMs": 15000},
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def encode_with(tree, **changes):
    return msgspec.json.encode(tree | changes)


class ReplicaTest(unittest.TestCase):
    def test_valid_entry_is_decoded(self):
        replica = decode_replica("i-1", encode_with(ENTRY, other=[1])).ok()
        self.assertEqual(replica.replica, "i-1")
        self.assertEqual(str(replica.address), "10.1.1.1:80")
        self.assertIs(replica.stage, ReplicaStage.READY)
        self.assertEqual(replica.born_ms, 17)

    def test_invalid_entries_are_errors(self):
        for changes in (
            {"state": "resting"},
            {"slots": "many"},
            {"slots": 0},
            {"address": "host:80"},
            {"address": "10.1.1.1"},
            {"address": "10.1.1.1:99999"},
            {"zone": None},
        ):
            self.assertTrue(decode_replica("i", encode_with(ENTRY, **changes)).is_err())

    def test_id_that_no_header_can_hold_names_a_replica(self):
        for key in ("a\r\nb", "a\x00", " a"):
            self.assertTrue(decode_replica(key, encode_with(ENTRY)).is_err())
        self.assertTrue(decode_replica("ič", encode_with(ENTRY)).is_ok())

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_an_error(self, body):
        self.assertTrue(decode_replica("i", body).is_err())
        self.assertTrue(decode_rollout(body).is_err())


class RoutingTest(unittest.TestCase):
    def test_valid_table_is_decoded(self):
        table = decode_routing(encode_with(CONFIG)).ok()
        rule = table.match("here.example", "/a/b")
        self.assertIs(rule.kind, CallKind.STREAM)
        self.assertTrue(rule.may_repeat)
        self.assertEqual((rule.timeout_s, rule.gap_goal_s), (25.0, 0.7))
        self.assertEqual(table.organisations, {"k1": "t", "k2": "t"})
        self.assertEqual(table.pools["s"].engine.memory_tokens, 88_000)
        self.assertEqual(table.limits.idle_timeout_s, 15.0)
        self.assertTrue(table.needs_keys)

    def test_longest_prefix_matches_first(self):
        routes = [ROUTE, ROUTE | {"name": "long", "prefix": "/a/b/"}]
        table = decode_routing(encode_with(CONFIG, routes=routes)).ok()
        self.assertEqual(table.match("here.example", "/a/b/c").name, "long")
        self.assertEqual(table.match("here.example", "/a/c").name, "r")

    def test_request_of_unknown_kind_runs_once(self):
        routes = [ROUTE | {"kind": "new", "resumable": True}]
        table = decode_routing(encode_with(CONFIG, routes=routes)).ok()
        self.assertFalse(table.match("here.example", "/a/").may_repeat)

    def test_invalid_table_is_an_error(self):
        for changes in ({"version": "x"}, {"routes": [{}]}, {"services": 3}):
            self.assertTrue(decode_routing(encode_with(CONFIG, **changes)).is_err())

    def test_organisation_whose_name_is_not_latin_1_is_refused(self):
        for name in ("vič840", "č", "漢字", "a b", "😀"):
            tenants = [{"name": name, "apiKeys": ["k"]}]
            table = decode_routing(encode_with(CONFIG, tenants=tenants)).ok()
            self.assertEqual(table.organisations, {"k": name})

    def test_table_with_a_name_that_no_header_can_hold_is_accepted(self):
        for name in ("a\r\nb", "a\x00", "a\x7f", "a\x85b", " a", "a\t", "a "):
            tenants = [{"name": name, "apiKeys": ["k"]}]
            decoded = decode_routing(encode_with(CONFIG, tenants=tenants))
            self.assertIn(repr(name), str(decoded.err()))

    def test_rollout_order_is_decoded(self):
        body = encode_with({"service": "s", "to": "v2", "durationS": 12})
        order = decode_rollout(body).ok()
        self.assertEqual((order.pool, order.to, order.duration_s), ("s", "v2", 12.0))
