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
from boragedeck.process.relaying.hubs import CACHE_TTL_S, Hubs, choose_hubs
from boragedeck.process.relaying.load_exchange import (
    MAINTENANCE_INTERVAL_S,
    REFRESH_S,
    LoadExchange,
)
from boragedeck.process.relaying.load_hub import TTL_S
from boragedeck.process.relaying.load_messages import FetchLoads, LoadUpdate
from boragedeck.process.relaying.registry import ReplicaRegistry
from boragedeck.process.relaying.replica_state import Load
from boragedeck.process.relaying.table_mirror import TableMirror
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.test_admission import replica

SOON_S = 0.15
"""By then all routers have heard of a change."""


class Net:
    """Carries messages between the routers of a test."""

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
        self.timers, self.net = ManualTimers(), Net()
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

    def note(self, name, load):
        self.registries[name].get("one").own = load
        self.exchanges[name].note_change()
        self.timers.advance(SOON_S)

    def test_loads_of_all_others_add_up(self):
        self.note("a", Load(2, 100, 300))
        self.note("b", Load(1, 50, 70))
        self.assertEqual(self.peers("c"), Load(3, 150, 370))
        self.assertEqual(self.peers("a"), Load(1, 50, 70))

    def test_ended_work_is_taken_off(self):
        self.note("a", Load(2, 100, 300))
        self.note("a", Load())
        self.assertEqual(self.peers("b"), Load())

    def test_loads_of_a_router_that_is_silent_end(self):
        self.note("a", Load(2, 100, 300))
        self.net.handlers["b", LoadUpdate] = lambda message: Accepted()
        self.timers.advance(TTL_S + MAINTENANCE_INTERVAL_S)
        self.assertEqual(self.peers("b"), Load())

    def test_without_changes_little_is_sent(self):
        self.timers.advance(10 * REFRESH_S)
        self.assertLessEqual(self.net.calls, 3 * 2 * 11)

    def test_loads_told_before_a_replica_is_known_count(self):
        registry = self.registries["b"]
        registry.remove("one", "test")
        self.note("a", Load(2, 100, 300))
        registry.put(replica("one"))
        self.assertEqual(self.peers("b"), Load(2, 100, 300))

    def test_newest_changes_are_told(self):
        told = []
        self.exchanges["b"].on_newest_version = lambda *what: told.append(what)
        self.mirrors["a"].newest_row_version = 7
        self.note("a", Load())
        self.assertIn(("a", Table.ROUTING, 7), told)


