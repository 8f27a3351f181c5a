import unittest

from boragedeck.connection.store_version import store_version
from boragedeck.process.relaying.rollouts.rollout_orders import (
    REWRITE_PERIOD_S,
    OrderHistory,
    OrderKind,
)
from boragedeck.process.timers import ManualTimers
from boragedeck.version.relay_rollouts import RolloutOrder

FIRST = RolloutOrder("p", "v2", 12.0)
SECOND = RolloutOrder("p", "v3", 12.0)
THIRD = RolloutOrder("p", "v4", 12.0)


class OrderHistoryTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.history = OrderHistory(self.timers)

    def receive(self, order, era, number):
        return self.history.receive(order, store_version(era, number))

    def test_same_order_written_again_in_one_era_is_new(self):
        self.assertIs(self.receive(FIRST, 1, 10), OrderKind.NEW)
        self.assertIs(self.receive(FIRST, 1, 20), OrderKind.NEW)

    def test_order_that_was_in_the_copy_is_known(self):
        self.receive(FIRST, 1, 10)
        self.assertIs(self.receive(FIRST, 2, 10), OrderKind.KNOWN)

    def test_order_that_is_written_again_after_the_return_is_known(self):
        self.receive(FIRST, 1, 10)
        self.history.note_restored()
        self.receive(FIRST, 2, 10)
        self.assertIs(self.receive(FIRST, 2, 13), OrderKind.KNOWN)
        self.timers.advance(REWRITE_PERIOD_S)
        self.assertIs(self.receive(FIRST, 2, 17), OrderKind.NEW)

    def test_earlier_order_in_the_copy_is_superseded(self):
        self.receive(FIRST, 1, 10)
        self.receive(SECOND, 1, 20)
        self.assertIs(self.receive(FIRST, 2, 10), OrderKind.SUPERSEDED)
        self.assertIs(self.receive(SECOND, 2, 12), OrderKind.KNOWN)

    def test_new_order_after_the_return_is_new(self):
        self.receive(FIRST, 1, 10)
        self.receive(SECOND, 1, 20)
        self.history.note_restored()
        self.assertIs(self.receive(THIRD, 2, 11), OrderKind.NEW)

    def test_earlier_version_ordered_again_later_is_new(self):
        self.receive(FIRST, 1, 10)
        self.receive(SECOND, 1, 20)
        self.history.note_restored()
        self.receive(SECOND, 2, 12)
        self.timers.advance(REWRITE_PERIOD_S)
        self.assertIs(self.receive(FIRST, 2, 15), OrderKind.NEW)

    def test_orders_of_other_pools_do_not_count(self):
        self.receive(FIRST, 1, 10)
        other = RolloutOrder("q", "v2", 12.0)
        self.assertIs(self.receive(other, 2, 10), OrderKind.NEW)
