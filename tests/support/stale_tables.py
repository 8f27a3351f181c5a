"""Routers in memory that mirror a store which fails for some of them."""

import itertools
import unittest

from boragedeck.connection.store import Table
from tests.support.mirror_fleet import MirrorFleet
from tests.support.replicas import BOUNDS

ROUTING = Table.ROUTING
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
