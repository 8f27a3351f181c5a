import random
import time
import unittest

import eventlet
from eventlet.green import socket

from soak.history import Call, End, History
from soak.release import Release
from soak.replica import Replica
from soak.room import Room

WAIT_S = 3.0
HEAD = "POST /stream/%s/2 HTTP/1.1\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"


class ReplicaTest(unittest.TestCase):
    def setUp(self):
        self.history = History()
        room = Room({}, slots=1, tokens=100)
        self.replica = Replica("one", "pool", "a", self.history, room, random.Random(1))
        self.addCleanup(self.replica.crash)
        self.replica.mood.first_s = 30.0
        self.socks = []
        self.addCleanup(lambda: [sock.close() for sock in self.socks])

    def open(self, name, deadline_ms=9_000, tokens="10,2"):
        address = self.replica._listener.getsockname()
        sock = socket.create_connection(address)
        self.socks.append(sock)
        head = HEAD % (name, name, deadline_ms)
        sock.sendall(f"{head}Token-Counts: {tokens}\r\n\r\n".encode())
        self.wait(lambda: self.history.has_arrived(name))
        return sock

    def wait(self, condition):
        with eventlet.Timeout(WAIT_S):
            while not condition():
                eventlet.sleep(0.01)

    def end_of(self, name):
        [run] = [run for run in self.history.runs if run.call == name]
        self.wait(lambda: run.end)
        return run.end


class QueueTest(ReplicaTest):
    def test_second_stream_waits_and_runs(self):
        self.replica.mood.first_s = 0.3
        self.open("a")
        self.open("b")
        self.assertEqual(len(self.history.runs_of("a")), 1)
        self.assertEqual(self.history.runs_of("b"), [])
        self.assertIs(self.end_of("b"), End.WHOLE)
        self.assertEqual(len(self.history.runs_of("b")), 1)

    def test_stream_that_leaves_the_queue_has_not_run(self):
        self.open("a")
        self.open("b").close()
        self.assertIs(self.end_of("b"), End.DROPPED)
        self.assertEqual(self.history.runs_of("b"), [])

    def test_stream_whose_time_is_over_in_the_queue_is_rejected(self):
        self.open("a")
        self.open("b", deadline_ms=100)
        self.assertIs(self.end_of("b"), End.REJECTED)

    def test_stream_whose_caller_leaves_before_its_first_event_is_dropped(self):
        self.open("a").close()
        self.assertIs(self.end_of("a"), End.DROPPED)
        self.assertEqual(len(self.history.runs_of("a")), 1)


class ReleaseTest(ReplicaTest):
    def hold(self, name, router=0, **fields):
        """Let a replica hold a stream back, and return when it is released."""
        self.replica.mood.first_s = 0.0
        release = Release(router=0, begin=time.monotonic(), at=time.monotonic() + 0.5)
        self.replica.release = release
        sent = time.monotonic()
        call = Call(name, router, "stream", "/", "", b"", 9.0, False, sent)
        call.is_held = fields.get("is_held", True)
        self.history.calls[name] = call
        return release.at

    def first_event_at(self, name):
        sock = self.open(name)
        data = b""
        while b"id: 1" not in data:
            data += sock.recv(65_536)
        return time.monotonic()

    def test_stream_that_is_held_back_begins_before_its_release(self):
        at = self.hold("a")
        self.assertGreaterEqual(self.first_event_at("a"), at)

    def test_silence_of_the_replica_delays_the_release(self):
        at = self.hold("a")
        sock = self.open("a")
        self.replica.silence.begin_for(2.0)
        with eventlet.Timeout(WAIT_S):
            data = b""
            while b"id: 2" not in data:
                data += sock.recv(65_536)
        self.assertLess(time.monotonic(), at + 1.0)

    def test_streams_of_other_routers_are_held_back(self):
        at = self.hold("a", router=1)
        self.assertLess(self.first_event_at("a"), at)

    def test_streams_of_other_callers_are_held_back(self):
        at = self.hold("a", is_held=False)
        self.assertLess(self.first_event_at("a"), at)

    def test_caller_that_leaves_is_not_seen_while_its_stream_is_held_back(self):
        self.hold("a")
        self.open("a").close()
        self.assertIs(self.end_of("a"), End.DROPPED)
