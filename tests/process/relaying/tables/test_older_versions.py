import random
import unittest

import eventlet
import msgspec
from result import Err, Ok

from boragedeck.connection.store import Change, Changes, Table
from boragedeck.connection.store_version import store_version
from boragedeck.exceptions import StoreUnavailableError
from boragedeck.process.relaying.loads.load_messages import LoadUpdate
from boragedeck.process.relaying.tables.mirror_follower import MirrorFollower
from boragedeck.process.relaying.tables.mirror_messages import (
    FetchTable,
    TablePart,
    pack,
)
from boragedeck.process.relaying.tables.mirror_server import serve_mirrors
from boragedeck.process.relaying.tables.older_versions import is_comparable
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.tables.test_mirror_follower import Feed
from tests.process.relaying.tables.test_mirror_messages import Server, State
from tests.support.replicas import BOUNDS

FETCH_93E4B70 = "94aa46657463685461626c65a7726f7574696e6714cb3fe0000000000000"
PART_93E4B70 = (
    "93a95461626c6550617274c419789c9b3c71f2b2e4fcbcb4ccf4234cd5b5a2628700495f077fc3"
)
LOADS_93E4B70 = (
    "95aa4c6f6164557064617465a27231038082a7726f7574696e6715a87265706c6963617314"
)
FETCH_21B50C1 = (
    "94aa46657463685461626c65a7726f7574696e67cf000000e8d4a51014cb3fe0000000000000"
)
PART_21B50C1 = (
    "94a95461626c6550617274c424789c9b3c71f2b2e4fcbcb4ccf4234cd5b5e71918185e5c592a200a"
    "63881d0200f9430dffc3c0"
)
LOADS_21B50C1 = (
    "95aa4c6f6164557064617465a27231038082a7726f7574696e67cf000000e8d4a51015a87265706c"
    "69636173cf000000e8d4a51014"
)
ROUTING, REPLICAS = Table.ROUTING, Table.REPLICAS


def decoded(text, message_type):
    return msgspec.msgpack.decode(bytes.fromhex(text), type=message_type)


class RecordedMessagesTest(unittest.TestCase):
    """Messages as routers of 93e4b70 and 21b50c1 encode them."""

    def test_requests_for_a_table_are_read(self):
        old, new = (
            decoded(FETCH_93E4B70, FetchTable),
            decoded(FETCH_21B50C1, FetchTable),
        )
        self.assertEqual((old.after, new.after), (20, store_version(1, 20)))
        self.assertFalse(old.counts_eras or new.counts_eras)

    def test_parts_of_a_table_are_read(self):
        for text, version in ((PART_93E4B70, 22), (PART_21B50C1, store_version(1, 22))):
            part = decoded(text, TablePart)
            self.assertEqual(part.unpack().version, version)
            self.assertIsNone(part.age_s)

    def test_loads_are_read(self):
        for text, version in (
            (LOADS_93E4B70, 21),
            (LOADS_21B50C1, store_version(1, 21)),
        ):
            told = decoded(text, LoadUpdate).newest_row_versions
            self.assertEqual(told[ROUTING], version)

    def test_table_of_a_newer_build_is_skipped_in_loads(self):
        body = ["LoadUpdate", "r1", 3, {}, {"routing": 5, "plans": 7}, [], "more"]
        update = msgspec.msgpack.decode(msgspec.msgpack.encode(body), type=LoadUpdate)
        self.assertEqual(update.newest_row_versions[ROUTING], 5)

    def test_part_without_era_is_not_compared_with_versions_that_have_one(self):
        old = decoded(PART_93E4B70, TablePart)
        known = store_version(1, 3)
        self.assertFalse(is_comparable(old, old.unpack(), known))
        self.assertFalse(is_comparable(old, old.unpack(), -1))
        self.assertTrue(is_comparable(old, old.unpack(), 3))
        later = decoded(PART_21B50C1, TablePart)
        self.assertTrue(is_comparable(later, later.unpack(), known))


