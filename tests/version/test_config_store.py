import unittest

import eventlet
from result import Err

from boragedeck.connection.store import Table
from boragedeck.exceptions import (
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from boragedeck.version import config_store
from boragedeck.version.config_store import ConfigConflictError, pack, unpack
from boragedeck.version.tables import Config
from tests.version.fleet import Fleet, config


class ConfigStoreTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(0)
        self.store = self.fleet.store
        self.faults = self.fleet.platform.faults

    def read(self):
        return self.store.read().unwrap().config

    def apply_over(self, seconds, cfg, apply_id="a"):
        """Apply a configuration while advancing the clock by `seconds`."""
        base = self.store.read().unwrap()
        running = eventlet.spawn(
            self.store.apply, base, cfg, author="ana", apply_id=apply_id
        )
        for _ in range(int(seconds * 10)):
            self.fleet.timers.advance(0.1)
        self.assertTrue(running.dead)
        return running.wait()

    def test_nothing_accepted_yet(self):
        self.assertEqual(self.read(), Config())
        self.assertIsNone(self.store.read_revision().unwrap())
        self.assertEqual(self.store.changes(0, 10).unwrap(), [])

    def test_accepted_config_is_read_back_with_its_history(self):
        change = self.fleet.apply(config("v1"), author="ana").unwrap()
        self.fleet.apply(config("v2"), author="bor").unwrap()
        self.assertEqual(self.read().route("r0").version, "v2")
        self.assertEqual(self.store.read_revision().unwrap().revision, 2)
        first, second = self.store.changes(0, 10).unwrap()
        self.assertEqual(first, change)
        self.assertEqual(second.author, "bor")
        self.assertEqual(
            second.lines,
            (
                'route r0: version "v1" -> "v2"',
                'pool p: upstream e0: version "v1" -> "v2"',
            ),
        )

    def test_racing_operators_get_a_conflict_with_the_other_change(self):
        base = self.store.read().unwrap()
        self.fleet.apply(config("v1"), author="bor").unwrap()
        result = self.store.apply(base, config("v2"), author="ana", apply_id="x")
        error = result.err()
        self.assertIsInstance(error, ConfigConflictError)
        self.assertEqual([change.author for change in error.changes], ["bor"])
        self.assertEqual(self.read().route("r0").version, "v1")

    def test_change_is_accepted_when_the_answer_is_lost(self):
        self.faults.lose_answers = 1
        self.assertEqual(self.apply_over(1, config("v1")).unwrap().revision, 1)
        self.assertEqual(len(self.store.changes(0, 10).unwrap()), 1)

    def test_lost_request_is_sent_again(self):
        self.faults.lose_requests = 3
        self.assertEqual(self.apply_over(5, config("v1")).unwrap().revision, 1)
        self.assertEqual(self.read().revision, 1)

    def test_lost_answer_and_a_racing_operator(self):
        self.faults.lose_answers = 1
        original = self.fleet.platform.commit

        def commit(writes):
            result = original(writes)
            self.fleet.platform.commit = original
            self.fleet.apply(config("v9"), author="bor").unwrap()
            return result

        base = self.store.read().unwrap()
        self.fleet.platform.commit = commit
        result = self.store.apply(base, config("v1"), author="ana", apply_id="x")
        self.assertEqual(result.unwrap().revision, 1)
        self.assertEqual(self.read().revision, 2)

    def test_lost_answer_and_then_a_store_that_is_down_for_a_while(self):
        platform = self.fleet.platform
        original = platform.commit

        def commit(writes):
            result = original(writes)
            self.faults.down = True
            return result

        self.faults.lose_answers = 1
        platform.commit = commit
        self.fleet.timers.call_later(3.0, lambda: setattr(platform, "commit", original))
        self.fleet.timers.call_later(5.0, lambda: setattr(self.faults, "down", False))
        self.assertEqual(self.apply_over(9, config("v1")).unwrap().revision, 1)

    def test_lost_answer_and_lost_read(self):
        platform = self.fleet.platform
        original = platform.get

        def get(table, key):
            if table is Table.HISTORY:
                platform.get = original
                return Err(StoreUnavailableError("once"))
            return original(table, key)

        self.faults.lose_answers = 1
        platform.get = get
        self.assertEqual(self.apply_over(5, config("v1")).unwrap().revision, 1)

    def test_unavailable_store_and_unknown_outcome_are_distinguished(self):
        self.faults.down = True
        result = self.store.apply(
            config_store.StoredConfig(), config("v1"), author="ana", apply_id="x"
        )
        self.assertIsInstance(result.err(), StoreUnavailableError)
        self.faults.down = False
        self.faults.lose_requests = 1_000
        result = self.apply_over(60, config("v1"), apply_id="find-me")
        self.assertIsInstance(result.err(), StoreUnknownOutcomeError)
        self.assertIn("find-me", str(result.err()))

    def test_history_is_bounded(self):
        original_limit, config_store.MAX_HISTORY_ROWS = config_store.MAX_HISTORY_ROWS, 3
        self.addCleanup(setattr, config_store, "MAX_HISTORY_ROWS", original_limit)
        for number in range(8):
            self.fleet.apply(config(f"v{number}")).unwrap()
        rows = self.fleet.platform.scan(Table.HISTORY).unwrap()
        self.assertEqual([int(row.key) for row in rows], [6, 7, 8])

    def test_large_change_has_no_delta_and_bounded_lines(self):
        change = self.fleet.apply(config(*(f"v{i}" for i in range(1000)))).unwrap()
        self.assertIsNone(change.delta)
        self.assertEqual(len(change.lines), config_store.MAX_CHANGE_LINES + 1)
        self.assertIn("more", change.lines[-1])

    def test_unpack_reverses_pack(self):
        for cfg in (config("v1"), config(*(f"v{i}" for i in range(300)))):
            self.assertEqual(unpack(pack(cfg), Config), cfg)
