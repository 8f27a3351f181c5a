import unittest

from boragedeck.connection.store import Put, Table
from boragedeck.ids import RouterId
from boragedeck.process.answering.intent_pruner import (
    KEY_PREFIXES,
    RETENTION_S,
    WALK_INTERVAL_S,
    IntentPruner,
)
from boragedeck.process.store_breaker import StoreBreaker
from boragedeck.process.timers import ManualTimers
from boragedeck.request.intents import IntentRow, encode_row
from standins.memory import MemoryPlatform
from tests.process.leasing.test_lease_manager import FakeMembership, member


class IntentPrunerTest(unittest.TestCase):
    def test_expired_rows_are_deleted_and_recent_rows_stay(self):
        timers = ManualTimers()
        store = MemoryPlatform(sleep=timers.sleep)
        all_members = [member(number) for number in range(3)]
        for own in all_members:
            breaker = StoreBreaker(store, timers)
            membership = FakeMembership(own, all_members)
            IntentPruner(store, breaker, timers, membership).start()

        def write(prefix, age_s):
            created = timers.wall() - age_s
            row = IntentRow("attempt", RouterId("r"), "hash", created)
            key = f"{prefix}-{age_s}"
            store.commit([Put(Table.INTENTS, key, encode_row(row))])

        for prefix in KEY_PREFIXES:
            write(prefix, RETENTION_S + 7200.0)
            write(prefix, RETENTION_S / 4)
        timers.advance(WALK_INTERVAL_S + 600.0)
        remaining_ages = {
            row.key.split("-")[1] for row in store.scan(Table.INTENTS).ok()
        }
        self.assertEqual(remaining_ages, {str(RETENTION_S / 4)})
        self.assertEqual(len(store.scan(Table.INTENTS).ok()), len(KEY_PREFIXES))
