import unittest
from collections import Counter

import eventlet
import msgspec
from result import Err, Ok

from boragedeck.connection.messages import Accepted
from boragedeck.connection.store import Table
from boragedeck.exceptions import PeerUnreachableError
from boragedeck.ids import Health
from boragedeck.interfaces import Member
from boragedeck.process.relaying.fleet.hubs import CACHE_TTL_S, Hubs, choose_hubs
from boragedeck.process.relaying.loads.load_exchange import (
    MAINTENANCE_INTERVAL_S,
    REFRESH_S,
    LoadExchange,
)
from boragedeck.process.relaying.loads.load_hub import TTL_S
from boragedeck.process.relaying.loads.load_messages import FetchLoads, LoadUpdate
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.placing.test_admission import replica

PROPAGATION_S = 0.15
"""Time within which all routers receive a change."""


class Network:
    """In-memory network that carries messages between the routers of a test."""

    def __init__(self):
        self.handlers = {}
        self.sent = Counter()
        self.dead = set()

    def link(self, address):
        return Link(self, address)

    @property
    def calls(self):
        return self.sent.total()


class Link:
    def __init__(self, net, address):
        self._net, self._address = net, address

    def call(self, message, answer_type, timeout_s):
        self._net.sent[type(message).__name__] += 1
        handler = self._net.handlers.get((self._address, type(message)))
        if self._address in self._net.dead:
            return Err(PeerUnreachableError("dead"))
        return Ok(Accepted() if handler is None else handler(message))


class Server:
    def __init__(self, net, address):
        self._net, self._address = net, address

    def register(self, kind, handler):
        self._net.handlers[self._address, kind] = handler


class Members:
    def __init__(self, names, own, domains=1):
        everyone = {
            name: Member(name, name, f"d{number % domains}", name)
            for number, name in enumerate(names)
        }
        self.own = everyone.pop(own)
        self._others = list(everyone.values())

    def members(self):
        return self._others

    def routers(self):
        return 1 + len(self._others)

    def address_of(self, router):
        found = (m.address for m in self._others if m.router == router)
        return next(found, None)


def exchange_of(timers, net, members, registry, mirrors=()):
    return LoadExchange(
        timers,
        registry,
        members,
        Hubs(timers, members),
        net,
        Server(net, members.own.address),
        mirrors,
    )


class LoadExchangeTest(unittest.TestCase):
    def setUp(self):
        self.timers, self.net = ManualTimers(), Network()
        self.registries, self.exchanges, self.mirrors = {}, {}, {}
        for name in "abc":
            registry = self.registries[name] = ReplicaRegistry(self.timers)
            registry.put(replica("one"))
            self.mirrors[name] = TableMirror(Table.ROUTING)
            self.exchanges[name] = exchange_of(
                self.timers,
                self.net,
                Members("abc", name),
                registry,
                [self.mirrors[name]],
            )
            self.exchanges[name].start()

    def own(self, name):
        return self.registries[name].get("one").own

    def peers(self, name):
        return self.registries[name].get("one").peers

    def set_load(self, name, load):
        self.registries[name].get("one").own = load
        self.exchanges[name].note_change()
        self.timers.advance(PROPAGATION_S)

    def test_loads_of_all_others_add_up(self):
        self.set_load("a", Load(2, 100, 300))
        self.set_load("b", Load(1, 50, 70))
        self.assertEqual(self.peers("c"), Load(3, 150, 370))
        self.assertEqual(self.peers("a"), Load(1, 50, 70))

    def test_ended_work_is_subtracted(self):
        self.set_load("a", Load(2, 100, 300))
        self.set_load("a", Load())
        self.assertEqual(self.peers("b"), Load())

    def test_loads_of_a_silent_router_expire(self):
        self.set_load("a", Load(2, 100, 300))
        self.net.handlers["b", LoadUpdate] = lambda message: Accepted()
        self.timers.advance(TTL_S + MAINTENANCE_INTERVAL_S)
        self.assertEqual(self.peers("b"), Load())

    def test_few_messages_are_sent_without_changes(self):
        self.timers.advance(10 * REFRESH_S)
        self.assertLessEqual(self.net.calls, 3 * 2 * 11)

    def test_loads_received_before_a_replica_is_known_count(self):
        registry = self.registries["b"]
        registry.remove("one", "test")
        self.set_load("a", Load(2, 100, 300))
        registry.put(replica("one"))
        self.assertEqual(self.peers("b"), Load(2, 100, 300))

    def test_newest_row_versions_are_reported(self):
        reported = []
        self.exchanges["b"].on_newest_version = lambda *what: reported.append(what)
        self.mirrors["a"].newest_row_version = 7
        self.set_load("a", Load())
        self.assertIn(("a", Table.ROUTING, 7), reported)


