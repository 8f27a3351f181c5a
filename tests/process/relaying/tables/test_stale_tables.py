from tests.support.replicas import BOUNDS
from tests.support.stale_tables import DRAIN_S, STEP_S, StaleTablesCase


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
