import unittest

from tests.support.brittle_fleet import (
    CONTACT_S,
    SERVICE_S,
    SLOTS,
    BrittleFleet,
    BrittleReplica,
)

REJECTIONS_PER_S = 3
SECONDS = 15.0


class BrittleFleetCase(unittest.TestCase):
    """Calls in bursts at routers before replicas that fall over if they reject much."""

    def play(self, routers, replicas, burst_share):
        """Play bursts at a share of what the replicas can serve."""
        each = [
            BrittleReplica(f"r{number}", REJECTIONS_PER_S) for number in range(replicas)
        ]
        fleet = BrittleFleet(routers, each)
        fleet.run(1.0, 40.0)
        fleet.become_brittle()
        fleet.run(CONTACT_S, 40.0)
        capacity_per_s = replicas * SLOTS / SERVICE_S
        self.began_at = fleet.timers.now()
        fleet.play_bursts(SECONDS, 40.0, burst_share * capacity_per_s)
        return fleet

    def assert_falls_allowed(self, fleet):
        self.assertLessEqual(fleet.falls(), 2 + 0.1 * len(fleet.replicas))

    def assert_room_used(self, fleet, share):
        """Check how much of their room the replicas used in the first burst."""
        served = sum(
            self.began_at <= at < self.began_at + 1.0
            for each in fleet.replicas.values()
            for at in each.served
        )
        capacity = len(fleet.replicas) * SLOTS / SERVICE_S
        self.assertGreaterEqual(served, share * capacity)


class BrittleFleetTest(BrittleFleetCase):
    def test_three_replicas_before_nine_routers_fall_over_in_bursts(self):
        fleet = self.play(9, 3, 1.3)
        self.assert_falls_allowed(fleet)
        self.assert_room_used(fleet, 0.6)

    def test_four_replicas_before_nine_routers_fall_over_in_bursts(self):
        fleet = self.play(9, 4, 1.5)
        self.assert_falls_allowed(fleet)
        self.assert_room_used(fleet, 0.6)

    def test_replicas_fall_over_though_their_load_is_moderate(self):
        fleet = self.play(9, 3, 0.7)
        self.assert_falls_allowed(fleet)
        self.assertLessEqual(len(fleet.refused), 0.02 * len(fleet.waits_s))


class LargeBrittleFleetTest(BrittleFleetCase):
    def test_replicas_before_eighty_routers_fall_over_in_bursts(self):
        fleet = self.play(80, 4, 1.3)
        self.assert_falls_allowed(fleet)
        self.assert_room_used(fleet, 0.6)
