import unittest

import msgspec
from result import Err, Ok

from boragedeck.connection.peer import Address
from boragedeck.connection.store import Change, Changes, Table
from boragedeck.exceptions import TableError
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.tables.replica_source import (
    RENEWAL_PERIOD_S,
    ReplicaSource,
)
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.placing.test_admission import replica


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = ReplicaRegistry(ManualTimers())

    def test_restart_under_the_same_id_is_another_run(self):
        self.registry.put(replica("one", born_ms=1))
        old = self.registry.get("one")
        self.registry.put(replica("one", born_ms=2))
        self.assertTrue(old.is_removed)
        self.assertIsNot(self.registry.get("one"), old)

    def claim(self, name="two", **fields):
        """Add "one" and an entry with its address; return what was asked and ended."""
        first = replica("one", born_ms=5)
        self.registry.put(first)
        asked, ended = [], []
        self.registry.on_claimed = lambda state: asked.append(state.replica.replica)
        self.registry.get("one").on_lost.add(lambda: ended.append("one"))
        self.registry.put(
            msgspec.structs.replace(first, replica=name, **{"born_ms": 6} | fields)
        )
        return asked, ended

    def test_entry_of_another_service_ends_no_runs_at_its_address(self):
        asked, ended = self.claim(pool="no-such-service")
        self.assertEqual((asked, ended), (["one"], []))
        self.assertTrue(self.registry.get("one").takes_work)

    def test_entry_of_the_same_service_ends_no_runs_at_its_address(self):
        asked, ended = self.claim(born_ms=0)
        self.assertEqual((asked, ended), (["one"], []))

    def test_new_requests_are_sent_to_a_predecessor_at_an_address(self):
        self.claim()
        listed = [state.replica.replica for state in self.registry.of_pool("p")]
        self.assertEqual(listed, ["two"])
        self.assertEqual(
            self.registry.at(replica("one").address).replica.replica, "two"
        )

    def test_replica_of_another_service_that_answers_leaves_runs_going(self):
        _, ended = self.claim(pool="q")
        self.registry.note_present(self.registry.get("one"))
        self.assertEqual(ended, [])
        self.registry.note_present(self.registry.get("two"))
        self.assertEqual(ended, ["one"])
        self.assertIsNone(self.registry.get("one"))

    def test_successor_that_answers_ends_the_predecessors_runs(self):
        _, ended = self.claim()
        self.registry.note_present(self.registry.get("two"))
        self.assertEqual(ended, ["one"])
        self.assertIsNone(self.registry.get("one"))

    def test_answer_of_the_older_replica_does_not_remove_another_entry(self):
        _, ended = self.claim(pool="q", born_ms=0)
        self.registry.note_present(self.registry.get("one"))
        self.assertEqual(ended, [])
        self.assertIsNotNone(self.registry.get("two"))

    def test_entry_of_an_earlier_start_claims_no_address(self):
        self.assertEqual(self.claim(born_ms=4), ([], []))
        self.assertIsNotNone(self.registry.get("one"))

    def test_entry_that_moves_to_an_address_ends_no_runs_there(self):
        second = replica("two", born_ms=6)
        self.registry.put(second)
        first = replica("one", born_ms=5)
        asked, ended = self.claim("three", address=Address("127.0.0.1", 9))
        self.registry.put(msgspec.structs.replace(second, address=first.address))
        self.assertEqual((asked, ended), (["one"], []))
        self.registry.note_present(self.registry.get("two"))
        self.assertEqual(ended, ["one"])

    def test_stated_successor_that_is_listed_leaves_the_predecessors_runs(self):
        _, ended = self.claim(pool="q")
        listed = self.registry.get("two")
        self.registry.add_successor("one", "two")
        self.assertEqual(ended, ["one"])
        self.assertIs(self.registry.get("two"), listed)

    def test_each_further_miss_avoids_the_replica_for_longer(self):
        self.registry.put(replica("one"))
        state = self.registry.get("one")
        state.note_miss(0.0)
        first = state.avoid_until
        state.note_miss(0.0)
        self.assertGreater(state.avoid_until, first)
        state.note_answer(True, 1.0)
        self.assertEqual(state.avoid_until, 0.0)


class DomainTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.registry = ReplicaRegistry(self.timers)
        for name in ("a1", "a2", "a3"):
            self.registry.put(replica(name))
        self.states = [self.registry.get(name) for name in ("a1", "a2", "a3")]

    def test_two_misses_avoid_the_whole_domain(self):
        self.registry.note_miss(self.states[0])
        self.assertEqual(self.states[2].avoid_until, 0.0)
        self.registry.note_miss(self.states[1])
        self.assertGreater(self.states[2].avoid_until, self.timers.now())

    def test_replica_that_answers_is_not_avoided(self):
        self.states[2].note_answer(True, self.timers.now())
        self.registry.note_miss(self.states[0])
        self.registry.note_miss(self.states[1])
        self.assertEqual(self.states[2].avoid_until, 0.0)

    def test_misses_far_apart_do_not_avoid_the_domain(self):
        self.registry.note_miss(self.states[0])
        self.timers.advance(1.0)
        self.registry.note_miss(self.states[1])
        self.assertEqual(self.states[2].avoid_until, 0.0)


