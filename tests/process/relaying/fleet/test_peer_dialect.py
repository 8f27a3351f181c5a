import unittest

import msgspec
from prometheus_client import CollectorRegistry

from boragedeck.connection.address import Address
from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.peer_protocol import Greeting, PeerProtocol
from boragedeck.connection.store import Table
from boragedeck.process.membership.fact_store import FactStore
from boragedeck.process.membership.gossip_messages import (
    AgedFact,
    FactExchange,
    FactPush,
)
from boragedeck.process.relaying.fleet.peer_dialect import RelayDialect
from boragedeck.process.relaying.loads.load_messages import LoadSum, LoadUpdate
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.timers import ManualTimers

UNNAMED, NAMED = PeerProtocol.UNNAMED, PeerProtocol.NAMED
PEER = Address("10.0.0.1", 7040)
VERSIONS = {Table.ROUTING: 1_000_000_000_020}


def aged(topic):
    return AgedFact(Fact(topic, "k", "r1", 1), 0.0)


class TranslationTest(unittest.TestCase):
    def setUp(self):
        self.metrics = RelayMetrics(CollectorRegistry())
        self.dialect = RelayDialect(self.metrics)

    def test_builds_that_may_count_otherwise_are_told_no_versions(self):
        for message in (
            LoadUpdate("r1", 3, {}, VERSIONS),
            LoadSum("r1", 3, {}, VERSIONS, True),
        ):
            told = self.dialect.for_peer(message, UNNAMED)
            self.assertEqual(told.newest_row_versions, {})
            self.assertEqual(told.number, 3)
            self.assertIs(self.dialect.for_peer(message, NAMED), message)

    def test_topics_that_old_builds_do_not_decode_are_left_out(self):
        unknown = FactTopic.BRITTLE_REPLICA, FactTopic.REPLICA_SUCCESSOR
        facts = tuple(aged(t) for t in (*unknown, FactTopic.MEMBER))
        for message in (FactPush(facts), FactExchange(facts, (1,), 9)):
            told = self.dialect.for_peer(message, UNNAMED)
            topics = [each.fact.topic for each in told.facts]
            self.assertEqual(topics, [FactTopic.MEMBER])
            self.assertIs(self.dialect.for_peer(message, NAMED), message)

    def test_fact_of_a_newer_build_is_skipped_and_the_others_hold(self):
        entry = ["member", "k", "r2", 1, b"", 60.0]
        unknown = ["weather", "k", "r2", 2, b"", 60.0]
        body = msgspec.msgpack.encode(["FactPush", [[unknown, 0.0], [entry, 0.0]]])
        push = msgspec.msgpack.decode(body, type=FactPush)
        store = FactStore("r1", ManualTimers())
        self.assertEqual([store.merge(each) for each in push.facts], [False, True])

    def shown(self, build, protocol):
        return self.metrics.registry.get_sample_value(
            "boragedeck_peers", {"build": build, "protocol": protocol}
        )

    def test_peers_are_counted_by_build_and_protocol(self):
        other = Address("10.0.0.2", 7040)
        self.dialect.note_peer(PEER, UNNAMED, None)
        self.dialect.note_peer(other, UNNAMED, None)
        self.dialect.note_peer(PEER, NAMED, Greeting(2, "b2"))
        self.assertEqual(self.shown("unnamed", "1"), 1)
        self.assertEqual(self.shown("b2", "2"), 1)
        self.dialect.forget_peer(PEER)
        self.assertEqual(self.shown("b2", "2"), 0)
