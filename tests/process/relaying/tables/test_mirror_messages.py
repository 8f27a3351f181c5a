import unittest

import msgspec

from boragedeck.connection.store import Change, Changes, Table
from boragedeck.process.relaying.tables.answering_period import AnsweringPeriod
from boragedeck.process.relaying.tables.mirror_messages import FetchTable, TablePart
from boragedeck.process.relaying.tables.mirror_server import serve_mirrors
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import ManualTimers

ROUTING = Table.ROUTING
ROUTES = b'{"name": "route", "host": "here.example", "prefix": "/r/"},' * 500


class Server:
    def register(self, kind, handler):
        self.handler = handler


class State:
    """The state of a mirror that the store answers."""

    is_connected = True

    def answering_since(self):
        return None

    def answering_period(self):
        return AnsweringPeriod()

    def age_s(self):
        return 0.25


class MirrorMessagesTest(unittest.TestCase):
    def setUp(self):
        self.mirror = TableMirror(ROUTING)
        self.server, self.is_current = Server(), True
        serve_mirrors(
            self.server,
            [self.mirror],
            ManualTimers(),
            lambda table: self.is_current,
            lambda table: State(),
        )
        self.mirror.apply(Changes((Change("k", ROUTES, 6),), 6, True))

    def fetch(self, after):
        body = msgspec.msgpack.encode(self.server.handler(FetchTable(ROUTING, after)))
        return body, msgspec.msgpack.decode(body, type=TablePart)

    def test_table_is_transferred_unchanged_and_compressed(self):
        body, part = self.fetch(-1)
        self.assertEqual(part.unpack(), self.mirror.snapshot())
        self.assertLess(len(body), len(ROUTES) / 10)

    def test_changes_since_a_version(self):
        self.mirror.apply(Changes((Change("l", b"2", 9),), 9))
        _, part = self.fetch(6)
        self.assertEqual(part.unpack(), Changes((Change("l", b"2", 9),), 9))
        _, part = self.fetch(9)
        self.assertIsNone(part.unpack())

    def test_cached_packing_does_not_hide_a_later_change(self):
        self.fetch(-1)
        self.mirror.apply(Changes((Change("k", b"new", 9),), 9))
        _, part = self.fetch(-1)
        self.assertEqual(part.unpack().rows[0].value, b"new")

    def test_corrupt_changes_are_an_error(self):
        for packed in (b"", b"junk", b"\x78\x9c"):
            with self.assertRaises(ValueError):
                TablePart(packed=packed).unpack()
