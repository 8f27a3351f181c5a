import unittest

import msgspec
from result import Err, Ok

from boragedeck.connection.store import Change, Changes, Table
from boragedeck.exceptions import TableError
from boragedeck.process.relaying.mirror import TableMirror
from boragedeck.process.relaying.registry import ReplicaRegistry
from boragedeck.process.relaying.replica_source import RETURN_S, ReplicaSource
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.test_admission import replica


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = ReplicaRegistry(ManualTimers())

    def test_restart_under_the_same_id_is_another_run(self):
        self.registry.put(replica("one", born_ms=1))
        old = self.registry.get("one")
        self.registry.put(replica("one", born_ms=2))
        self.assertTrue(old.is_gone)
        self.assertIsNot(self.registry.get("one"), old)

    def test_successor_at_an_address_ends_the_predecessors_runs(self):
        first = replica("one", born_ms=1)
        self.registry.put(first)
        ended = []
        self.registry.get("one").on_gone.add(lambda: ended.append(1))
        second = msgspec.structs.replace(first, replica="two", born_ms=2)
        self.registry.put(second)
        self.assertEqual(ended, [1])
        self.assertIsNone(self.registry.get("one"))

    def test_misses_are_avoided_for_longer_each_time(self):
        self.registry.put(replica("one"))
        state = self.registry.get("one")
        state.note_miss(0.0)
        first = state.avoid_until
        state.note_miss(0.0)
        self.assertGreater(state.avoid_until, first)
        state.note_answer(True)
        self.assertEqual(state.avoid_until, 0.0)


class Follower:
    is_connected = True
    regained_at = -100.0


class ReplicaSourceTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.registry = ReplicaRegistry(self.timers)
        self.mirror = TableMirror(Table.REPLICAS)
        self.follower = Follower()
        self.follower.regained_at = self.timers.now() - 100.0
        ReplicaSource(
            self.mirror, self.follower, self.registry, self.decode, self.timers
        )

    def decode(self, key, body):
        if body == b"bad":
            return Err(TableError("bad"))
        return Ok(replica(key))

    def change(self, key, value, version):
        self.mirror.apply(Changes((Change(key, value, version),), version))

    def test_entry_that_can_not_be_read_names_no_replica(self):
        self.change("one", b"good", 1)
        self.change("two", b"good", 2)
        self.change("one", b"bad", 3)
        self.assertIsNone(self.registry.get("one"))
        self.assertIsNotNone(self.registry.get("two"))

    def test_entry_that_goes_is_forgotten_at_once(self):
        self.change("one", b"good", 1)
        self.change("one", None, 2)
        self.assertIsNone(self.registry.get("one"))

    def test_entry_that_lapsed_with_the_store_may_come_back(self):
        self.change("one", b"good", 1)
        self.follower.regained_at = self.timers.now()
        self.change("one", None, 2)
        self.assertIsNotNone(self.registry.get("one"))
        self.change("one", b"good", 3)
        self.timers.advance(RETURN_S + 0.1)
        self.assertIsNotNone(self.registry.get("one"))

    def test_entry_that_stays_away_is_gone(self):
        self.change("one", b"good", 1)
        self.follower.regained_at = self.timers.now()
        self.change("one", None, 2)
        self.timers.advance(RETURN_S + 0.1)
        self.assertIsNone(self.registry.get("one"))
