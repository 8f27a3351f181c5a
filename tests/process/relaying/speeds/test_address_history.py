import unittest

from boragedeck.process.relaying.replicas.replica_state import ReplicaState, Run
from boragedeck.process.relaying.speeds.address_history import KEPT_S, AddressHistory
from tests.support.speed_fleet import replica


def state(name, address, pool="p"):
    return ReplicaState(replica(replica=name, address=address, pool=pool, born_ms=7))


class AddressHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = AddressHistory()
        self.history.update([state("old", "a")], 0.0)

    def test_new_run_at_an_address_has_a_predecessor_once(self):
        found = self.history.update([state("new", "a")], 5.0)
        self.assertEqual(found, {Run("new", 7): Run("old", 7)})
        self.assertEqual(self.history.update([state("new", "a")], 6.0), {})

    def test_address_without_a_replica_is_remembered_for_a_while(self):
        self.history.update([], KEPT_S)
        self.assertEqual(self.history.runs(), {Run("old", 7)})
        self.history.update([], KEPT_S + 1.0)
        self.assertEqual(self.history.runs(), set())

    def test_replica_of_another_pool_has_no_predecessor(self):
        self.assertEqual(self.history.update([state("new", "a", "q")], 5.0), {})

    def test_newest_entry_at_an_address_follows_the_one_that_is_still_registered(self):
        found = self.history.update([state("old", "a"), state("new", "a")], 5.0)
        self.assertEqual(found, {Run("new", 7): Run("old", 7)})
        found = self.history.update([state("old", "a"), state("new", "a")], 6.0)
        self.assertEqual(found, {})

    def test_run_that_returns_to_an_address_follows_the_one_in_between(self):
        self.history.update([state("new", "a")], 5.0)
        found = self.history.update([state("old", "a")], 6.0)
        self.assertEqual(found, {Run("old", 7): Run("new", 7)})

    def test_run_that_goes_on_at_another_address_has_no_successor(self):
        found = self.history.update([state("old", "b"), state("new", "a")], 5.0)
        self.assertEqual(found, {})

    def test_runs_that_swap_addresses_do_not_follow_each_other(self):
        self.history.update([state("old", "a"), state("new", "b")], 1.0)
        found = self.history.update([state("old", "b"), state("new", "a")], 5.0)
        self.assertEqual(found, {})

    def test_run_that_moves_to_the_address_of_an_ended_one_does_not_follow_it(self):
        self.history.update([state("old", "a"), state("new", "b")], 1.0)
        found = self.history.update([state("new", "a")], 5.0)
        self.assertEqual(found, {})
