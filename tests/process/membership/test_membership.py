import random
import unittest

from boragedeck.connection.messages import FactTopic
from boragedeck.connection.store import Delete, Put, Table, Vm
from boragedeck.ids import Health
from standins.memory import Faults
from tests.process.peers import Fleet

DISCOVERY_PERIOD_S = 20.0


class MembershipTest(unittest.TestCase):
    def assert_all_known(self, fleet, peers=None):
        for peer in peers or fleet.peers:
            self.assertEqual(peer.known_routers(), fleet.routers() - {peer.own.router})

    def test_routers_find_each_other_by_their_rows(self):
        fleet = Fleet(9)
        fleet.timers.advance(20.0)
        self.assert_all_known(fleet)
        healths = {m.health for m in fleet.peers[0].membership.members()}
        self.assertEqual(healths, {Health.HEALTHY})

    def test_rows_that_a_restored_store_has_lost_are_written_again_at_once(self):
        fleet = Fleet(6)
        fleet.timers.advance(20.0)
        rows = fleet.platform.scan(Table.MEMBERS).ok()
        fleet.platform.commit([Delete(Table.MEMBERS, row.key) for row in rows])
        for peer in fleet.peers:
            peer.membership.restore_row()
        fleet.timers.advance(0.1)
        keys = {row.key for row in fleet.platform.scan(Table.MEMBERS).ok()}
        self.assertEqual(keys, fleet.routers())

    def test_new_router_learns_all_others_from_a_seed_while_the_store_is_down(self):
        fleet = Fleet(6)
        fleet.timers.advance(20.0)
        fleet.platform.faults = Faults(down=True)
        fleet.peers.append(fleet.add(7, seeds=[fleet.peers[0].address]))
        fleet.timers.advance(8.0)
        self.assert_all_known(fleet)

    def test_dead_router_is_suspect_first_and_removed_later(self):
        fleet = Fleet(9)
        fleet.timers.advance(20.0)
        dead = fleet.peers.pop()
        fleet.stop(dead)
        fleet.timers.advance(8.0)
        for peer in fleet.peers:
            self.assertEqual(peer.health(dead), Health.SUSPECT)
        fleet.timers.advance(70.0)
        self.assert_all_known(fleet)

    def test_paused_router_is_suspect_and_healthy_again_when_it_resumes(self):
        fleet = Fleet(9)
        fleet.timers.advance(20.0)
        paused = fleet.peers[4]
        fleet.stop(paused)
        fleet.timers.advance(50.0)
        for peer in fleet.peers:
            if peer is not paused:
                self.assertEqual(peer.health(paused), Health.SUSPECT)
        fleet.resume(paused)
        fleet.timers.advance(10.0)
        for peer in fleet.peers:
            if peer is not paused:
                self.assertEqual(peer.health(paused), Health.HEALTHY)

    def test_router_removed_during_a_pause_returns_by_a_new_announcement(self):
        fleet = Fleet(5)
        fleet.timers.advance(20.0)
        paused = fleet.peers[2]
        fleet.stop(paused)
        fleet.timers.advance(90.0)
        self.assertIsNone(fleet.peers[0].health(paused))
        fleet.resume(paused)
        fleet.timers.advance(30.0)
        self.assert_all_known(fleet)

    def test_one_way_partition_makes_no_router_suspect_for_the_others(self):
        fleet = Fleet(9)
        fleet.timers.advance(20.0)
        blind, other = fleet.peers[0], fleet.peers[1]
        fleet.network.blocked_links.add((blind.address, other.address))
        blind.membership.suspect(other.own.router)
        fleet.timers.advance(40.0)
        self.assertEqual(blind.health(other), Health.SUSPECT)
        for peer in fleet.peers[2:]:
            self.assertEqual(peer.health(other), Health.HEALTHY)
            self.assertEqual(peer.health(blind), Health.HEALTHY)

    def test_sides_of_a_long_partition_find_each_other_with_the_store_down(self):
        fleet = Fleet(8)
        fleet.timers.advance(20.0)
        fleet.platform.faults = Faults(down=True)
        one, other = fleet.peers[:4], fleet.peers[4:]
        fleet.network.part([p.address for p in one], [p.address for p in other])
        fleet.timers.advance(100.0)
        self.assertEqual(one[0].known_routers(), {p.own.router for p in one[1:]})
        fleet.network.blocked_links.clear()
        fleet.timers.advance(60.0)
        self.assert_all_known(fleet)

    def test_restarted_router_replaces_its_former_run_at_once(self):
        fleet = Fleet(5)
        fleet.timers.advance(20.0)
        former = fleet.peers.pop()
        fleet.stop(former)
        fleet.peers.append(fleet.add(5, run=1))
        fleet.timers.advance(6.0)
        self.assert_all_known(fleet)
        self.assertIsNone(fleet.peers[0].health(former))

    def test_routers_replaced_in_quick_succession_are_known_to_all(self):
        size, rng = 9, random.Random(3)
        fleet = Fleet(size, seed=3)
        fleet.timers.advance(10.0)
        for run in range(1, 26):
            numbers = rng.sample(range(size), rng.choice((1, 1, 2)))
            for number in numbers:
                fleet.stop(fleet.peers[number])
            fleet.timers.advance(rng.choice((0.0, 0.5, 2.0, 4.0)))
            for number in numbers:
                fleet.peers[number] = fleet.add(number + 1, run=run)
            fleet.timers.advance(DISCOVERY_PERIOD_S)
            for peer in fleet.peers:
                others = fleet.routers() - {peer.own.router}
                self.assertLessEqual(others, peer.known_routers(), (run, numbers))

    def test_loss_duplicates_and_delay_leave_all_healthy(self):
        fleet = Fleet(9)
        fleet.network.loss = 0.05
        fleet.network.duplicates = 0.2
        fleet.network.max_delay_s = 0.2
        fleet.timers.advance(120.0)
        fleet.network.loss = 0.0
        fleet.timers.advance(15.0)
        self.assert_all_known(fleet)
        for peer in fleet.peers:
            healths = {m.health for m in peer.membership.members()}
            self.assertEqual(healths, {Health.HEALTHY})

    def test_suspicion_after_a_failed_call_is_cleared_by_a_heartbeat(self):
        fleet = Fleet(3)
        fleet.timers.advance(20.0)
        one, other = fleet.peers[:2]
        one.membership.suspect(other.own.router)
        self.assertEqual(one.health(other), Health.SUSPECT)
        fleet.timers.advance(1.0)
        self.assertEqual(one.health(other), Health.HEALTHY)

    def test_a_leaving_vm_is_known_everywhere_within_3_s(self):
        fleet = Fleet(9)
        fleet.timers.advance(20.0)
        vms = [Vm(p.own.vm, "10.0.0.1", "fd-1") for p in fleet.peers]
        vms[3] = Vm(fleet.peers[3].own.vm, "10.0.0.1", "fd-1", leaving=True)
        fleet.platform.set_vms(vms)
        fleet.timers.advance(3.0)
        for peer in fleet.peers[:3]:
            self.assertEqual(peer.health(fleet.peers[3]), Health.LEAVING)

    def test_leaving_router_announces_it_and_removes_its_row(self):
        fleet = Fleet(4)
        fleet.timers.advance(20.0)
        leaving_peer = fleet.peers[0]
        leaving_peer.membership.leave()
        fleet.timers.advance(3.0)
        self.assertEqual(fleet.peers[1].health(leaving_peer), Health.LEAVING)
        fleet.timers.advance(60.0)
        self.assertIsNone(fleet.platform.get(Table.MEMBERS, "r1-0").unwrap())

    def test_rows_of_dead_routers_are_deleted_and_others_kept(self):
        fleet = Fleet(3)
        fleet.timers.advance(20.0)
        fleet.stop(fleet.peers.pop())
        fleet.timers.advance(400.0)
        keys = {row.key for row in fleet.platform.scan(Table.MEMBERS).unwrap()}
        self.assertEqual(keys, fleet.routers())

    def test_rows_that_age_during_an_outage_are_kept(self):
        fleet = Fleet(3)
        fleet.timers.advance(20.0)
        fleet.platform.commit([Put(Table.MEMBERS, "unreached", b"{}")])
        fleet.platform.faults = Faults(down=True)
        fleet.timers.advance(900.0)
        fleet.platform.faults = Faults()
        fleet.timers.advance(100.0)
        keys = {row.key for row in fleet.platform.scan(Table.MEMBERS).unwrap()}
        self.assertEqual(keys, fleet.routers() | {"unreached"})

    def test_own_suspicion_is_refuted_by_a_new_announcement(self):
        fleet = Fleet(3)
        fleet.timers.advance(20.0)
        one = fleet.peers[0]

        def number():
            facts = one.board.facts(FactTopic.MEMBER)
            own = (f for f in facts if f.origin == one.own.router and f.key == "self")
            return next(own).number

        before = number()
        fleet.stop(one)
        fleet.timers.advance(5.0)
        fleet.resume(one)
        fleet.timers.advance(4.0)
        self.assertGreater(number(), before)
        self.assertEqual(fleet.peers[1].health(one), Health.HEALTHY)
