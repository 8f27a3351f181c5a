from boragedeck.process.relaying.fleet.hubs import choose_hubs
from tests.process.relaying.tables import test_stale_tables as nine_routers
from tests.support.replicas import BOUNDS
from tests.support.stale_tables import STEP_S, StaleTablesCase


class LargeSilentStoreTest(nine_routers.SilentStoreTest):
    routers, cut_off = 80, 27


class LargeMostlySilentStoreTest(nine_routers.MostlySilentStoreTest):
    routers, cut_off = 80, 53


class LargeSilentForAllTest(nine_routers.SilentForAllTest):
    routers, cut_off = 80, 80


class LargeBusyStoreTest(nine_routers.BusyStoreTest):
    routers, cut_off = 80, 27


class LargeSlowStoreTest(nine_routers.SlowStoreTest):
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
