import unittest

from boragedeck.ids import Health
from boragedeck.process.relaying.fleet.fleet_size import (
    ASSUMED_FLEET_ROUTERS,
    ASSUMED_ROUTERS,
    DISCOVERY_PERIOD_S,
    FleetSize,
    reachable_share,
)
from boragedeck.process.timers import ManualTimers
from tests.support.limited_fleet import LimitedFleet


class FleetSizeTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()

    def size(self, known, *, has_seeds=False):
        return FleetSize(self.timers, lambda: known, lambda: has_seeds)

    def test_router_that_has_just_started_counts_too_few_others(self):
        self.assertEqual(self.size(3).assumed(), ASSUMED_ROUTERS)
        alone = self.size(1, has_seeds=True)
        self.assertEqual(alone.assumed(), ASSUMED_FLEET_ROUTERS)
        self.timers.advance(DISCOVERY_PERIOD_S)
        self.assertEqual(alone.assumed(), 1)

    def test_share_of_a_small_fleet_is_too_low_after_its_start(self):
        fleet = LimitedFleet(3, [])
        members = fleet.routers[0].members
        size = FleetSize(fleet.timers, members.routers, lambda: True)
        self.assertEqual(reachable_share(members, size), 1.0)

    def test_router_without_others_claims_the_whole_share_after_its_start(self):
        fleet = LimitedFleet(1, [])
        members = fleet.routers[0].members
        size = FleetSize(fleet.timers, members.routers, lambda: True)
        self.assertLessEqual(reachable_share(members, size), 0.01)

    def test_leaving_routers_lower_the_share_of_the_others(self):
        fleet = LimitedFleet(9, [])
        members = fleet.routers[0].members
        size = FleetSize(fleet.timers, members.routers)
        members.health["r1"] = Health.LEAVING
        self.assertEqual(reachable_share(members, size), 1.0)
        members.health["r2"] = Health.SUSPECT
        self.assertEqual(reachable_share(members, size), 7 / 8)
