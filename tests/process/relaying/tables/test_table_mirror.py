import unittest

import eventlet
from hypothesis import given
from hypothesis import strategies as st

from boragedeck.connection.store import Change, Changes, Table
from boragedeck.process.relaying.tables import table_mirror
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import ManualTimers


class TableMirrorTest(unittest.TestCase):
    @given(st.permutations(range(1, 6)))
    def test_order_of_arrival_does_not_matter_for_one_row(self, versions):
        mirror = TableMirror(Table.ROUTING)
        for version in versions:
            row = Change("k", b"%d" % version, version)
            mirror.apply(Changes((row,), version))
        self.assertEqual(mirror.rows["k"].value, b"5")
        self.assertEqual(mirror.version, 5)

    def test_old_snapshot_changes_nothing(self):
        mirror = TableMirror(Table.ROUTING)
        mirror.apply(Changes((Change("k", b"new", 9),), 9))
        mirror.apply(Changes((), 5, True))
        self.assertIn("k", mirror.rows)

    def test_snapshot_deletes_missing_rows(self):
        mirror = TableMirror(Table.ROUTING)
        mirror.apply(Changes((Change("k", b"x", 1),), 1))
        deletions = []
        mirror.subscribe(deletions.append)
        mirror.apply(Changes((), 5, True))
        self.assertEqual(deletions, [Change("k", None, 5)])


def row(key, version, value=b"x"):
    return Change(key, value, version)


class SinceTest(unittest.TestCase):
    """The changes since a version bring another router's mirror to the same rows."""

    def setUp(self):
        self.mirror = TableMirror(Table.REPLICAS)
        self.mirror.apply(Changes((row("a", 1), row("b", 2)), 5, True))

    def test_changes_and_deletions_are_returned_in_version_order(self):
        self.mirror.apply(Changes((row("c", 6), row("a", 7, None)), 9))
        update = self.mirror.since(5)
        self.assertFalse(update.is_snapshot)
        self.assertEqual(update.rows, (row("c", 6), row("a", 7, None)))
        self.assertEqual(update.version, 9)

    def test_version_before_the_first_snapshot_gets_all_rows(self):
        self.mirror.apply(Changes((row("a", 7, None),), 9))
        self.assertTrue(self.mirror.since(4).is_snapshot)

    def test_all_rows_are_returned_if_a_deletion_is_forgotten(self):
        for number in range(table_mirror.MAX_KNOWN_DELETIONS + 1):
            version = 10 + 2 * number
            self.mirror.apply(Changes((row(f"k{number}", version),), version))
            deletion = row(f"k{number}", version + 1, None)
            self.mirror.apply(Changes((deletion,), version + 1))
        self.assertTrue(self.mirror.since(10).is_snapshot)
        self.assertFalse(self.mirror.since(11).is_snapshot)

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30))
    def test_follower_at_any_version_ends_with_the_same_rows(self, steps):
        mirror, follower = TableMirror(Table.REPLICAS), TableMirror(Table.REPLICAS)
        mirror.apply(Changes((row("a", 1),), 1, True))
        for number, (key, is_deleted) in enumerate(steps):
            value = None if is_deleted else b"%d" % number
            mirror.apply(Changes((row(key, number + 2, value),), number + 2))
            if number % 3 == 0:
                follower.apply(mirror.since(follower.version))
        follower.apply(mirror.since(follower.version))
        self.assertEqual(follower.rows, mirror.rows)

    def test_wait_ends_with_the_first_change(self):
        timers, ended = ManualTimers(), []

        def wait():
            self.mirror.wait_for_change(timers, 5, 10.0)
            ended.append(timers.now())

        eventlet.spawn_n(wait)
        eventlet.sleep(0)
        timers.advance(1.0)
        self.assertEqual(ended, [])
        self.mirror.apply(Changes((row("c", 6),), 6))
        eventlet.sleep(0.01)
        self.assertEqual(len(ended), 1)

    def test_wait_ends_after_its_timeout(self):
        timers, ended = ManualTimers(), []
        eventlet.spawn_n(
            lambda: ended.append(self.mirror.wait_for_change(timers, 5, 2.0))
        )
        eventlet.sleep(0)
        timers.advance(2.1)
        eventlet.sleep(0)
        self.assertEqual(len(ended), 1)


class WaitTest(unittest.TestCase):
    """Another router waits for the next change."""

    def setUp(self):
        self.timers = ManualTimers()
        self.mirror = TableMirror(Table.REPLICAS)
        # The second page of the snapshot is newer than its version.
        self.mirror.apply(Changes((row("a", 1), row("b", 7)), 5, True))
        self.ended = []

    def wait(self, after):
        self.mirror.wait_for_change(self.timers, after, 2.0)
        self.ended.append(self.timers.now())

    def test_router_waits_though_a_row_is_newer_than_the_table(self):
        started_at = self.timers.now()
        eventlet.spawn_n(self.wait, 5)
        eventlet.sleep(0.0)
        self.assertEqual(self.ended, [])
        self.timers.advance(2.0)
        eventlet.sleep(0.0)
        self.assertEqual(self.ended, [started_at + 2.0])

    def test_wait_ends_once_the_newer_row_may_be_told(self):
        eventlet.spawn_n(self.wait, 5)
        eventlet.sleep(0.0)
        self.mirror.apply(Changes((row("b", 7),), 7))
        for _ in range(3):
            eventlet.sleep(0.0)
        self.assertEqual(len(self.ended), 1)
