import random
import unittest

import eventlet
from eventlet.green import socket

from soak.history import End, History
from soak.replica import Replica
from soak.room import Room

WAIT_S = 3.0
HEAD = "POST /stream/%s/2 HTTP/1.1\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"


class QueueTest(unittest.TestCase):
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