HEARTBEAT_S = 1.2


class FakeFollower:
    reconnected_at = -100.0

    def answering_since(self):
        return self.reconnected_at


class ReplicaSourceTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.registry = ReplicaRegistry(self.timers)
        self.mirror = TableMirror(Table.REPLICAS)
        self.follower = FakeFollower()
        self.follower.reconnected_at = self.timers.now() - 100.0
        ReplicaSource(
            self.mirror,
            self.follower,
            self.registry,
            self.decode,
            self.timers,
            lambda: HEARTBEAT_S,
        )

    def decode(self, key, body):
        if body == b"bad":
            return Err(TableError("bad"))
        return Ok(replica(key))

    def change(self, key, value, version):
        self.mirror.apply(Changes((Change(key, value, version),), version))

    def test_unreadable_entry_removes_its_replica(self):
        self.change("one", b"good", 1)
        self.change("two", b"good", 2)
        self.change("one", b"bad", 3)
        self.assertIsNone(self.registry.get("one"))
        self.assertIsNotNone(self.registry.get("two"))

    def test_deleted_entry_removes_its_replica_at_once(self):
        self.change("one", b"good", 1)
        self.change("one", None, 2)
        self.assertIsNone(self.registry.get("one"))

    def test_entry_that_lapsed_in_a_store_outage_may_be_renewed(self):
        self.change("one", b"good", 1)
        self.follower.reconnected_at = self.timers.now()
        self.change("one", None, 2)
        self.assertIsNotNone(self.registry.get("one"))
        self.change("one", b"good", 3)
        self.timers.advance(RENEWAL_PERIOD_S + 0.1)
        self.assertIsNotNone(self.registry.get("one"))

    def test_provisional_replica_without_an_entry_is_removed_after_the_outage(self):
        self.change("one", b"good", 1)
        self.timers.advance(1.0)
        self.registry.add_successor("one", "two")
        self.follower.reconnected_at = self.timers.now()
        self.timers.advance(1.0)
        self.assertIsNotNone(self.registry.get("two"))
        self.timers.advance(RENEWAL_PERIOD_S)
        self.assertIsNone(self.registry.get("two"))

    def told_successor(self):
        """Add "two" in the place of "one" by another router's word."""
        self.change("one", b"good", 1)
        self.timers.advance(1.0)
        before = self.registry.get("one")
        self.registry.put_successor(before, "two", self.timers.now(), "r-2")
        return self.registry.get("two")

    def test_told_successor_without_an_entry_is_kept_for_good(self):
        self.told_successor()
        self.timers.advance(3.0 * HEARTBEAT_S)
        self.assertIsNotNone(self.registry.get("two"))
        self.timers.advance(HEARTBEAT_S)
        self.assertIsNone(self.registry.get("two"))

    def test_listed_replica_returns_when_a_told_successor_is_removed(self):
        for cause in ("no entry", "store outage"):
            with self.subTest(cause=cause):
                self.told_successor()
                self.assertIsNone(self.registry.get("one"))
                if cause == "store outage":
                    self.follower.reconnected_at = self.timers.now()
                self.timers.advance(5.0 * HEARTBEAT_S)
                self.assertIsNone(self.registry.get("two"))
                self.assertIsNotNone(self.registry.get("one"))

    def test_former_replica_stays_away_if_its_entry_is_deleted(self):
        self.told_successor()
        self.change("one", None, 2)
        self.timers.advance(5.0 * HEARTBEAT_S)
        self.assertEqual(self.registry.all(), [])

    def test_told_successor_is_removed_while_the_store_is_away(self):
        self.told_successor()
        self.follower.reconnected_at = None
        self.timers.advance(100.0)
        self.assertIsNotNone(self.registry.get("two"))

    def test_told_successor_that_serves_or_is_listed_is_removed(self):
        state = self.told_successor()
        self.timers.advance(3.0 * HEARTBEAT_S)
        state.note_answer(True, self.timers.now())
        self.timers.advance(3.0 * HEARTBEAT_S)
        self.assertIsNotNone(self.registry.get("two"))
        self.change("two", b"good", 2)
        self.timers.advance(100.0)
        self.assertIs(self.registry.get("two"), state)

    def test_provisional_replica_that_gets_an_entry_stays(self):
        self.change("one", b"good", 1)
        self.registry.add_successor("one", "two")
        state = self.registry.get("two")
        self.change("two", b"good", 2)
        self.assertIs(self.registry.get("two"), state)

    def test_entry_that_is_not_renewed_removes_its_replica(self):
        self.change("one", b"good", 1)
        self.follower.reconnected_at = self.timers.now()
        self.change("one", None, 2)
        self.timers.advance(RENEWAL_PERIOD_S + 0.1)
        self.assertIsNone(self.registry.get("one"))
