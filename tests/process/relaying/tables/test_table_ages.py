import math
import unittest

from prometheus_client import CollectorRegistry

from boragedeck.connection.store import Table
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.tables.table_ages import TableAges
from tests.support.mirror_fleet import MirrorFleet

CURRENT_S = 1.0
"""A table this old is as new as one can be that other routers pass on."""
SILENT_S = 8.0


class Follower:
    def __init__(self, age_s):
        self._age_s = age_s

    def age_s(self):
        return self._age_s


class TableAgesTest(unittest.TestCase):
    def test_ages_are_shown_to_logs_and_metrics(self):
        followers = {Table.ROUTING: Follower(0.12345), Table.REPLICAS: Follower(None)}
        metrics = RelayMetrics(CollectorRegistry())
        ages = TableAges(followers, metrics)
        self.assertEqual(ages.log_fields(), {"table_age_s": 0.123, "list_age_s": None})
        name = "boragedeck_table_age_seconds"
        shown = [
            metrics.registry.get_sample_value(name, {"table": table.value})
            for table in followers
        ]
        self.assertEqual(shown, [0.12345, math.inf])


class AgeInFleetTest(unittest.TestCase):
    routers = 9

    def setUp(self):
        self.fleet = MirrorFleet(self.routers)
        self.addCleanup(self.fleet.close)
        self.fleet.rows.put("op", "config", b"1")
        self.fleet.start()
        self.fleet.run(4.0)

    def oldest_s(self, names):
        """Return the age of the oldest table of some routers."""
        return max(
            follower.age_s()
            for router in self.fleet.routers
            if router.name in names
            for follower in router.followers.values()
        )

    def all_names(self):
        return {router.name for router in self.fleet.routers}

    def test_tables_that_the_store_confirms_are_young(self):
        self.assertLess(self.oldest_s(self.all_names()), 3.1)

    def test_table_of_a_router_without_the_store_is_as_young_as_its_peers(self):
        self.fleet.line.silent = {"r0", "r1"}
        self.fleet.run(SILENT_S)
        self.assertLess(self.oldest_s({"r0", "r1"}), 3.1 + CURRENT_S)

    def test_peers_that_are_cut_off_themselves_do_not_make_a_table_young(self):
        cut_off = {"r0", "r1", "r2", "r3"}
        self.fleet.line.silent = cut_off
        self.fleet.net.split = cut_off
        self.fleet.run(SILENT_S)
        ages_s = [self.oldest_s({name}) for name in cut_off]
        self.assertGreaterEqual(min(ages_s), SILENT_S)

    def test_table_ages_while_the_store_answers_nobody(self):
        self.fleet.line.is_down = True
        self.fleet.run(SILENT_S)
        self.assertGreaterEqual(self.oldest_s(self.all_names()), SILENT_S - 0.1)


class AgeInLargeFleetTest(unittest.TestCase):
    def test_tables_passed_on_by_hubs_are_young(self):
        fleet = MirrorFleet(80)
        self.addCleanup(fleet.close)
        fleet.rows.put("op", "config", b"1")
        fleet.start()
        fleet.run(6.0)
        ages_s = [
            follower.age_s()
            for router in fleet.routers
            for follower in router.followers.values()
        ]
        self.assertLess(max(ages_s), 2.0)
