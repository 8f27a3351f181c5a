import itertools
import unittest

from boragedeck.connection.store import Table
from boragedeck.process.relaying.fleet.hubs import choose_hubs
from tests.support.mirror_fleet import MirrorFleet
from tests.support.replicas import BOUNDS

ROUTING, REPLICAS = Table.ROUTING, Table.REPLICAS
DRAIN_S = 2.0
"""How long after its entry is gone a replica may still get requests."""
STEP_S = 0.1


class StaleTablesCase(unittest.TestCase):
    routers = 9
    cut_off = 3

    def setUp(self):
        self.fleet = MirrorFleet(self.routers)
        self.addCleanup(self.fleet.close)
        self.rows, self.line = self.fleet.rows, self.fleet.line
        self.numbers = itertools.count(1)
        for key in "abcdef":
            self.rows.put("servers", key, b"ready")
        self.change()
        self.fleet.start()
        self.fleet.run(4.0, STEP_S)
        self.lost = {f"r{number}" for number in range(self.cut_off)}

    def change(self):
        """Write a new version of the operators' table."""
        self.number = next(self.numbers)
        self.rows.put("op", "config", b"%d" % self.number)

    def run_with_changes(self, seconds, every_s=0.3):
        """Let time pass while the table changes several times a second."""
        for _ in range(round(seconds / every_s)):
            self.change()
            self.fleet.run(every_s, STEP_S)

    def check_current(self, after_s):
        """Check that a deleted entry and new tables are in force everywhere in time.

        Parameters
        ----------
        after_s : float
            How long the table changes before, in seconds.
        """
        self.run_with_changes(after_s)
        self.rows.drop("servers", "a")
        self.run_with_changes(DRAIN_S)
        self.assertEqual(self.holders("a"), [])
        self.fleet.run(BOUNDS.config_apply_s, STEP_S)
        self.assertEqual(self.behind(), [])

    def holders(self, replica):
        """Return the routers that may send to a replica."""
        return [
            router.name
            for router in self.fleet.routers
            if router.registry.get(replica) is not None
        ]

    def behind(self):
        """Return the routers on which the newest table isn't in force."""
        newest = b"%d" % self.number
        return [
            router.name
            for router in self.fleet.routers
            if router.value(ROUTING, "config") != newest
        ]

    def readers(self):
        """Return the routers that read the store themselves."""
        return {router.name for router in self.fleet.routers}

    def not_answered(self):
        """Return the readers that the store doesn't answer, as they know it."""
        return [
            router.name
            for router in self.fleet.routers
            if router.name in self.readers()
            and not all(each.is_connected for each in router.followers.values())
        ]

    def older_than(self, age_s):
        """Return the routers with a table that nobody has confirmed for some time."""
        return [
            router.name
            for router in self.fleet.routers
            if any(each.age_s() > age_s for each in router.followers.values())
        ]


class SilentStoreTest(StaleTablesCase):
    """The store says nothing to some routers, and serves the others."""

    def test_replica_without_entry_gets_nothing_from_routers_without_the_store(self):
        self.line.silent |= self.lost
        self.run_with_changes(5.0)
        self.rows.drop("servers", "a")
        self.run_with_changes(DRAIN_S)
        self.assertEqual(self.holders("a"), [])

    def test_tables_are_current_though_the_store_forgets_its_history(self):
        self.line.silent |= self.lost
        self.run_with_changes(5.0)
        self.rows.discard_history()
        self.rows.drop("servers", "a")
        self.run_with_changes(2.0)
        self.fleet.run(BOUNDS.config_apply_s, STEP_S)
        self.assertEqual(self.behind(), [])
        self.assertEqual(self.holders("a"), [])

    def test_store_that_answers_again_is_noticed_within_the_time_of_contact(self):
        self.line.silent |= self.lost
        self.run_with_changes(12.0)
        self.line.silent.clear()
        self.fleet.run(BOUNDS.contact_s, STEP_S)
        self.assertEqual(self.not_answered(), [])


class MostlySilentStoreTest(StaleTablesCase):
    """Six of nine routers are cut off, so most others that they ask are, too."""

    cut_off = 6

    def test_replicas_without_entry_get_nothing_though_most_routers_are_cut_off(self):
        self.line.silent |= self.lost
        self.run_with_changes(5.0)
        for replica in "abcde":
            self.rows.drop("servers", replica)
            self.run_with_changes(DRAIN_S)
            with self.subTest(replica):
                self.assertEqual(self.holders(replica), [])

    def test_tables_are_current_though_most_routers_are_cut_off(self):
        self.line.silent |= self.lost
        self.run_with_changes(5.0)
        for number in range(5):
            self.change()
            self.fleet.run(BOUNDS.config_apply_s, STEP_S)
            with self.subTest(number):
                self.assertEqual(self.behind(), [])


