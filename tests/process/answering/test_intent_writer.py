import unittest

import eventlet

from boragedeck.connection.store import ABSENT, Put, Table
from boragedeck.exceptions import (
    StoreConflictError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from boragedeck.process.answering.intent_writer import GroupLimits, IntentWriter
from boragedeck.process.placing.group_pacing import (
    MAX_BURST_TRANSACTIONS,
    STORE_TRANSACTIONS_PER_S,
)
from boragedeck.process.store_breaker import StoreBreaker
from boragedeck.process.timers import ManualTimers
from standins.memory import Faults, MemoryPlatform


class IntentWriterTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.store = MemoryPlatform(sleep=self.timers.sleep)
        self.breaker = StoreBreaker(self.store, self.timers)
        self.writer = self.new_writer()

    def new_writer(self, routers=9, **limits):
        return IntentWriter(
            self.store,
            self.timers,
            self.breaker,
            lambda: routers,
            GroupLimits(**limits),
        )

    def write(self, key, *, value=None, expect=ABSENT, wait_s=3.0, **options):
        put = Put(Table.INTENTS, key, value or key.encode(), expect)
        deadline = self.timers.now() + wait_s
        return eventlet.spawn(self.writer.write, put, deadline, **options)

    def test_a_conflict_of_some_rows_does_not_fail_the_others(self):
        for conflicts in (1, 3):
            with self.subTest(conflicts=conflicts):
                for number in range(conflicts):
                    taken = Put(Table.INTENTS, f"{conflicts}-{number}", b"taken")
                    self.store.commit([taken])
                self.store.calls.clear()
                threads = [self.write(f"{conflicts}-{number}") for number in range(50)]
                self.timers.advance(1.0)
                results = [thread.wait() for thread in threads]
                failed = [result.err() for result in results if result.is_err()]
                self.assertEqual(len(failed), conflicts)
                self.assertIsInstance(failed[0], StoreConflictError)
                # A burst of single rows, and three attempts to commit the group.
                self.assertLessEqual(
                    self.store.calls["commit"], MAX_BURST_TRANSACTIONS + 1 + 3
                )

    def test_a_lost_answer_or_request_is_resolved(self):
        for faults in (Faults(lose_answers=1), Faults(lose_requests=2)):
            with self.subTest(faults=faults):
                self.store.faults = faults
                threads = [self.write(f"{id(faults)}-{n}") for n in range(10)]
                self.timers.advance(1.0)
                self.assertEqual([thread.wait().ok() for thread in threads], [1] * 10)

    def test_conflict_after_an_unknown_outcome_does_not_fail_the_other_row(self):
        self.store.faults = Faults(lose_requests=1)
        # Background rows wait, so they share a transaction.
        threads = [self.write(key, is_background=True) for key in "ab"]
        self.timers.advance(0.27)
        self.assertEqual(self.store.calls["commit"], 1)
        self.store.commit([Put(Table.INTENTS, "a", b"other")])
        self.timers.advance(1.0)
        results = [thread.wait() for thread in threads]
        self.assertIsInstance(results[0].err(), StoreConflictError)
        self.assertEqual(results[1].ok(), 1)

    def test_a_dead_store_fails_at_once_and_a_hanging_one_by_the_deadline(self):
        self.store.faults = Faults(down=True)
        down = self.write("a")
        self.timers.advance(0.0)
        self.assertIsInstance(down.wait().err(), StoreUnavailableError)
        self.store.faults = Faults(delay_s=30.0)
        hanging = self.write("b", wait_s=2.0)
        self.timers.advance(2.0)
        self.assertIsInstance(hanging.wait().err(), StoreUnknownOutcomeError)

    def test_a_row_that_is_not_sent_in_time_is_never_written(self):
        self.writer = self.new_writer(max_rows=1, max_in_flight=1, max_waiting=2)
        self.store.faults = Faults(delay_s=5.0)
        threads = [self.write(key, wait_s=1.0) for key in "abcd"]
        self.timers.advance(60.0)
        error_types = [type(thread.wait().err()) for thread in threads]
        self.assertIs(error_types[0], StoreUnknownOutcomeError)
        self.assertEqual(error_types[1:], [StoreUnavailableError] * 3)
        self.store.faults = Faults()
        rows = self.store.scan(Table.INTENTS).ok()
        self.assertEqual([row.key for row in rows], ["a"])

    def test_transactions_stay_within_this_routers_share(self):
        threads = []
        for number in range(600):
            threads.append(self.write(str(number)))
            self.timers.advance(0.01)
        self.timers.advance(1.0)
        self.assertTrue(all(thread.wait().is_ok() for thread in threads))
        self.assertLess(
            self.store.calls["commit"], 7.0 * STORE_TRANSACTIONS_PER_S / 9 + 5
        )

    def test_background_rows_wait_for_a_shared_transaction(self):
        background_write = self.write("outcome", is_background=True)
        self.timers.advance(0.1)
        self.assertEqual(self.store.calls["commit"], 0)
        self.write("intent")
        self.timers.advance(0.0)
        self.assertTrue(background_write.wait().is_ok())
        self.assertEqual(self.store.calls["commit"], 1)
