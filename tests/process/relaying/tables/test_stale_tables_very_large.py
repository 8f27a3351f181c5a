from boragedeck.process.relaying.fleet.hubs import choose_hubs
from tests.support.stale_tables import DRAIN_S, STEP_S, StaleTablesCase


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
