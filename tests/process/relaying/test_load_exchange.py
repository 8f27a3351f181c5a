import unittest

from result import Ok

from boragedeck.connection.messages import Accepted
from boragedeck.connection.store import Table
from boragedeck.interfaces import Member
from boragedeck.process.relaying.load_exchange import (
    MAX_MESSAGES_PER_S,
    MIN_INTERVAL_S,
    REFRESH_S,
    TTL_S,
    LoadExchange,
)
from boragedeck.process.relaying.registry import Load, ReplicaRegistry
from boragedeck.process.relaying.table_mirror import TableMirror
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.test_admission import replica


class Net:
    """Carries messages between the routers of a test."""

    def __init__(self):
        self.handlers = {}
        self.calls = 0

    def link(self, address):
        return Link(self, address)


class Link:
    def __init__(self, net, address):
        self._net, self._address = net, address

    def call(self, message, answer_type, timeout_s):
        self._net.calls += 1
        return Ok(self._net.handlers[self._address](message))


class Server:
    def __init__(self, net, address):
        self._net, self._address = net, address

    def register(self, kind, handler):
        self._net.handlers[self._address] = handler


class Members:
    def __init__(self, names, own):
        everyone = {name: Member(name, name, "a", name) for name in names}
        self.own = everyone.pop(own)
        self._others = list(everyone.values())

    def members(self):
        return self._others

    def address_of(self, router):
        found = (m.address for m in self._others if m.router == router)
        return next(found, None)


class LoadExchangeTest(unittest.TestCase):
    def setUp(self):
        self.timers, self.net = ManualTimers(), Net()
        self.registries, self.exchanges, self.mirrors = {}, {}, {}
        for name in "abc":
            registry = self.registries[name] = ReplicaRegistry(self.timers)
            registry.put(replica("one"))
            self.mirrors[name] = TableMirror(Table.ROUTING)
            self.exchanges[name] = LoadExchange(
                self.timers,
                registry,
                Members("abc", name),
                self.net,
                Server(self.net, name),
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
        self.timers.advance(2 * MIN_INTERVAL_S)

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
        self.exchanges["a"]._tick = lambda: None
        del self.net.handlers["b"]
        self.net.handlers["b"] = lambda message: Accepted()
        self.timers.advance(TTL_S + 2 * MIN_INTERVAL_S)
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

    def test_messages_of_a_large_fleet_are_bounded(self):
        names = [f"r{number}" for number in range(80)]
        for name in names:
            self.net.handlers[name] = lambda message: Accepted()
        registry = ReplicaRegistry(self.timers)
        registry.put(replica("one"))
        exchange = LoadExchange(
            self.timers,
            registry,
            Members(names, "r0"),
            self.net,
            Server(self.net, "r0"),
        )
        exchange.start()
        before = self.net.calls
        seconds = 10
        for _ in range(seconds * 50):
            exchange.note_change()
            self.timers.advance(0.02)
        others = 3 * 2 * (seconds / REFRESH_S + 1)
        sent = self.net.calls - before - others
        self.assertLessEqual(sent, MAX_MESSAGES_PER_S * (seconds + 1))
        self.assertGreater(sent, 2 * 79 * seconds)

    def test_newest_changes_are_told(self):
        told = []
        self.exchanges["b"].on_newest = lambda *what: told.append(what)
        self.mirrors["a"].newest = 7
        self.note("a", Load())
        self.assertIn(("a", Table.ROUTING, 7), told)
