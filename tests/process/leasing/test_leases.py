import unittest

from boragedeck.connection.store import Put, Table
from boragedeck.exceptions import StoreConflictError, StoreUnknownOutcomeError
from boragedeck.ids import RouterId
from boragedeck.process.leasing.leases import TERM_S, LeaseLostError, LeaseTable
from boragedeck.process.timers import ManualTimers
from standins.memory import Faults, MemoryPlatform


class SkewedTimers:
    """Monotonic clock of another machine, with its own offset and rate."""

    def __init__(self, timers, offset_s, rate):
        self._timers = timers
        self._offset_s = offset_s
        self._rate = rate

    def now(self):
        return self._timers.now() * self._rate + self._offset_s


class LeaseTableTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.store = MemoryPlatform(sleep=self.timers.sleep)
        self.first = LeaseTable(self.store, self.timers, RouterId("r1"))
        skewed_timers = SkewedTimers(self.timers, offset_s=-5e5, rate=1.05)
        self.second = LeaseTable(self.store, skewed_timers, RouterId("r2"))

    def put(self, key, value, expect=None):
        return Put(Table.ROLLOUTS, key, value, expect)

    def rollout(self, key):
        row = self.store.get(Table.ROLLOUTS, key).ok()
        return None if row is None else row.value

    def take_over(self):
        self.assertIsNone(self.second.acquire("a").ok())
        self.timers.advance(TERM_S * 1.2)
        return self.second.acquire("a").ok()

    def test_a_lease_is_safe_for_its_part_of_the_term(self):
        lease = self.first.acquire("a").ok()
        self.assertTrue(lease.is_safe(TERM_S * 0.8))
        self.assertFalse(lease.is_safe(TERM_S * 0.95))
        self.timers.advance(TERM_S * 0.95)
        self.assertFalse(lease.is_safe())

    def test_a_renewed_lease_is_not_taken_over(self):
        lease = self.first.acquire("a").ok()
        for _ in range(20):
            self.assertIsNone(self.second.acquire("a").ok())
            self.timers.advance(TERM_S / 3)
            self.assertTrue(self.first.renew(lease).is_ok())

    def test_a_candidate_waits_from_its_own_first_observation(self):
        self.first.acquire("a")
        self.timers.advance(3600.0)
        self.assertIsNone(self.second.acquire("a").ok())

    def test_the_token_grows_with_each_change_of_holder(self):
        lease = self.first.acquire("a").ok()
        taken = self.take_over()
        self.assertEqual((lease.token, taken.token), (1, 2))
        self.second.release(taken)
        self.assertEqual(self.first.acquire("a").ok().token, 3)

    def test_a_paused_holder_writes_nothing_after_a_takeover(self):
        lease = self.first.acquire("a").ok()
        self.take_over()
        written = self.first.commit(lease, [self.put("x", b"stale")])
        self.assertIsInstance(written.err(), LeaseLostError)
        self.assertIsNone(self.rollout("x"))
        self.assertTrue(lease.is_lost)

    def test_a_conflict_of_the_writes_does_not_lose_the_lease(self):
        lease = self.first.acquire("a").ok()
        written = self.first.commit(lease, [self.put("x", b"1", expect=7)])
        self.assertIsInstance(written.err(), StoreConflictError)
        self.assertFalse(lease.is_lost)
        self.assertEqual(self.first.commit(lease, [self.put("x", b"1", 0)]).ok(), [1])

    def test_lost_answers_are_resolved(self):
        for lost in (1, 2):
            with self.subTest(lost=lost):
                name = f"lease-{lost}"
                self.store.faults = Faults(lose_answers=lost)
                lease = self.first.acquire(name).ok()
                self.store.faults = Faults(lose_answers=lost)
                written = self.first.commit(lease, [self.put(name, b"1", 0)])
                self.assertEqual(written.ok(), [1])
                self.assertTrue(self.first.renew(lease).is_ok())

    def test_a_write_of_unknown_outcome_is_fenced_off_by_the_next_renewal(self):
        lease = self.first.acquire("a").ok()
        fencing_write = self.first.fencing_write(lease)
        self.store.faults = Faults(lose_requests=3)
        written = self.first.commit(lease, [self.put("x", b"late")])
        self.assertIsInstance(written.err(), StoreUnknownOutcomeError)
        self.assertTrue(self.first.renew(lease).is_ok())
        late = self.store.commit([fencing_write, self.put("x", b"late")])
        self.assertIsInstance(late.err(), StoreConflictError)

    def test_an_acquisition_of_unknown_outcome_keeps_its_token_when_retried(self):
        self.store.faults = Faults(lose_answers=1, lose_requests=2)
        self.assertIsInstance(self.first.acquire("a").err(), StoreUnknownOutcomeError)
        self.store.faults = Faults()
        lease = self.first.acquire("a").ok()
        self.assertEqual(lease.token, 1)

    def test_no_holder_is_safe_while_the_store_is_down_for_an_hour(self):
        lease = self.first.acquire("a").ok()
        self.second.acquire("a")
        self.store.faults = Faults(down=True)
        for _ in range(360):
            self.timers.advance(10.0)
            self.assertTrue(self.first.renew(lease).is_err())
            self.assertTrue(self.second.acquire("a").is_err())
            self.assertFalse(lease.is_safe())
        self.store.faults = Faults()
        self.assertEqual(self.second.acquire("a").ok().token, 2)
        self.assertIsInstance(self.first.renew(lease).err(), LeaseLostError)
