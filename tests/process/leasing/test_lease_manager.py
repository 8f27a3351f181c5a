import random
import unittest

from boragedeck.connection.peer import Address
from boragedeck.ids import FailureDomain, Health, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.process.leasing.lease_manager import LeaseManager
from boragedeck.process.leasing.leases import TERM_S, LeaseTable
from boragedeck.process.timers import ManualTimers
from standins.memory import Faults, MemoryPlatform


def member(number, health=Health.HEALTHY):
    router = RouterId(f"r{number:03}")
    address = Address("127.0.0.1", 1)
    return Member(router, VmName("vm"), FailureDomain("fd"), address, health)


class FakeMembership:
    def __init__(self, own, all_members):
        self.own = own
        self.dead = set()
        self._all_members = all_members

    def members(self):
        unreachable = self.dead | {self.own.router}
        return [
            candidate
            for candidate in self._all_members
            if candidate.router not in unreachable
        ]

    def suspect(self, router):
        self.dead.add(router)


class LeaseManagerTest(unittest.TestCase):
    def start_managers(self, routers, names):
        self.timers = ManualTimers()
        self.store = MemoryPlatform(sleep=self.timers.sleep)
        all_members = [member(number) for number in range(routers)]
        self.managers = []
        for number, own in enumerate(all_members):
            table = LeaseTable(self.store, self.timers, own.router)
            membership = FakeMembership(own, all_members)
            rng = random.Random(number)
            manager = LeaseManager(table, self.timers, membership, rng)
            self.managers.append(manager)
            for name in names:
                manager.maintain(name)

    def holders(self, name):
        return [manager for manager in self.managers if manager.held(name) is not None]

    def test_one_router_holds_each_lease(self):
        names = [f"lease-{number}" for number in range(10)]
        self.start_managers(9, names)
        for _ in range(30):
            self.timers.advance(3.0)
            self.assertEqual([len(self.holders(name)) for name in names], [1] * 10)
        self.assertGreater(len({self.holders(name)[0] for name in names}), 3)

    def test_another_router_takes_over_a_dead_holders_lease(self):
        self.start_managers(9, ["a"])
        self.timers.advance(3.0)
        (holder,) = self.holders("a")
        token = holder.held("a").token
        holder._subscriptions["a"].cancel()
        self.timers.advance(TERM_S * 2)
        (new_holder,) = self.holders("a")
        self.assertIsNot(new_holder, holder)
        self.assertGreater(new_holder.held("a").token, token)

    def test_a_lease_is_acquired_again_after_a_store_outage(self):
        self.start_managers(3, ["a"])
        self.timers.advance(3.0)
        self.store.faults = Faults(down=True)
        self.timers.advance(3600.0)
        self.assertEqual(self.holders("a"), [])
        self.store.faults = Faults()
        self.timers.advance(TERM_S * 2)
        self.assertEqual(len(self.holders("a")), 1)

    def test_a_released_lease_is_acquired_within_its_term(self):
        self.start_managers(3, ["a"])
        self.timers.advance(3.0)
        (holder,) = self.holders("a")
        holder.release_all()
        self.timers.advance(TERM_S / 2)
        self.assertEqual(len(self.holders("a")), 1)

    def test_the_stores_load_depends_little_on_the_number_of_routers(self):
        names = [f"lease-{number}" for number in range(4)]
        calls = {}
        for routers in (10, 100):
            self.start_managers(routers, names)
            self.timers.advance(1200.0)
            self.store.calls.clear()
            self.timers.advance(1200.0)
            calls[routers] = dict(self.store.calls)
        self.assertLess(calls[100]["commit"], 1.1 * calls[10]["commit"])
        # Each router of low rank reads each lease twice more in 1200 s.
        extra = calls[100]["get"] - calls[10]["get"]
        self.assertLess(extra, 90 * len(names) * 3)
