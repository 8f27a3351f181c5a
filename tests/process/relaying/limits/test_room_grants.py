import unittest

import eventlet
from eventlet.event import Event
from result import Ok

from boragedeck.connection.address import Address
from boragedeck.connection.messages import Accepted
from boragedeck.interfaces import Member
from boragedeck.process.relaying.limits.room_grants import RoomGrants
from boragedeck.process.relaying.limits.room_leases import NO_LEASE
from boragedeck.process.relaying.limits.room_messages import (
    ReleaseRoom,
    RoomDecision,
    TakeRoom,
)
from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.timers import ManualTimers

RUN = Run("one", 1)
LEASE = 7


class Owners:
    own = Member("r-1", "vm-1", "a", Address("127.0.0.1", 1))
    other = Member("r-2", "vm-2", "b", Address("127.0.0.1", 2))

    def owner_of(self, task, unable):
        return self.other


class Owner:
    """The owner's link, which answers questions when the test lets it."""

    def __init__(self):
        self.granted = Event()
        self.released = []

    def register(self, kind, handler):
        pass

    def link(self, address):
        return self

    def call(self, message, answer_type, *, timeout_s):
        if isinstance(message, ReleaseRoom):
            self.released.append(message)
            return Ok(Accepted())
        return Ok(RoomDecision(self.granted.wait()))


class RoomGrantsTest(unittest.TestCase):
    def setUp(self):
        self.owner = Owner()
        self.grants = RoomGrants(ManualTimers(), Owners(), self.owner, self.owner)
        question = TakeRoom(RUN, 3, 3.0, 1.0, 25.0)
        self.asking = eventlet.spawn(self.grants.take, question)
        eventlet.sleep(0)

    def answer(self, lease):
        self.owner.granted.send(lease)
        for _ in range(5):
            eventlet.sleep(0)

    def test_place_granted_to_a_request_that_has_ended_stays_leased(self):
        self.asking.kill()
        self.answer(LEASE)
        self.assertEqual(self.owner.released, [ReleaseRoom(RUN, LEASE, False)])

    def test_place_that_was_not_granted_is_returned(self):
        self.asking.kill()
        self.answer(NO_LEASE)
        self.assertEqual(self.owner.released, [])

    def test_place_of_a_request_that_waits_on_is_returned(self):
        self.answer(LEASE)
        self.assertEqual(self.asking.wait().number, LEASE)
        self.assertEqual(self.owner.released, [])
