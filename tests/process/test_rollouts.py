import random
import unittest

from prometheus_client import CollectorRegistry

from boragedeck.connection.store import Table
from boragedeck.ids import RouterId
from boragedeck.process.rollouts import RolloutService
from boragedeck.process.timers import ManualTimers
from boragedeck.version.rollout_row import State, decode_row
from standins.boards import BoardNetwork
from standins.memory import MemoryPlatform
from tests.support.config import FakeConfigSource
from tests.version.rollout_parts import FakeMembership, config


class TestRollouts(unittest.TestCase):
    def test_another_router_continues_after_the_leader_gives_up_its_lease(self):
        timers, platform = ManualTimers(), MemoryPlatform()
        network = BoardNetwork(timers, random.Random(1))
        sources, parts = [], []
        for name in (RouterId("r0"), RouterId("r1")):
            source = FakeConfigSource(config(1, "A"))
            sources.append(source)
            parts.append(
                RolloutService(
                    platform,
                    network.board(name),
                    source,
                    FakeMembership(name),
                    timers,
                    CollectorRegistry(),
                    random.Random(2),
                )
            )
            parts[-1].start()
        timers.advance(3.0)
        for source in sources:
            source.put(config(2, "B", timers.wall() + 600.0))
        timers.advance(3.0)
        first = decode_row(platform.get(Table.ROLLOUTS, "head/chat").unwrap())
        self.assertEqual((first.state, first.token), (State.RUNNING, 1))
        leader = next(part for part in parts if part.lease_manager.held("rollouts"))
        leader.lease_manager.stop_maintaining("rollouts")
        for source in sources:
            source.put(config(3, "A"))
        timers.advance(20.0)
        last = decode_row(platform.get(Table.ROLLOUTS, "head/chat").unwrap())
        self.assertEqual(last.state, State.ROLLED_BACK)
        self.assertGreater(last.token, first.token)