class LargeFleetTest(unittest.TestCase):
    """Routers of several failure domains, one of which is the hub of each."""

    ROUTERS = 36
    DOMAINS = 4

    def setUp(self):
        self.timers, self.net = ManualTimers(), Net()
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
        self.plain = [name for name in self.names if name not in self.hubs]
        self.advance(2 * REFRESH_S)

    def advance(self, seconds):
        """Let the time go on, with the messages that are sent meanwhile."""
        for _ in range(round(seconds / 0.01)):
            self.timers.advance(0.01)
            eventlet.sleep(0)

    def note(self, name, load):
        self.registries[name].get("one").own = load
        self.exchanges[name].note_change()
        eventlet.sleep(0)

    def seen(self, name):
        self.exchanges[name].refresh("p")
        return self.registries[name].get("one").peers

    def beside(self, name):
        """Return another plain router of the same failure domain."""
        domain = self.domains[name]
        return next(n for n in self.plain if n != name and self.domains[n] == domain)

    def far(self, name):
        domain = self.domains[name]
        return next(n for n in self.plain if self.domains[n] != domain)

    def test_load_is_known_at_once_in_its_domain_and_soon_elsewhere(self):
        first = self.plain[0]
        self.note(first, Load(2, 100, 300))
        self.assertEqual(self.seen(self.beside(first)), Load(2, 100, 300))
        self.advance(SOON_S)
        self.assertEqual(self.seen(self.far(first)), Load(2, 100, 300))
        self.assertEqual(self.seen(first), Load())

    def test_hub_knows_all_and_counts_itself(self):
        hub = sorted(self.hubs)[0]
        self.note(hub, Load(1, 10, 20))
        self.note(self.plain[0], Load(2, 100, 300))
        self.note(self.far(self.plain[0]), Load(1, 1, 1))
        self.advance(SOON_S)
        self.assertEqual(self.registries[hub].get("one").peers, Load(3, 101, 301))
        self.assertEqual(self.seen(self.beside(self.plain[0])), Load(4, 111, 321))

    def test_long_work_of_a_hub_is_counted_until_it_ends(self):
        hub = sorted(self.hubs)[0]
        self.note(hub, Load(1, 0, 9_000))
        self.advance(2 * TTL_S)
        other = next(name for name in self.plain if self.domains[name] != hub)
        self.assertEqual(self.seen(other), Load(1, 0, 9_000))

    def test_ended_work_is_taken_off_everywhere(self):
        self.note(self.plain[0], Load(2, 100, 300))
        self.advance(SOON_S)
        self.note(self.plain[0], Load())
        self.advance(SOON_S)
        for name in self.names:
            self.assertEqual(self.seen(name), Load())

    def suspect(self, name):
        """Let all routers believe that one is silent."""
        for exchange in self.exchanges.values():
            members = exchange._membership
            members._others = [
                msgspec.structs.replace(member, health=Health.SUSPECT)
                if member.router == name
                else member
                for member in members._others
            ]

    def test_router_whose_hub_is_dead_goes_on_with_another(self):
        first = self.plain[0]
        own_hub = self.exchanges[first]._hubs.serving_hubs()[0].router
        self.net.dead.add(own_hub)
        self.suspect(own_hub)
        self.advance(CACHE_TTL_S + 2 * REFRESH_S)
        other = self.far(first)
        self.note(other, Load(2, 100, 300))
        self.advance(SOON_S)
        self.assertEqual(self.seen(first), Load(2, 100, 300))

    def test_loads_are_counted_once_where_the_hub_changes_while_it_lives(self):
        first = self.plain[0]
        self.note(first, Load(2, 100, 300))
        self.suspect(self.exchanges[first]._hubs.serving_hubs()[0].router)
        self.advance(CACHE_TTL_S + 2 * SOON_S)
        self.assertEqual(self.seen(self.far(first)), Load(2, 100, 300))

    def test_loads_are_counted_once_where_a_hub_is_slow_to_answer(self):
        first = self.plain[0]
        hub = self.exchanges[first]._hubs.serving_hubs()[0].router
        self.net.handlers[hub, FetchLoads] = lambda message: None
        self.net.dead.add(hub)
        self.exchanges[first].refresh("p")
        self.net.dead.discard(hub)
        self.note(first, Load(2, 100, 300))
        self.advance(2 * SOON_S)
        self.assertEqual(self.seen(self.far(first)), Load(2, 100, 300))

    def test_loads_that_could_not_be_asked_for_are_not_fresh(self):
        first = self.plain[0]
        self.assertFalse(self.exchanges[first].is_fresh("p"))
        self.exchanges[first].refresh("p")
        self.assertTrue(self.exchanges[first].is_fresh("p"))
        self.assertTrue(self.exchanges[sorted(self.hubs)[0]].is_fresh("p"))

    def test_loads_of_a_router_that_died_end(self):
        first = self.plain[0]
        self.note(first, Load(2, 100, 300))
        self.advance(SOON_S)
        self.net.dead.add(first)
        self.exchanges[first]._send = lambda *message: None
        self.advance(2 * TTL_S)
        self.assertEqual(self.seen(self.far(first)), Load())

    def test_messages_grow_with_requests_and_domains_and_not_with_routers(self):
        before = self.net.calls
        seconds = 5
        self.advance(seconds)
        idle = (self.net.calls - before) / seconds
        hubs = len(self.hubs)
        # Each router refreshes once a second, each hub tells the others.
        self.assertLessEqual(idle, self.ROUTERS / REFRESH_S + hubs * hubs * 2)
        before = self.net.sent["LoadUpdate"]
        for name in self.plain:
            self.note(name, Load(1, 10, 20))
        self.assertLessEqual(self.net.sent["LoadUpdate"] - before, len(self.plain))
