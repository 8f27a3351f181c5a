import unittest

from result import Err, Ok

from boragedeck.connection.store import Change, Changes, Table
from boragedeck.exceptions import PeerUnreachableError, StoreUnavailableError
from boragedeck.interfaces import Member
from boragedeck.process.relaying.mirror_messages import FetchTable, TablePart
from boragedeck.process.relaying.shared_feed import (
    CURRENT_S,
    MIN_SHARING,
    OWN_S,
    READER_WAIT_S,
    READERS,
    SharedFeed,
    choose_reader,
)
from boragedeck.process.timers import ManualTimers

ROUTING = Table.ROUTING
NEWS = Changes((Change("k", b"1", 6),), 6)


def members(count, domain="a"):
    names = [f"r{number}" for number in range(count)]
    return [Member(name, name, domain, name) for name in names]


class Store:
    def __init__(self):
        self.waits = []
        self.answer = Ok(Changes((), 5))

    def changes(self, table, after, wait_s):
        self.waits.append(wait_s)
        return self.answer


class Links:
    def __init__(self):
        self.asked = []
        self.answer = Ok(TablePart(None, True))

    def link(self, address):
        self.address = address
        return self

    def call(self, message, answer_type, timeout_s):
        self.asked.append((self.address, message))
        return self.answer


class ChooseReaderTest(unittest.TestCase):
    def test_each_domain_has_its_readers_and_all_agree(self):
        everyone = members(16)
        chosen = {}
        for own in everyone:
            beside = [member for member in everyone if member != own]
            chosen[own.router] = choose_reader(own, beside)
        readers = {name for name, reader in chosen.items() if reader is None}
        self.assertEqual(len(readers), READERS)
        told = {reader.router for reader in chosen.values() if reader is not None}
        self.assertEqual(told, readers)

    def test_small_domain_reads_the_store(self):
        own, *beside = members(MIN_SHARING - 1)
        self.assertIsNone(choose_reader(own, beside))


class SharedFeedTest(unittest.TestCase):
    def setUp(self):
        self.timers, self.store, self.links = ManualTimers(), Store(), Links()
        everyone = members(16)
        self.others = {}
        for own in everyone:
            beside = [member for member in everyone if member != own]
            reader = choose_reader(own, beside)
            if reader is None:
                self.as_reader = self.feed(own, beside)
            else:
                self.reader, self.as_follower = reader, self.feed(own, beside)

    def feed(self, own, beside):
        far = members(3, "b")
        return SharedFeed(
            self.store, self.timers, self.links, own, lambda: [*beside, *far]
        )

    def test_follower_reads_from_its_reader(self):
        self.links.answer = Ok(TablePart(NEWS, True))
        self.assertEqual(self.as_follower.changes(ROUTING, 5, 4.0), Ok(NEWS))
        address, ask = self.links.asked[0]
        self.assertEqual(address, self.reader.address)
        self.assertEqual((ask.table, ask.after), (ROUTING, 5))
        self.assertIsInstance(ask, FetchTable)
        self.assertEqual(self.store.waits, [])

    def test_reader_reads_the_store_often_enough_to_miss_it_soon(self):
        self.as_reader.changes(ROUTING, 5, 4.0)
        self.assertEqual(self.store.waits, [READER_WAIT_S])
        self.assertEqual(self.links.asked, [])

    def test_follower_turns_to_the_store_where_its_reader_fails(self):
        failures = (
            Err(PeerUnreachableError("silent")),
            Ok(TablePart(NEWS, False)),
        )
        for answer in failures:
            self.links.answer = answer
            self.timers.advance(OWN_S)
            self.assertEqual(self.as_follower.changes(ROUTING, 5, 4.0).ok().rows, ())
        self.assertEqual(len(self.store.waits), 2)

    def test_follower_comes_back_to_its_reader(self):
        self.links.answer = Err(PeerUnreachableError("silent"))
        for _ in range(3):
            self.as_follower.changes(ROUTING, 5, 4.0)
        self.assertEqual(len(self.links.asked), 1)
        self.links.answer = Ok(TablePart(NEWS, True))
        self.timers.advance(OWN_S + 0.1)
        self.assertEqual(self.as_follower.changes(ROUTING, 5, 4.0), Ok(NEWS))

    def test_only_the_stores_own_word_is_current(self):
        self.as_follower.changes(ROUTING, 5, 4.0)
        self.assertFalse(self.as_follower.is_current(ROUTING))
        self.as_reader.changes(ROUTING, 5, 4.0)
        self.assertTrue(self.as_reader.is_current(ROUTING))
        self.timers.advance(CURRENT_S + 0.1)
        self.assertFalse(self.as_reader.is_current(ROUTING))
        self.store.answer = Err(StoreUnavailableError("503"))
        self.as_reader.changes(ROUTING, 5, 4.0)
        self.assertFalse(self.as_reader.is_current(ROUTING))
