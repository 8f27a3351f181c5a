import random
import unittest
from unittest.mock import patch

import eventlet
from result import Err, Ok

from boragedeck.connection.store import SNAPSHOT_TIMEOUT_S, Change, Changes, Table
from boragedeck.exceptions import (
    StoreHistoryLostError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from boragedeck.process.relaying.tables import mirror_follower
from boragedeck.process.relaying.tables.mirror_follower import (
    BATCH_DELAY_S,
    MirrorFollower,
)
from boragedeck.process.relaying.tables.mirror_messages import (
    FetchTable,
    TablePart,
    pack,
)
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import ManualTimers


class Feed:
    def __init__(self):
        self.results = []
        self.calls = []
        self.timeouts_s = []

    def snapshot(self, table, timeout_s=SNAPSHOT_TIMEOUT_S):
        self.calls.append("snapshot")
        self.timeouts_s.append(timeout_s)
        return self._next()

    def changes(self, table, after, wait_s, slack_s=0.5):
        self.calls.append(after)
        return self._next()

    def _next(self):
        while not self.results:
            eventlet.sleep(0.001)
        return self.results.pop(0)


class Links:
    def __init__(self):
        self.asked = []
        self.answer = TablePart()

    def link(self, address):
        return self

    def call(self, message, answer_type, timeout_s):
        self.asked.append(message)
        return Ok(self.answer)


class MirrorFollowerTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.feed, self.links = Feed(), Links()
        self.mirror = TableMirror(Table.ROUTING)
        self.follower = MirrorFollower(
            self.mirror,
            self.feed,
            self.timers,
            self.links,
            lambda: ["peer"],
            random.Random(1),
            lambda: 3.0,
        )

    def run_with_results(self, *results):
        self.feed.results += results
        if not self.feed.calls:
            self.follower.start()
        for _ in results:
            eventlet.sleep(0.02)
            self.timers.advance(BATCH_DELAY_S)
        eventlet.sleep(0.02)

    def test_changes_are_read_from_the_snapshot_version(self):
        self.run_with_results(
            Ok(Changes((Change("k", b"1", 3),), 7, True)),
            Ok(Changes((Change("k", b"2", 8),), 8)),
        )
        self.assertEqual(self.feed.calls, ["snapshot", 7, 8])
        self.assertEqual(self.mirror.rows["k"].value, b"2")
        self.assertTrue(self.follower.is_connected)

    def test_lost_history_leads_to_a_new_snapshot(self):
        self.run_with_results(
            Ok(Changes((), 7, True)), Err(StoreHistoryLostError("410"))
        )
        self.assertEqual(self.feed.calls, ["snapshot", 7, "snapshot"])

    def test_first_reads_do_not_wait_long_for_a_silent_store(self):
        silent = [Err(StoreUnknownOutcomeError("no answer"))] * 6
        started_at = self.timers.now()
        with patch.object(mirror_follower, "_log") as log:
            self.run_with_results(*silent, Ok(Changes((), 7, True)))
        texts = [call.args[0] for call in log.write.call_args_list]
        self.assertEqual(texts, ["Store lost.", "Store answers."])
        self.assertEqual(self.feed.calls[-1], 7)
        waits_s = self.feed.timeouts_s
        self.assertEqual(len(waits_s), 7)
        # The store's return is detected within a second, and a store that takes most of
        # a second to answer is read, too.
        self.assertLessEqual(max(waits_s), 1.0)
        self.assertGreaterEqual(max(waits_s[:3]), 0.8)
        self.assertLessEqual(self.timers.now() - started_at, 7 * BATCH_DELAY_S + 0.01)

    def test_known_table_is_reread_with_the_default_timeout(self):
        self.run_with_results(
            Ok(Changes((), 7, True)), Err(StoreHistoryLostError("410"))
        )
        self.assertEqual(self.feed.timeouts_s[-1], SNAPSHOT_TIMEOUT_S)

    def test_other_routers_are_asked_while_the_store_is_unavailable(self):
        self.links.answer = TablePart(
            pack(Changes((Change("k", b"1", 5),), 6, True)), counts_eras=True
        )
        self.run_with_results(Err(StoreUnavailableError("503")))
        self.timers.advance(0.5)
        self.assertEqual(
            self.links.asked[0], FetchTable(Table.ROUTING, -1, counts_eras=True)
        )
        self.assertEqual(self.mirror.rows["k"].value, b"1")
        self.assertEqual(self.mirror.version, 6)

    def test_routers_without_newer_rows_do_not_hide_one_that_is_ahead(self):
        self.run_with_results(Ok(Changes((), 7, True)))
        self.links.answer = TablePart(
            pack(Changes((Change("k", b"1", 9),), 9, True)), counts_eras=True
        )
        for _ in range(5):
            self.follower.note_peer_version("peer", 9)
            self.follower.note_peer_version("other", 7)
            self.timers.advance(0.1)
        eventlet.sleep(0.01)
        self.assertEqual(self.mirror.rows["k"].value, b"1")

    def test_router_that_stays_ahead_is_asked_though_the_store_answers(self):
        self.run_with_results(Ok(Changes((), 7, True)))
        self.links.answer = TablePart(
            pack(Changes((Change("k", b"1", 9),), 9, True)), counts_eras=True
        )
        self.follower.note_peer_version("peer", 9)
        eventlet.sleep(0)
        self.assertEqual(self.links.asked, [])
        self.timers.advance(0.4)
        self.follower.note_peer_version("peer", 9)
        eventlet.sleep(0.01)
        self.assertEqual(self.mirror.rows["k"].value, b"1")