class LargeFleetTest(unittest.TestCase):
    """Routers of several failure domains, each of which has one hub."""

    ROUTERS = 36
    DOMAINS = 4

    def setUp(self):
        self.timers, self.net = ManualTimers(), Network()
        self.names = [f"r{number}" for number in range(self.ROUTERS)]
        self.registries, self.exchanges, self.hubs, self.domains = {}, {}, set(), {}
        for name in self.names:
            members = Members(self.names, name, self.DOMAINS)
            registry = self.registries[name] = ReplicaRegistry(self.timers)
            registry.put(replica("one"))
            exchange = exchange_of(self.timers, self.net, members, registry)
            self.exchanges[name] = exchange
            self.domains[name] = members.own.failure_domain
            exchange.start()
        everyone = [members.own, *members.members()]
        self.hubs = {hub.router for hub in choose_hubs(everyone)}
        self.non_hubs = [name for name in self.names if name not in self.hubs]
        self.advance(2 * REFRESH_S)

    def advance(self, seconds):
        """Advance the clock in small steps, and deliver the messages of each step."""
        for _ in range(round(seconds / 0.01)):
            self.timers.advance(0.01)
            eventlet.sleep(0)

    def set_load(self, name, load):
        self.registries[name].get("one").own = load
        self.exchanges[name].note_change()
        eventlet.sleep(0)

    def fetched_peer_load(self, name):
        self.exchanges[name].refresh("p")
        return self.registries[name].get("one").peers

    def router_of_same_domain(self, name):
        """Return another router of the same failure domain that isn't a hub."""
        domain = self.domains[name]
        return next(n for n in self.non_hubs if n != name and self.domains[n] == domain)

    def router_of_other_domain(self, name):
        domain = self.domains[name]
        return next(n for n in self.non_hubs if self.domains[n] != domain)

    def test_load_is_known_at_once_in_its_domain_and_soon_elsewhere(self):
        first = self.non_hubs[0]
        self.set_load(first, Load(2, 100, 300))
        self.assertEqual(
            self.fetched_peer_load(self.router_of_same_domain(first)), Load(2, 100, 300)
        )
        self.advance(PROPAGATION_S)
        self.assertEqual(
            self.fetched_peer_load(self.router_of_other_domain(first)),
            Load(2, 100, 300),
        )
        self.assertEqual(self.fetched_peer_load(first), Load())

    def test_hub_knows_all_loads_and_counts_its_own(self):
        hub = sorted(self.hubs)[0]
        self.set_load(hub, Load(1, 10, 20))
        self.set_load(self.non_hubs[0], Load(2, 100, 300))
        self.set_load(self.router_of_other_domain(self.non_hubs[0]), Load(1, 1, 1))
        self.advance(PROPAGATION_S)
        self.assertEqual(self.registries[hub].get("one").peers, Load(3, 101, 301))
        self.assertEqual(
            self.fetched_peer_load(self.router_of_same_domain(self.non_hubs[0])),
            Load(4, 111, 321),
        )

    def test_long_work_of_a_hub_is_counted_until_it_ends(self):
        hub = sorted(self.hubs)[0]
        self.set_load(hub, Load(1, 0, 9_000))
        self.advance(2 * TTL_S)
        other = next(name for name in self.non_hubs if self.domains[name] != hub)
        self.assertEqual(self.fetched_peer_load(other), Load(1, 0, 9_000))

    def test_ended_work_is_subtracted_at_all_routers(self):
        self.set_load(self.non_hubs[0], Load(2, 100, 300))
        self.advance(PROPAGATION_S)
        self.set_load(self.non_hubs[0], Load())
        self.advance(PROPAGATION_S)
        for name in self.names:
            self.assertEqual(self.fetched_peer_load(name), Load())

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

    def test_router_whose_hub_is_dead_uses_another(self):
        first = self.non_hubs[0]
        own_hub = self.exchanges[first]._hubs.serving_hubs()[0].router
        self.net.dead.add(own_hub)
        self.suspect(own_hub)
        self.advance(CACHE_TTL_S + 2 * REFRESH_S)
        other = self.router_of_other_domain(first)
        self.set_load(other, Load(2, 100, 300))
        self.advance(PROPAGATION_S)
        self.assertEqual(self.fetched_peer_load(first), Load(2, 100, 300))

    def test_loads_are_counted_once_if_a_live_hub_is_replaced(self):
        first = self.non_hubs[0]
        self.set_load(first, Load(2, 100, 300))
        self.suspect(self.exchanges[first]._hubs.serving_hubs()[0].router)
        self.advance(CACHE_TTL_S + 2 * PROPAGATION_S)
        self.assertEqual(
            self.fetched_peer_load(self.router_of_other_domain(first)),
            Load(2, 100, 300),
        )

    def test_loads_are_counted_once_if_a_hub_is_slow_to_answer(self):
        first = self.non_hubs[0]
        hub = self.exchanges[first]._hubs.serving_hubs()[0].router
        self.net.handlers[hub, FetchLoads] = lambda message: None
        self.net.dead.add(hub)
        self.exchanges[first].refresh("p")
        self.net.dead.discard(hub)
        self.set_load(first, Load(2, 100, 300))
        self.advance(2 * PROPAGATION_S)
        self.assertEqual(
            self.fetched_peer_load(self.router_of_other_domain(first)),
            Load(2, 100, 300),
        )

    def test_loads_are_fresh_after_a_fetch_and_always_at_a_hub(self):
        first = self.non_hubs[0]
        self.assertFalse(self.exchanges[first].is_fresh("p"))
        self.exchanges[first].refresh("p")
        self.assertTrue(self.exchanges[first].is_fresh("p"))
        self.assertTrue(self.exchanges[sorted(self.hubs)[0]].is_fresh("p"))

    def test_loads_of_a_dead_router_expire(self):
        first = self.non_hubs[0]
        self.set_load(first, Load(2, 100, 300))
        self.advance(PROPAGATION_S)
        self.net.dead.add(first)
        self.exchanges[first]._send = lambda *message: None
        self.advance(2 * TTL_S)
        self.assertEqual(
            self.fetched_peer_load(self.router_of_other_domain(first)), Load()
        )

    def test_messages_grow_with_requests_and_domains_and_not_with_routers(self):
        before = self.net.calls
        seconds = 5
        self.advance(seconds)
        idle_rate = (self.net.calls - before) / seconds
        hubs = len(self.hubs)
        # Each router refreshes its loads once a second, and each hub sends its sums to
        # the other hubs.
        self.assertLessEqual(idle_rate, self.ROUTERS / REFRESH_S + hubs * hubs * 2)
        before = self.net.sent["LoadUpdate"]
        for name in self.non_hubs:
            self.set_load(name, Load(1, 10, 20))
        self.assertLessEqual(self.net.sent["LoadUpdate"] - before, len(self.non_hubs))