class SilentForAllTest(StaleTablesCase):
    """The store says nothing to anybody, so replicas can't renew their entries."""

    cut_off = 9

    def test_replicas_whose_entries_lapse_in_an_outage_are_kept_at_its_end(self):
        self.line.silent |= self.lost
        self.fleet.run(4.5, STEP_S)
        for replica in "abc":
            self.rows.drop("servers", replica)
        self.line.silent.clear()
        self.fleet.run(2.0, STEP_S)
        for replica in "abc":
            self.assertEqual(len(self.holders(replica)), self.routers)

    def test_outage_is_noticed_by_routers_that_were_cut_off_before(self):
        self.line.silent |= {"r0", "r1", "r2"}
        self.run_with_changes(6.0)
        self.line.silent |= self.lost
        self.fleet.run(4.4, STEP_S)
        self.rows.drop("servers", "a")
        self.line.silent.clear()
        self.fleet.run(2.0, STEP_S)
        self.assertEqual(len(self.holders("a")), self.routers)

    def test_replicas_whose_entries_lapse_in_a_long_outage_are_kept(self):
        self.line.silent |= self.lost
        self.fleet.run(10.0, STEP_S)
        self.rows.drop("servers", "a")
        self.line.silent.clear()
        self.fleet.run(2.0, STEP_S)
        self.assertEqual(len(self.holders("a")), self.routers)


class BusyStoreTest(StaleTablesCase):
    """The store refuses some routers at once, and serves the others."""

    def test_tables_are_current_at_routers_that_the_store_refuses(self):
        self.line.cut |= self.lost
        self.check_current(3.0)


class SlowStoreTest(StaleTablesCase):
    """Each answer of the store takes fifty times as long, and some get none."""

    def test_tables_are_current_while_the_store_is_slow(self):
        self.line.latency_s = 0.2
        self.line.silent |= self.lost
        self.check_current(5.0)

    def test_slow_store_that_answers_again_is_noticed(self):
        self.line.silent |= self.lost
        self.run_with_changes(6.0)
        self.line.latency_s = 0.2
        self.line.silent.clear()
        self.fleet.run(BOUNDS.contact_s, STEP_S)
        self.assertEqual(self.not_answered(), [])


class LargeSilentStoreTest(SilentStoreTest):
    routers, cut_off = 80, 27


class LargeMostlySilentStoreTest(MostlySilentStoreTest):
    routers, cut_off = 80, 53


class LargeSilentForAllTest(SilentForAllTest):
    routers, cut_off = 80, 80


class LargeBusyStoreTest(BusyStoreTest):
    routers, cut_off = 80, 27


class LargeSlowStoreTest(SlowStoreTest):
    routers, cut_off = 80, 27


class SilentHubsTest(StaleTablesCase):
    """The store says nothing to the routers that read it for the others."""

    routers = 80

    def setUp(self):
        super().setUp()
        members = [router.member for router in self.fleet.routers]
        self.hubs = {member.router for member in choose_hubs(members)}

    def readers(self):
        return self.hubs

    def test_tables_are_current_though_one_hub_is_cut_off(self):
        self.line.silent.add(min(self.hubs))
        self.check_current(1.2)

    def test_tables_are_current_though_all_hubs_are_cut_off(self):
        self.line.silent |= self.hubs
        self.check_current(5.0)

    def test_store_that_answers_again_is_noticed_by_all_hubs(self):
        self.line.silent |= self.hubs
        self.run_with_changes(6.0)
        self.line.silent.clear()
        self.fleet.run(BOUNDS.contact_s, STEP_S)
        self.assertEqual(self.not_answered(), [])
        self.assertEqual(self.older_than(BOUNDS.contact_s), [])


class VeryLargeFleetTest(StaleTablesCase):
    routers, cut_off = 300, 100

    def test_tables_are_current_at_routers_that_the_store_refuses(self):
        self.line.cut |= self.lost
        self.check_current(5.0)

    def test_tables_are_current_while_the_store_is_slow_and_silent_for_some(self):
        self.line.latency_s = 0.2
        self.line.silent |= self.lost
        self.check_current(5.0)

    def test_tables_are_current_though_most_routers_are_cut_off(self):
        self.line.silent |= {f"r{number}" for number in range(200)}
        self.check_current(5.0)

    def test_tables_are_current_though_all_hubs_are_cut_off(self):
        members = [router.member for router in self.fleet.routers]
        self.line.silent |= {member.router for member in choose_hubs(members)}
        self.fleet.run(2.0, STEP_S)
        self.change()
        self.rows.drop("servers", "a")
        self.fleet.run(DRAIN_S, STEP_S)
        self.assertEqual(self.holders("a"), [])
        self.assertEqual(self.behind(), [])
