import unittest

import eventlet
from eventlet import wsgi

from boragedeck.connection.peer import Address
from boragedeck.connection.store import Delete, Put, Table
from boragedeck.exceptions import (
    StoreConflictError,
    StoreHistoryLostError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from boragedeck.platform import store as store_module
from boragedeck.platform.store import PlatformStore
from standins.rows import RowFaults, RowStore


class PlatformStoreTest(unittest.TestCase):
    def setUp(self):
        self.rows = RowStore()
        listener = eventlet.listen(("127.0.0.1", 0))
        self.server = eventlet.spawn(
            wsgi.server, listener, self.rows.app, log_output=False
        )
        self.store = PlatformStore(Address(*listener.getsockname()))
        self.addCleanup(listener.close)
        self.addCleanup(self.server.kill)
        self.addCleanup(self.store.close)

    def test_commit_checks_expected_versions(self):
        [ver] = self.store.commit([Put(Table.LEASES, "k", b"1", 0)]).ok()
        refused = self.store.commit([Put(Table.LEASES, "k", b"2", 0)])
        self.assertIsInstance(refused.err(), StoreConflictError)
        self.assertTrue(self.store.commit([Put(Table.LEASES, "k", b"3", ver)]).is_ok())
        self.assertEqual(self.store.get(Table.LEASES, "k").ok().value, b"3")
        self.store.commit([Delete(Table.LEASES, "k")])
        self.assertIsNone(self.store.get(Table.LEASES, "k").ok())

    def test_get_matches_the_whole_key(self):
        self.store.commit([Put(Table.LEASES, "key", b"1")])
        self.assertIsNone(self.store.get(Table.LEASES, "k").ok())

    def test_scan_continues_after_a_key(self):
        self.store.commit([Put(Table.MEMBERS, key, b"x") for key in "abc"])
        rows = self.store.scan(Table.MEMBERS, after="a").ok()
        self.assertEqual([row.key for row in rows], ["b", "c"])

    def test_snapshot_of_several_pages_is_complete(self):
        for number in range(store_module.PAGE_ROWS + 3):
            self.rows.put("servers", f"i-{number:04}", b"x")
        changes = self.store.snapshot(Table.REPLICAS).ok()
        self.assertEqual(len(changes.rows), store_module.PAGE_ROWS + 3)
        self.assertTrue(changes.is_snapshot)

    def test_changes_come_in_order_with_deleted_rows(self):
        self.rows.put("op", "config", b"1")
        ver = self.store.snapshot(Table.ROUTING).ok().version
        self.rows.put("other", "x", b"1")
        self.rows.put("op", "config", b"2")
        self.rows.drop("op", "config")
        changes = self.store.changes(Table.ROUTING, ver, 0.1).ok()
        self.assertEqual([row.value for row in changes.rows], [b"2", None])
        self.assertEqual(changes.version, ver + 3)

    def test_wait_ends_with_the_first_change(self):
        self.rows.put("op", "config", b"1")
        ver = self.store.snapshot(Table.ROUTING).ok().version
        eventlet.spawn_after(0.05, self.rows.put, "op", "config", b"2")
        changes = self.store.changes(Table.ROUTING, ver, 3.0).ok()
        self.assertEqual(len(changes.rows), 1)

    def test_lost_history_is_an_error(self):
        self.rows.put("op", "config", b"1")
        self.rows.discard_history()
        result = self.store.changes(Table.ROUTING, 0, 0.1)
        self.assertIsInstance(result.err(), StoreHistoryLostError)

    def test_refused_commit_is_an_unavailable_error(self):
        for status in (429, 503):
            self.rows.faults = RowFaults(status=status)
            result = self.store.commit([Put(Table.LEASES, "k", b"1")])
            self.assertIsInstance(result.err(), StoreUnavailableError)

    def test_lost_answer_is_an_unknown_outcome(self):
        self.rows.faults = RowFaults(loses_answers=True)
        result = self.store.commit([Put(Table.LEASES, "k", b"1")])
        self.assertIsInstance(result.err(), StoreUnknownOutcomeError)
        self.assertEqual(self.rows.value("leases", "k"), b"1")

    def test_call_to_a_silent_store_times_out(self):
        self.rows.faults = RowFaults(is_silent=True)
        with eventlet.Timeout(2.0):
            result = self.store.changes(Table.ROUTING, 0, 0.1)
        self.rows.faults = RowFaults()
        self.assertIsInstance(result.err(), StoreUnknownOutcomeError)


class RestoredStoreTest(PlatformStoreTest):
    """The store returns from an older copy; all other promises hold after it, too."""

    def setUp(self):
        super().setUp()
        self.rows.put("op", "config", b"0")
        self.rows.restore(self.rows.ver)

    def test_feed_from_before_the_return_is_refused_though_its_version_exists(self):
        ver = self.store.snapshot(Table.ROUTING).ok().version
        copy = self.rows.ver
        self.rows.put("op", "config", b"1")
        self.rows.restore(copy)
        self.rows.put("op", "config", b"2")
        result = self.store.changes(Table.ROUTING, ver, 0.0)
        self.assertIsInstance(result.err(), StoreHistoryLostError)
        calls = len(self.rows.calls)
        again = self.store.changes(Table.ROUTING, ver, 0.0)
        self.assertIsInstance(again.err(), StoreHistoryLostError)
        self.assertEqual(len(self.rows.calls), calls)

    def test_versions_after_the_return_are_greater_than_all_before(self):
        copy = self.rows.ver
        for number in range(9):
            self.rows.put("op", "config", b"%d" % number)
        before = self.store.snapshot(Table.ROUTING).ok()
        self.rows.restore(copy)
        after = self.store.snapshot(Table.ROUTING).ok()
        self.assertGreater(after.version, before.version)
        self.assertGreater(after.rows[0].version, before.version)

    def test_condition_from_before_the_return_does_not_match_a_row_after_it(self):
        copy = self.rows.ver
        [ver] = self.store.commit([Put(Table.LEASES, "k", b"before")]).ok()
        self.rows.restore(copy)
        self.rows.put("leases", "k", b"after")
        refused = self.store.commit([Put(Table.LEASES, "k", b"late", ver)])
        self.assertTrue(refused.is_err())
        again = self.store.commit([Put(Table.LEASES, "k", b"late", ver)])
        self.assertIsInstance(again.err(), StoreConflictError)

    def test_write_whose_condition_held_in_another_era_counts_as_unknown(self):
        copy = self.rows.ver
        [ver] = self.store.commit([Put(Table.LEASES, "k", b"before")]).ok()
        self.rows.restore(copy)
        self.rows.put("leases", "k", b"other writer")
        result = self.store.commit([Delete(Table.LEASES, "k", ver)])
        self.assertIsInstance(result.err(), StoreUnknownOutcomeError)

    def test_snapshot_that_spans_a_return_is_refused(self):
        for number in range(store_module.PAGE_ROWS + 3):
            self.rows.put("servers", f"i-{number:04}", b"x")
        read_page = self.store._read_page

        def read_and_restore(*args):
            page = read_page(*args)
            self.rows.restore(self.rows.ver)
            return page

        self.store._read_page = read_and_restore
        result = self.store.snapshot(Table.REPLICAS)
        self.assertIsInstance(result.err(), StoreHistoryLostError)
