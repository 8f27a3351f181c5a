import unittest

import eventlet

from boragedeck.process.relaying.limits.room_leases import (
    COLD_START_S,
    GROWTH_INTERVAL_S,
    NO_LEASE,
    REJECTION_WINDOW_S,
    RoomLeases,
)
from boragedeck.process.threads import end_thread
from boragedeck.process.timers import ManualTimers

SLOTS = 4
REJECTIONS = 2.0
LEASE_S = 1.5


class RoomLeasesTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.leases = RoomLeases(self.timers)
        self.timers.advance(COLD_START_S + 0.01)

    def take(self, max_wait_s=0.0):
        return self.leases.take(SLOTS, REJECTIONS, max_wait_s, LEASE_S)

    def take_all(self):
        return [self.take() for _ in range(SLOTS)]

    def test_no_more_places_are_leased_than_there_are(self):
        self.assertNotIn(NO_LEASE, self.take_all())
        self.assertEqual(self.take(), NO_LEASE)

    def test_new_owner_starts_with_one_place(self):
        leases = RoomLeases(self.timers)
        args = SLOTS, REJECTIONS, 0.0, LEASE_S
        self.assertNotEqual(leases.take(*args), NO_LEASE)
        self.assertEqual(leases.take(*args), NO_LEASE)

    def test_returned_place_goes_to_who_waited_longest(self):
        held = self.take_all()
        order = []
        for number in range(3):
            eventlet.spawn(lambda n: order.append((n, self.take(1.0))), number)
            eventlet.sleep(0)
        self.leases.release(held[0], is_rejected=False)
        self.timers.advance(0.01)
        self.assertEqual([number for number, _ in order], [0])
        self.leases.release(held[1], is_rejected=False)
        self.timers.advance(0.01)
        self.assertEqual([number for number, _ in order], [0, 1])

    def test_place_is_free_for_a_time_since_who_was_woken_has_ended(self):
        held, order = self.take_all(), []
        first, _ = [
            eventlet.spawn(lambda n: order.append((n, self.take(1.0))), number)
            for number in range(2)
        ]
        eventlet.sleep(0)
        self.leases.release(held[0], is_rejected=False)
        end_thread(first)
        self.timers.advance(0.01)
        self.assertEqual([number for number, _ in order], [1])

    def test_wait_ends_with_its_time(self):
        self.take_all()
        found = []
        eventlet.spawn(lambda: found.append(self.take(0.3)))
        self.timers.advance(0.4)
        self.assertEqual(found, [NO_LEASE])

    def test_lease_that_is_not_returned_ends_with_its_time(self):
        self.take_all()
        self.timers.advance(LEASE_S)
        self.assertNotEqual(self.take(), NO_LEASE)

    def test_rejections_that_the_replica_bears_stop_all_leases_for_a_second(self):
        held = self.take_all()
        for lease in held[: int(REJECTIONS)]:
            self.leases.release(lease, is_rejected=True)
        self.assertEqual(self.take(), NO_LEASE)
        self.timers.advance(REJECTION_WINDOW_S)
        self.assertNotEqual(self.take(), NO_LEASE)

    def test_rejection_lowers_the_number_of_places_for_some_time(self):
        held = self.take_all()
        self.leases.release(held[0], is_rejected=True)
        self.leases.release(held[1], is_rejected=False)
        self.assertNotEqual(self.take(), NO_LEASE)
        self.assertEqual(self.take(), NO_LEASE)
        self.timers.advance(GROWTH_INTERVAL_S)
        self.assertNotEqual(self.take(), NO_LEASE)

    def test_lease_is_returned_once(self):
        held = self.take_all()
        self.leases.release(held[0], is_rejected=False)
        self.leases.release(held[0], is_rejected=True)
        self.assertEqual(self.leases.leased(), SLOTS - 1)
        self.assertNotEqual(self.take(), NO_LEASE)
