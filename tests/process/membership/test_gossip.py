import random
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.ids import RouterId
from boragedeck.process.membership.fact_store import FactStore
from boragedeck.process.membership.gossip_messages import AgedFact
from boragedeck.process.timers import ManualTimers
from tests.process.peers import Fleet

STOP = FactTopic.ROLLOUT_STOP
LOAD = FactTopic.LOAD


class FactStoreTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.store = FactStore(RouterId("own"), self.timers, max_facts=32)

    def fact(self, number=1, key="k", origin="other", topic=LOAD, ttl_s=10.0):
        return Fact(topic, key, RouterId(origin), number, b"body", ttl_s)

    @given(st.lists(st.tuples(st.integers(1, 4), st.floats(0.0, 9.0)), min_size=1))
    def test_highest_number_is_kept_in_any_order_of_arrival(self, arrivals):
        store = FactStore(RouterId("own"), ManualTimers())
        for number, age_s in arrivals:
            store.merge(AgedFact(self.fact(number), age_s))
        (held,) = store.facts(LOAD)
        self.assertEqual(held.number, max(number for number, _ in arrivals))

    def test_age_of_a_merged_fact_continues(self):
        self.assertTrue(self.store.merge(AgedFact(self.fact(), 7.0)))
        self.timers.advance(2.0)
        (aged,) = self.store.aged_facts(self._keys(), 1000)
        self.assertEqual(aged.age_s, 9.0)
        self.timers.advance(1.0)
        self.assertEqual(self.store.facts(LOAD), [])

    def test_age_starts_anew_at_the_router_that_receives_a_fact(self):
        fact = Fact(FactTopic.LOAD, "k", RouterId("other"), 5)
        self.store.merge(AgedFact(fact, 3.0))
        self.timers.advance(2.0)
        self.assertAlmostEqual(self.store.age_s(fact), 5.0)
        older = msgspec.structs.replace(fact, number=4)
        self.assertEqual(self.store.age_s(older), float("inf"))

    def test_a_late_copy_does_not_revive_an_expired_fact(self):
        self.store.merge(AgedFact(self.fact(), 0.0))
        self.timers.advance(11.0)
        self.store.expire()
        self.assertFalse(self.store.merge(AgedFact(self.fact(), 0.0)))
        self.assertTrue(self.store.merge(AgedFact(self.fact(2), 0.0)))

    def test_own_facts_from_other_routers_are_rejected(self):
        self.assertFalse(self.store.merge(AgedFact(self.fact(9, origin="own"), 0.0)))

    def test_full_store_evicts_own_and_urgent_facts_last(self):
        self.store.publish(LOAD, "own", b"", 1.0)
        self.store.merge(AgedFact(self.fact(key="stop", topic=STOP, ttl_s=1.0), 0.0))
        for number in range(100):
            aged = AgedFact(self.fact(key=str(number), origin=str(number)), 0.0)
            self.store.merge(aged)
        self.assertLessEqual(len(self.store), 32)
        self.assertIn("own", [fact.key for fact in self.store.facts(LOAD)])
        self.assertEqual(len(self.store.facts(STOP)), 1)

    def test_equal_stores_have_equal_digests_in_any_order_of_merging(self):
        other = FactStore(RouterId("third"), self.timers)
        facts = [AgedFact(self.fact(key=str(n)), 0.0) for n in range(20)]
        for aged in facts:
            self.store.merge(aged)
        random.Random(1).shuffle(facts)
        for aged in facts:
            other.merge(aged)
        self.assertEqual(self.store.differing_buckets(other.bucket_sums()), [])
        other.merge(AgedFact(self.fact(2, key="3"), 0.0))
        (bucket,) = self.store.differing_buckets(other.bucket_sums())
        entries = other.entries([bucket])
        to_send, requested = self.store.compare([bucket], entries)
        self.assertEqual((to_send, len(requested)), ([], 1))

    def test_malformed_digests_and_entries_are_ignored(self):
        self.assertEqual(self.store.differing_buckets(b"short"), [])
        self.assertEqual(self.store.compare([-1, 9999], b"1234567"), ([], []))

    def test_fact_over_the_limits_is_rejected(self):
        with self.assertRaises(ValueError):
            self.store.publish(LOAD, "k", b"x" * 100_000, 1.0)

    def _keys(self):
        return [key for key in self.store._stored]


class GossipTest(unittest.TestCase):
    def holders(self, fleet, topic):
        return sum(bool(peer.board.facts(topic)) for peer in fleet.peers)

    def test_urgent_fact_reaches_all_routers_within_seconds(self):
        fleet = Fleet(9)
        fleet.timers.advance(20.0)
        fleet.peers[0].board.publish(STOP, "route/1", b"")
        fleet.timers.advance(0.5)
        self.assertGreaterEqual(self.holders(fleet, STOP), 8)
        fleet.timers.advance(5.0)
        self.assertEqual(self.holders(fleet, STOP), 9)

    def test_facts_arrive_despite_loss_duplicates_and_delay(self):
        fleet = Fleet(9)
        fleet.timers.advance(20.0)
        fleet.network.loss = 0.3
        fleet.network.duplicates = 0.3
        fleet.network.max_delay_s = 0.4
        for number in range(3):
            fleet.peers[0].board.publish(LOAD, "k", str(number).encode())
        fleet.timers.advance(30.0)
        for peer in fleet.peers:
            bodies = [fact.body for fact in peer.board.facts(LOAD)]
            self.assertEqual(bodies, [b"2"])

    def test_failing_subscriber_is_called_once_for_each_number(self):
        fleet = Fleet(3)
        fleet.network.duplicates = 1.0
        received = []

        def listen(fact):
            received.append(fact.number)
            raise RuntimeError("a subscriber's own fault")

        fleet.peers[1].board.subscribe(LOAD, listen)
        fleet.timers.advance(20.0)
        fact = fleet.peers[0].board.publish(LOAD, "k", b"")
        fleet.timers.advance(10.0)
        self.assertEqual(received, [fact.number])

    def test_facts_expire_on_all_routers_after_their_ttl(self):
        fleet = Fleet(5)
        fleet.timers.advance(20.0)
        fleet.peers[0].board.publish(LOAD, "k", b"", ttl_s=8.0)
        fleet.timers.advance(6.0)
        self.assertEqual(self.holders(fleet, LOAD), 5)
        fleet.timers.advance(2.1)
        self.assertEqual(self.holders(fleet, LOAD), 0)
        fleet.timers.advance(60.0)
        self.assertEqual(self.holders(fleet, LOAD), 0)

    def test_many_facts_stay_within_the_limit_of_bytes(self):
        fleet = Fleet(4)
        fleet.timers.advance(30.0)
        sender = fleet.peers[0]
        before = fleet.network.sent[sender.address]
        for number in range(200):
            sender.board.publish(LOAD, f"k{number}", b"x" * 500)
        fleet.timers.advance(10.0)
        sent = fleet.network.sent[sender.address] - before
        self.assertLess(sent / 10.0, 16 * 1024)
