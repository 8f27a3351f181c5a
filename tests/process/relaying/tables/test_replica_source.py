import unittest

import msgspec
from result import Ok

from boragedeck.connection.store import Change, Changes, Table
from boragedeck.connection.store_version import store_version
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.tables.replica_source import (
    HEARTBEATS_TO_LAPSE,
    RENEWAL_PERIOD_S,
    ReplicaSource,
)
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import ReplicaStage
from tests.process.relaying.placing.test_admission import replica

HEARTBEAT_S = 1.2
LAPSE_S = HEARTBEATS_TO_LAPSE * HEARTBEAT_S
READY, DRAINING = b"ready", b"draining"


class Follower:
    """Keeps the time at which the store last came back, as `MirrorFollower` does."""

    def __init__(self, mirror, timers):
        self.reconnected_at = timers.now() - 100.0
        self._timers = timers
        mirror.subscribe_restored(self._note_restored)

    def answering_since(self):
        """See `MirrorFollower.answering_since`."""
        return self.reconnected_at

    def _note_restored(self):
        self.reconnected_at = self._timers.now()


class RestoredReplicasTest(unittest.TestCase):
    """The store returns from a copy that is older than what this router knows."""

    def setUp(self):
        self.timers = ManualTimers()
        self.registry = ReplicaRegistry(self.timers)
        self.mirror = TableMirror(Table.REPLICAS)
        ReplicaSource(
            self.mirror,
            Follower(self.mirror, self.timers),
            self.registry,
            self.decode,
            self.timers,
            lambda: HEARTBEAT_S,
        )
        self.change(1, "one", READY, 10)
        self.change(1, "two", READY, 11)

    def decode(self, key, body):
        stage = ReplicaStage(body.decode())
        return Ok(msgspec.structs.replace(replica(key, born_ms=5), stage=stage))

    def change(self, era, key, value, number):
        version = store_version(era, number)
        self.mirror.apply(Changes((Change(key, value, version),), version))

    def restore(self, number, **values):
        """Return from a copy, with the number of each row after its value."""
        rows = tuple(
            Change(key, value, store_version(2, row_number))
            for key, (value, row_number) in values.items()
        )
        self.mirror.apply(Changes(rows, store_version(2, number), True))

    def takes_work(self, name):
        state = self.registry.get(name)
        return state is not None and state.takes_work

    def test_replica_that_drains_stays_so_though_the_copy_says_ready(self):
        self.change(1, "one", DRAINING, 20)
        self.restore(12, one=(READY, 10), two=(READY, 11))
        self.assertFalse(self.takes_work("one"))
        self.timers.advance(2 * LAPSE_S)
        self.assertFalse(self.takes_work("one"))

    def test_replica_that_drained_and_left_does_not_come_back_with_the_copy(self):
        self.change(1, "one", DRAINING, 20)
        self.change(1, "one", None, 21)
        self.restore(12, one=(READY, 10), two=(READY, 11))
        self.timers.advance(2 * LAPSE_S)
        self.assertFalse(self.takes_work("one"))

    def test_replica_that_left_does_not_come_back_with_the_copy(self):
        self.change(1, "one", None, 20)
        self.restore(12, one=(READY, 10), two=(READY, 11))
        self.assertIsNone(self.registry.get("one"))
        self.timers.advance(0.5 * LAPSE_S)
        self.change(2, "one", None, 14)
        self.timers.advance(2 * LAPSE_S)
        self.assertIsNone(self.registry.get("one"))

    def test_replica_that_lapsed_and_lives_is_used_once_others_would_have_lapsed(self):
        self.change(1, "one", None, 20)
        self.restore(12, one=(READY, 10), two=(READY, 11))
        self.timers.advance(LAPSE_S + 0.1)
        self.assertTrue(self.takes_work("one"))

    def test_replica_that_lapsed_before_the_return_is_used_when_it_renews_later(self):
        self.change(1, "one", None, 20)
        self.restore(12, two=(READY, 11))
        self.timers.advance(LAPSE_S + 0.1)
        self.change(2, "one", READY, 13)
        self.assertTrue(self.takes_work("one"))

    def test_replica_missing_in_the_copy_is_kept_until_it_can_have_renewed(self):
        self.change(1, "new", READY, 20)
        self.restore(12, one=(READY, 10), two=(READY, 11))
        self.assertTrue(self.takes_work("new"))
        self.timers.advance(1.0)
        self.change(2, "new", READY, 14)
        self.timers.advance(RENEWAL_PERIOD_S)
        self.assertTrue(self.takes_work("new"))

    def test_replica_missing_in_the_copy_that_does_not_renew_is_removed(self):
        self.change(1, "new", READY, 20)
        self.restore(12, one=(READY, 10), two=(READY, 11))
        self.timers.advance(RENEWAL_PERIOD_S + 0.1)
        self.assertIsNone(self.registry.get("new"))

    def test_replica_that_drains_after_the_return_gets_nothing_more(self):
        self.change(1, "two", READY, 30)
        self.restore(12, one=(READY, 10), two=(READY, 11))
        self.change(2, "two", DRAINING, 13)
        self.assertFalse(self.takes_work("two"))
