import unittest

import msgspec

from boragedeck.connection.messages import Message
from boragedeck.connection.store import Table
from boragedeck.process.relaying.loads.load_messages import (
    FetchLoads,
    LoadSum,
    LoadUpdate,
    PoolLoads,
)
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.relaying.speeds.speed_messages import RunSpeed, SpeedSample

LOADS = {"e1": Load(1, 100, 200)}
VERSIONS = {Table.ROUTING: 3}
SAMPLE = SpeedSample("r1", 3, "e1", 7, 0.5, 1e-4, 0.03)


class OldLoadUpdate(Message, frozen=True, tag="LoadUpdate"):
    """The message as builds up to ac4a82f have it."""

    router: str
    number: int
    loads: dict[str, Load]
    newest_row_versions: dict[Table, int]


class OldLoadSum(Message, frozen=True, tag="LoadSum"):
    """The message as builds up to ac4a82f have it."""

    router: str
    number: int
    loads: dict[str, Load]
    newest_row_versions: dict[Table, int]
    is_full: bool


class OldFetchLoads(Message, frozen=True, tag="FetchLoads"):
    """The message as builds up to ac4a82f have it."""

    router: str
    pool: str


class OldPoolLoads(Message, frozen=True, tag="PoolLoads"):
    """The message as builds up to ac4a82f have it."""

    loads: dict[str, Load]


PAIRS = (
    (
        OldLoadUpdate("r1", 3, LOADS, VERSIONS),
        LoadUpdate("r1", 3, LOADS, VERSIONS, (SAMPLE,)),
    ),
    (
        OldLoadSum("r1", 3, LOADS, VERSIONS, True),
        LoadSum("r1", 3, LOADS, VERSIONS, True, (SAMPLE,)),
    ),
    (OldFetchLoads("r1", "p"), FetchLoads("r1", "p", True)),
    (OldPoolLoads(LOADS), PoolLoads(LOADS, (RunSpeed("e1", 7, 0.5, 4, 1.0),))),
)


def decoded(message, kind):
    """Return what a build reads that has another definition of a message."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=kind)


class OlderBuildsTest(unittest.TestCase):
    def test_messages_of_older_builds_have_no_speeds(self):
        for old, new in PAIRS:
            read = decoded(old, type(new))
            self.assertFalse(msgspec.structs.astuple(read)[-1])
            self.assertEqual(
                msgspec.structs.astuple(read)[:-1], msgspec.structs.astuple(old)
            )

    def test_older_builds_skip_the_speeds(self):
        for old, new in PAIRS:
            self.assertEqual(decoded(new, type(old)), old)

    def test_messages_survive_their_encoding(self):
        for _, new in PAIRS:
            self.assertEqual(decoded(new, type(new)), new)