class AnswersTest(unittest.TestCase):
    """What routers of older builds are told about a table of era 1."""

    def setUp(self):
        self.mirror, server = TableMirror(ROUTING), Server()
        serve_mirrors(
            server,
            [self.mirror],
            ManualTimers(),
            lambda table: True,
            lambda table: State(),
        )
        self.answer = server.handler
        self.apply("1", 20)
        self.apply("2", 24)

    def apply(self, value, number):
        version = store_version(1, number)
        changes = Changes((Change("config", value.encode(), version),), version)
        self.mirror.apply(changes)

    def test_build_without_eras_is_told_changes_in_its_own_counting(self):
        changes = self.answer(decoded(FETCH_93E4B70, FetchTable)).unpack()
        self.assertEqual(changes.version, 24)
        self.assertEqual(changes.rows, (Change("config", b"2", 24),))

    def test_build_without_eras_that_has_the_newest_row_is_told_nothing(self):
        part = self.answer(FetchTable(ROUTING, 24))
        self.assertIsNone(part.packed)
        self.assertTrue(part.is_current)

    def test_build_with_eras_is_told_versions_with_eras(self):
        changes = self.answer(decoded(FETCH_21B50C1, FetchTable)).unpack()
        self.assertEqual(changes.version, store_version(1, 24))

    def test_older_build_without_a_table_reads_the_store_itself(self):
        part = self.answer(FetchTable(ROUTING, -1))
        self.assertIsNone(part.packed)
        self.assertFalse(part.is_current)

    def test_this_build_without_a_table_is_told_all(self):
        part = self.answer(FetchTable(ROUTING, -1, counts_eras=True))
        self.assertTrue(part.unpack().version == store_version(1, 24))


class OlderPeer:
    """Links to a router of an older build that has the newest table."""

    def __init__(self, era):
        self.version = store_version(era, 55)
        self.asked = []

    def link(self, address):
        return self

    def call(self, query, answer_type, timeout_s):
        self.asked.append(query)
        packed = None
        if self.version > query.after:
            row = Change("config", b"new", self.version)
            packed = pack(Changes((row,), self.version))
        return Ok(TablePart(packed, is_current=True))


class CutOffRouterTest(unittest.TestCase):
    """A router without the store, among routers of an older build only."""

    def begin(self, peer, known=50):
        """Let a router lose the store; it has a table of era 1 if `known` isn't -1."""
        self.peer, self.timers, feed = peer, ManualTimers(), Feed()
        self.mirror = TableMirror(ROUTING)
        if known >= 0:
            version = store_version(1, known)
            row = Change("config", b"old", version)
            feed.results.append(Ok(Changes((row,), version, True)))
        feed.results += [Err(StoreUnavailableError("503"))] * 100
        self.follower = MirrorFollower(
            self.mirror,
            feed,
            self.timers,
            peer,
            lambda: ["peer"],
            random.Random(1),
            lambda: 3.0,
        )
        self.follower.start()
        self.run_for(3.0)

    def run_for(self, seconds):
        for _ in range(round(seconds / 0.05)):
            eventlet.sleep(0.001)
            self.timers.advance(0.05)

    def test_newest_table_of_a_router_without_eras_is_in_force(self):
        self.begin(OlderPeer(era=0))
        self.assertEqual(self.mirror.version, store_version(1, 55))
        self.assertEqual(self.mirror.rows["config"].value, b"new")
        self.assertEqual(self.mirror.rows["config"].version, store_version(1, 55))

    def test_store_is_known_to_answer_the_router_without_eras(self):
        self.begin(OlderPeer(era=0))
        self.assertIsNotNone(self.follower.answering_since())
        self.assertLess(self.follower.age_s(), BOUNDS.config_apply_s)

    def test_router_with_eras_is_not_asked_for_the_whole_table_again(self):
        self.begin(OlderPeer(era=1))
        self.assertEqual(self.mirror.rows["config"].value, b"new")
        self.run_for(3.0)
        plain = [each for each in self.peer.asked if each.after < store_version(1, 0)]
        self.assertLessEqual(len(plain), 1)

    def test_router_without_a_table_takes_none_whose_era_it_does_not_know(self):
        self.begin(OlderPeer(era=0), known=-1)
        self.assertLess(self.mirror.version, 0)
