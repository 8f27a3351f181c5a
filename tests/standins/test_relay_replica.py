import unittest

import eventlet
from eventlet.green import socket

from standins.relay_replica import RelayReplica
from standins.web import listen

WAIT_S = 5.0
REQUEST = (
    b"POST /answers/x HTTP/1.1\r\nHost: demo.example\r\nRequest-Id: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n%s\r\n"
)


class RunsTest(unittest.TestCase):
    def setUp(self):
        self.replica = RelayReplica("one", events=10)
        self.listener = listen()
        self.addCleanup(self.listener.close)
        server = eventlet.spawn(self.replica.serve, self.listener)
        self.addCleanup(server.kill)

    def open(self, headers=b""):
        sock = socket.create_connection(self.listener.getsockname())
        self.addCleanup(sock.close)
        sock.sendall(REQUEST % headers)
        return sock

    def read_until(self, sock, end):
        data = b""
        while end not in data:
            data += sock.recv(4096)

    def ended_run(self):
        """Return the only run when it has ended."""
        [run] = self.replica.runs
        with eventlet.Timeout(WAIT_S):
            while run.ended == float("inf"):
                eventlet.sleep(0.01)
        self.assertGreater(run.ended, run.began)
        return run

    def test_whole_run_ends(self):
        sock = self.open()
        self.read_until(sock, b"piece 1\n")
        self.assertEqual(self.replica.runs[0].ended, float("inf"))
        self.read_until(sock, b"piece 10\n")
        self.assertFalse(self.ended_run().broke_off)

    def test_run_whose_connection_is_closed_ends_without_being_broken_off(self):
        sock = self.open()
        self.read_until(sock, b"piece 1\n")
        sock.close()
        self.assertFalse(self.ended_run().broke_off)

    def test_lost_replica_breaks_its_runs_off(self):
        sock = self.open()
        self.read_until(sock, b"piece 1\n")
        self.replica.is_lost = True
        self.assertTrue(self.ended_run().broke_off)

    def test_rejected_request_is_no_run(self):
        self.read_until(self.open(b"Expect-Instance: two\r\n"), b"\r\n\r\n")
        self.assertEqual(self.replica.runs, [])
