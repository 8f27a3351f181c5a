import unittest

from boragedeck.connection.store import Table
from tests.support.mirror_fleet import MirrorFleet
from tests.support.replicas import BOUNDS

ROUTING, REPLICAS = Table.ROUTING, Table.REPLICAS
CUT_OFF = {"r1", "r2"}
DRAIN_S = 2.0
"""How long after its entry is gone a replica may still get requests."""


class RestoredStoreCase(unittest.TestCase):
    routers = 9

    def setUp(self):
        self.fleet = MirrorFleet(self.routers)
        self.addCleanup(self.fleet.close)
        rows = self.rows = self.fleet.rows
        rows.put("op", "config", b"1")
        rows.put("servers", "a", b"ready")
        self.fleet.start()
        self.fleet.run(2.0)
        self.copy = rows.ver
        for number in range(2, 8):
            rows.put("op", "config", b"%d" % number)
            rows.put("servers", "b", b"ready %d" % number)
        self.fleet.run(BOUNDS.config_apply_s)
        self.assertEqual(self.fleet.values(ROUTING, "config"), {b"7"})

    def change(self, value):
        """Write a change, and let it come into force everywhere."""
        self.rows.put("op", "config", value)
        self.rows.put("servers", "a", value)
        self.fleet.run(BOUNDS.config_apply_s)

    def calls_over_a_return(self):
        """Return the number of calls beyond those of a time without a return."""
        calls = self.fleet.line.calls
        before = calls.total()
        self.fleet.run(BOUNDS.contact_s)
        usual = calls.total() - before
        self.rows.restore(self.copy)
        self.fleet.run(BOUNDS.contact_s)
        return calls.total() - before - 2 * usual

    def assert_in_force(self, value):
        self.assertEqual(self.fleet.values(ROUTING, "config"), {value})
        self.assertEqual(self.fleet.values(REPLICAS, "a"), {value})


class ChangeAfterReturnTest(RestoredStoreCase):
    def test_change_after_the_return_is_in_force_everywhere(self):
        self.fleet.restore(self.copy)
        self.fleet.run(1.0)
        self.change(b"8")
        self.assert_in_force(b"8")

    def test_return_is_noticed_though_the_versions_have_caught_up(self):
        self.fleet.restore(self.copy)
        for number in range(30):
            self.rows.put("status", "x", b"%d" % number)
        self.change(b"8")
        self.assert_in_force(b"8")
        self.assertEqual(self.fleet.values(REPLICAS, "b"), {None})

    def test_change_after_two_returns_in_a_row_is_in_force_everywhere(self):
        self.fleet.restore(self.copy)
        self.rows.put("op", "config", b"7")
        self.fleet.run(1.0)
        self.fleet.restore(self.copy, away_s=0.5)
        self.fleet.run(0.3)
        self.change(b"8")
        self.assert_in_force(b"8")

    def test_router_cut_off_over_the_return_takes_the_change_from_another(self):
        self.fleet.line.cut |= CUT_OFF
        self.fleet.restore(self.copy)
        self.fleet.run(1.0)
        self.change(b"8")
        self.assert_in_force(b"8")

    def test_router_that_reaches_the_store_again_later_follows_it(self):
        self.fleet.line.cut |= CUT_OFF
        self.fleet.net.cut |= CUT_OFF
        self.fleet.restore(self.copy)
        self.fleet.run(1.0)
        self.change(b"8")
        self.fleet.line.cut.clear()
        self.fleet.net.cut.clear()
        self.fleet.run(BOUNDS.contact_s)
        self.assert_in_force(b"8")

    def test_router_started_over_the_return_follows_the_store(self):
        self.fleet.line.is_down = True
        self.fleet.run(1.0)
        self.fleet.add_router()
        self.fleet.restore(self.copy, away_s=1.0)
        self.fleet.add_router()
        self.fleet.run(1.0)
        self.change(b"8")
        self.assert_in_force(b"8")


class CutOffRouterTest(RestoredStoreCase):
    """One router doesn't reach the store, which the others use undisturbed."""

    def setUp(self):
        super().setUp()
        self.cut_off = self.fleet.routers[1]
        self.fleet.line.cut.add(self.cut_off.name)
        self.fleet.run(2 * BOUNDS.config_apply_s)

    def test_deleted_entry_removes_its_replica_though_its_own_store_is_lost(self):
        self.assertIsNotNone(self.cut_off.registry.get("a"))
        self.rows.drop("servers", "a")
        self.fleet.run(DRAIN_S)
        self.assertIsNone(self.cut_off.registry.get("a"))

    def test_deleted_entry_removes_its_replica_just_after_the_cut(self):
        self.fleet.line.cut.clear()
        self.fleet.net.cut.add(self.cut_off.name)
        self.rows.drop("servers", "a")
        self.fleet.run(0.5)
        self.fleet.net.cut.clear()
        self.fleet.run(0.5 * DRAIN_S)
        self.assertIsNone(self.cut_off.registry.get("a"))

    def test_entry_that_lapses_while_the_store_is_away_is_kept(self):
        self.fleet.line.is_down = True
        self.fleet.run(2.0)
        self.rows.drop("servers", "a")
        self.fleet.line.is_down = False
        self.fleet.run(1.0)
        self.assertIsNotNone(self.cut_off.registry.get("a"))
        self.assertIsNotNone(self.fleet.routers[0].registry.get("a"))


class StoreCallsTest(RestoredStoreCase):
    readers = 9

    def test_each_reader_makes_a_refused_call_and_a_snapshot_for_each_table(self):
        most = self.readers * 2 * len(self.fleet.routers[0].mirrors)
        self.assertLessEqual(self.calls_over_a_return(), most)


class LargeFleetCallsTest(StoreCallsTest):
    """Only the hubs read the store, one in each failure domain."""

    routers = 80
    readers = 4


class LargeFleetTest(RestoredStoreCase):
    routers = 80

    def test_change_after_the_return_is_in_force_everywhere(self):
        self.fleet.restore(self.copy)
        self.fleet.run(1.0)
        self.change(b"8")
        self.assert_in_force(b"8")


class VeryLargeFleetTest(LargeFleetTest):
    routers = 300
