import unittest

import msgspec

from boragedeck.connection.messages import FactTopic
from boragedeck.connection.peer import Address
from boragedeck.connection.store import Vm
from boragedeck.interfaces import Member
from boragedeck.process.placing.leaving import LeavingUpstreamMonitor
from boragedeck.process.placing.upstreams import UpstreamRegistry
from boragedeck.process.timers import ManualTimers
from boragedeck.version.tables import Config
from standins.memory import MemoryPlatform
from tests.process.policy_fakes import FakeBoards, FakeMembership, make_pool


class LeavingUpstreamMonitorTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.boards = FakeBoards()
        self.platform = MemoryPlatform()
        pool = make_pool(3)
        upstreams = tuple(
            msgspec.structs.replace(upstream, url=f"http://10.0.0.{i}:80")
            for i, upstream in enumerate(pool.upstreams)
        )
        pool = msgspec.structs.replace(pool, upstreams=upstreams)
        members = [
            Member(f"r{i}", f"vm{i}", "d0", Address("127.0.0.1", i)) for i in range(9)
        ]
        self.monitors, self.registries = [], []
        for member in members:
            registry = UpstreamRegistry()
            registry.apply(Config(pools=(pool,)), 0.0)
            others = [other for other in members if other is not member]
            membership = FakeMembership(member, others)
            board = self.boards.board(member.router)
            self.monitors.append(
                LeavingUpstreamMonitor(
                    self.timers, board, membership, self.platform, registry
                )
            )
            self.registries.append(registry)

    def leaving(self):
        return {
            tuple(
                state.upstream.name
                for state in registry.all()
                if state.is_shutting_down
            )
            for registry in self.registries
        }

    def put_vms(self, *vms):
        self.platform.set_vms([Vm(*vm) for vm in vms])

    def test_leaving_vm_is_known_to_all_routers_within_three_seconds(self):
        self.put_vms(("a", "10.0.0.1", "d0", True), ("b", "10.0.0.2", "d0", False))
        self.timers.advance(2.9)
        self.assertEqual(self.leaving(), {("u1",)})

    def test_three_routers_read_the_list_whatever_the_fleet_size(self):
        self.timers.advance(10.5)
        self.assertLessEqual(self.platform.calls["vms"], 30)

    def test_address_shared_by_vms_marks_no_upstream(self):
        self.put_vms(("a", "10.0.0.1", "d0", True), ("b", "10.0.0.1", "d0", False))
        self.timers.advance(2.0)
        self.assertEqual(self.leaving(), {()})

    def test_upstreams_own_report_reaches_all_routers(self):
        state = self.registries[0].all()[2]
        self.monitors[0].report_leaving_upstream(state.key)
        self.assertEqual(self.leaving(), {("u2",)})

    def test_upstream_serves_again_when_the_fact_has_expired(self):
        self.monitors[0].report_leaving_upstream(self.registries[0].all()[2].key)
        for board in self.boards.boards:
            board._facts.clear()
        self.timers.advance(1.0)
        self.assertEqual(self.leaving(), {()})

    def test_unreadable_fact_is_ignored(self):
        self.boards.boards[0].publish(FactTopic.LEAVING, "vm/x", b"\xff")
        self.assertEqual(self.leaving(), {()})
