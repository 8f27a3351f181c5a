import unittest

import msgspec

from boragedeck.process.relaying.crash_blame import (
    CRASH_TTL_S,
    CrashBlame,
    fingerprint_of,
)
from boragedeck.process.relaying.replica_state import ReplicaState
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.test_admission import replica
from tests.support.replicas import FakeFactBoard


class CrashBlameTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        shared = {}
        self.here = CrashBlame(self.timers, FakeFactBoard("here", shared))
        self.there = CrashBlame(self.timers, FakeFactBoard("there", shared))

    def state(self, name, domain="a"):
        entry = msgspec.structs.replace(replica(name), failure_domain=domain)
        return ReplicaState(entry)

    def crash(self, name, request="bad", domain="a"):
        state = self.state(name, domain)
        self.here.note_broken(request, state)
        state.note_miss(self.timers.now())
        self.timers.advance(2.0)

    def test_third_crash_blames_the_request_at_all_routers(self):
        for name in ("one", "two"):
            self.crash(name)
        self.assertFalse(self.there.is_blamed("bad"))
        self.crash("three")
        self.assertTrue(self.here.is_blamed("bad"))
        self.assertTrue(self.there.is_blamed("bad"))
        self.assertFalse(self.here.is_blamed("good"))

    def test_replicas_lost_together_blame_no_request(self):
        for turn in range(4):
            states = [self.state(f"{turn}-{n}") for n in range(3)]
            for state in states:
                self.here.note_broken("good", state)
                state.note_miss(self.timers.now())
            self.timers.advance(6.0)
        self.assertFalse(self.here.is_blamed("good"))

    def test_replica_that_keeps_running_blames_no_request(self):
        for name in ("one", "two", "three", "four"):
            self.here.note_broken("good", self.state(name))
            self.timers.advance(2.0)
        self.assertFalse(self.here.is_blamed("good"))

    def test_same_replica_counts_once(self):
        for _ in range(4):
            self.crash("one")
        self.assertFalse(self.here.is_blamed("bad"))

    def test_blame_expires(self):
        for name in ("one", "two", "three"):
            self.crash(name)
        self.timers.advance(CRASH_TTL_S)
        self.assertFalse(self.here.is_blamed("bad"))

    def test_fingerprint_keeps_its_parts_apart(self):
        self.assertNotEqual(
            fingerprint_of("ab", "c", b""), fingerprint_of("a", "bc", b"")
        )
