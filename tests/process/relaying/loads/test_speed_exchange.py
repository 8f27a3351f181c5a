"""Exchange of samples and speeds between routers, through hubs and without them."""

import unittest

import eventlet
import msgspec

from boragedeck.ids import Health
from boragedeck.process.relaying.fleet.hubs import CACHE_TTL_S, Hubs, choose_hubs
from boragedeck.process.relaying.loads.load_exchange import REFRESH_S, LoadExchange
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.speeds.recent_speeds import TTL_S
from boragedeck.process.relaying.speeds.replica_speeds import ReplicaSpeeds
from boragedeck.process.relaying.speeds.speed_messages import StreamTimes
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.loads.test_load_exchange import Members, Network, Server
from tests.support.speed_fleet import replica

ENGINES = 8
SLOW = 2.2


class SpeedExchangeTest(unittest.TestCase):
    """Routers with their own replicas' states; subclasses have the tests."""

    ROUTERS = 36
    DOMAINS = 4

    def setUp(self):
        self.timers, self.net = ManualTimers(), Network()
        self.names = [f"r{number}" for number in range(self.ROUTERS)]
        self.registries, self.exchanges, self.speeds = {}, {}, {}
        for name in self.names:
            members = Members(self.names, name, self.DOMAINS)
            self.make_router(name, members)
        everyone = [members.own, *members.members()]
        self.hubs = {hub.router for hub in choose_hubs(everyone)}
        self.non_hubs = [name for name in self.names if name not in self.hubs]
        self.advance(2 * REFRESH_S)

    def make_router(self, name, members):
        registry = self.registries[name] = ReplicaRegistry(self.timers)
        for number in range(ENGINES):
            engine = f"e{number}"
            registry.put(replica(replica=engine, address=engine, born_ms=7))
        self.speeds[name] = ReplicaSpeeds(name, self.timers, registry)
        exchange = self.exchanges[name] = LoadExchange(
            self.timers,
            registry,
            members,
            Hubs(self.timers, members),
            self.net,
            Server(self.net, name),
            (),
            self.speeds[name],
        )
        exchange.start()

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.timers.advance(0.05)
            eventlet.sleep(0)

    def serve_streams(self, names):
        """Have routers serve a stream at each engine, of which the first is slow."""
        for name in names:
            for number in range(ENGINES):
                factor = SLOW if number == 0 else 1.0
                state = self.registries[name].get(f"e{number}")
                times = StreamTimes(1e-4 * factor, 0.03 * factor)
                self.speeds[name].note_stream(state, times)
            self.exchanges[name].note_change()
            eventlet.sleep(0)

    def speed(self, name, engine="e0"):
        """Return a speed that a router uses, after it has asked its hub."""
        self.exchanges[name].refresh("p")
        return self.registries[name].get(engine).speed


class LargeFleetTest(SpeedExchangeTest):
    """Routers of several failure domains, each of which has one hub."""

    def suspect(self, name):
        """Mark one router as suspect at all others."""
        for exchange in self.exchanges.values():
            members = exchange._membership
            members._others = [
                msgspec.structs.replace(member, health=Health.SUSPECT)
                if member.router == name
                else member
                for member in members._others
            ]

    def test_samples_of_all_domains_make_the_speeds_of_all_routers(self):
        self.serve_streams(self.non_hubs[: self.DOMAINS])
        self.advance(4.0)
        for name in self.names:
            self.assertAlmostEqual(self.speed(name), 1 / SLOW, msg=name)
            self.assertEqual(self.speed(name, "e1"), 1.0)

    def test_speeds_are_told_once_a_second_only(self):
        self.serve_streams(self.non_hubs[: self.DOMAINS])
        self.advance(4.0)
        first = self.non_hubs[0]
        noted = []
        self.speeds[first].note_received = noted.append
        for _ in range(40):
            self.speed(first)
            self.advance(0.05)
        self.assertEqual(len(noted), 2)

    def test_streams_of_hubs_count(self):
        self.serve_streams(sorted(self.hubs))
        self.advance(4.0)
        self.assertLess(self.speed(self.non_hubs[0]), 1.0)

    def test_speeds_outlive_a_hub_and_the_next_one_knows_them(self):
        self.serve_streams(self.non_hubs[: self.DOMAINS])
        self.advance(4.0)
        first = self.non_hubs[0]
        self.assertLess(self.speed(first), 1.0)
        hub = self.exchanges[first]._hubs.serving_hubs()[0].router
        self.net.dead.add(hub)
        self.advance(1.0)
        self.assertLess(self.speed(first), 1.0)
        self.suspect(hub)
        self.advance(CACHE_TTL_S + 2 * REFRESH_S)
        for name in self.non_hubs:
            if not self.exchanges[name]._hubs.is_hub():
                # What it heard of the lost hub doesn't count any more.
                self.speeds[name]._received.expire(self.timers.now() + 2 * TTL_S)
            self.assertLess(self.speed(name), 1.0, name)

    def test_received_speeds_expire_if_all_hubs_are_lost(self):
        self.serve_streams(self.non_hubs[: self.DOMAINS])
        self.advance(4.0)
        first = self.non_hubs[0]
        self.assertLess(self.speed(first), 1.0)
        self.net.dead |= self.hubs
        self.advance(TTL_S - 2.0)
        self.assertLess(self.speed(first), 1.0)
        self.advance(4.0)
        self.assertEqual(self.speed(first), 1.0)

    def test_lost_messages_lose_no_samples(self):
        first = self.non_hubs[0]
        hub = self.exchanges[first]._hubs.serving_hubs()[0].router
        self.net.dead.add(hub)
        self.serve_streams(self.non_hubs[: self.DOMAINS])
        self.net.dead.discard(hub)
        self.advance(6.0)
        self.assertLess(self.speed(first), 1.0)


class SmallFleetTest(SpeedExchangeTest):
    """Routers without hubs, which tell each other all samples."""

    ROUTERS = 4
    DOMAINS = 2

    def test_samples_of_all_domains_make_the_speeds_of_all_routers(self):
        self.serve_streams(self.names)
        self.advance(4.0)
        for name in self.names:
            self.assertAlmostEqual(self.speed(name), 1 / SLOW, msg=name)

    def test_router_that_is_cut_off_is_not_needed(self):
        self.net.dead.add("r3")
        self.serve_streams(self.names)
        self.advance(4.0)
        self.assertLess(self.speed("r0"), 1.0)
