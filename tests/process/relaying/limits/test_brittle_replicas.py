import unittest

from boragedeck.process.relaying.limits.room_grants import room_task
from boragedeck.process.relaying.limits.room_messages import TakeRoom
from tests.support.brittle_fleet import BrittleFleet, BrittleReplica

GOSSIP_S = 0.5


class BrittleReplicasTest(unittest.TestCase):
    """Nine routers before one brittle replica and a sound one."""

    def setUp(self):
        self.brittle = BrittleReplica("one", 3)
        self.fleet = BrittleFleet(9, [self.brittle, BrittleReplica("two", 3)])

    def states(self, name="one"):
        return [router.state(name) for router in self.fleet.routers]

    def learn(self):
        self.brittle.become_brittle(self.fleet.timers.now())
        self.fleet.run(1.0 + GOSSIP_S, 60.0)

    def test_all_routers_learn_that_a_replica_is_brittle_from_one_answer(self):
        self.brittle.become_brittle(self.fleet.timers.now())
        router = self.fleet.routers[0]
        router.notices.handle(router.state("one"), self.brittle.notice())
        self.fleet.run(GOSSIP_S, 0.001)
        self.assertEqual({state.rejections_per_s for state in self.states()}, {3.0})
        self.assertFalse(any(state.is_brittle for state in self.states("two")))

    def test_all_routers_learn_that_a_replica_is_sound_again(self):
        self.learn()
        self.brittle.is_brittle = False
        self.fleet.run(1.0 + GOSSIP_S, 60.0)
        self.assertFalse(any(state.is_brittle for state in self.states()))

    def test_replica_gets_nothing_from_a_router_that_does_not_reach_its_owner(self):
        self.learn()
        owner = self.fleet.routers[0].owners.owner_of(room_task("one")).router
        self.fleet.net.frozen.add(owner)
        self.fleet.run(0.2, 1.0)
        served = len(self.brittle.served)
        others = [each for each in self.fleet.routers if each.name != owner]
        self.fleet.run(0.5, 60.0, routers=others)
        self.assertEqual(len(self.brittle.served), served)
        self.assertFalse(self.fleet.refused)

    def test_replica_is_served_though_the_build_of_its_owner_grants_no_room(self):
        self.learn()
        owners = self.fleet.routers[0].owners
        owner = owners.owner_of(room_task("one")).router
        self.fleet.net.unknown.add((owner, TakeRoom))
        others = [each for each in self.fleet.routers if each.name != owner]
        self.fleet.run(0.2, 1.0, routers=others)
        served = len(self.brittle.served)
        self.fleet.run(2.0, 60.0, routers=others)
        self.assertGreater(len(self.brittle.served), served + 20)
        self.assertEqual(self.brittle.falls, [])

    def test_replica_stays_up_under_load_though_the_build_of_its_owner_grants_no_room(
        self,
    ):
        self.learn()
        owner = self.fleet.routers[0].owners.owner_of(room_task("one")).router
        self.fleet.net.unknown.add((owner, TakeRoom))
        others = [each for each in self.fleet.routers if each.name != owner]
        self.fleet.run(2.0, 600.0, routers=others)
        self.assertEqual(self.brittle.falls, [])

    def test_rejection_limit_that_cannot_be_parsed_changes_nothing(self):
        self.learn()
        self.brittle.notice()
        router = self.fleet.routers[0]
        self.brittle.per_s = None
        router.notices.handle(router.state("one"), self.brittle.notice())
        self.assertEqual(router.state("one").rejections_per_s, 3.0)
