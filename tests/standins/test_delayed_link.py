import time
import unittest

import eventlet
from eventlet.green import socket

from standins.delayed_link import DelayedLink
from standins.web import listen

DELAY_S = 0.1
SIZE = 300_000


class DelayedLinkTest(unittest.TestCase):
    def setUp(self):
        self.target = listen()
        self.addCleanup(self.target.close)
        link = DelayedLink(self.target.getsockname(), DELAY_S, time.monotonic)
        self.addCleanup(link.close)
        self.near = socket.create_connection(link.listener.getsockname())
        self.addCleanup(self.near.close)
        self.far, _ = self.target.accept()
        self.addCleanup(self.far.close)

    def assert_late(self, since):
        self.assertGreaterEqual(time.monotonic() - since, 0.99 * DELAY_S)

    def test_bytes_arrive_early_or_changed(self):
        data = bytes(range(250)) * (SIZE // 250)
        for source, sink in ((self.near, self.far), (self.far, self.near)):
            since = time.monotonic()
            sending = eventlet.spawn(source.sendall, data)
            self.assertEqual(sink.recv(1), data[:1])
            self.assert_late(since)
            rest = sink.makefile("rb").read(len(data) - 1)
            self.assertEqual(rest, data[1:])
            sending.wait()

    def test_end_of_one_direction_ends_the_other(self):
        since = time.monotonic()
        self.near.shutdown(socket.SHUT_WR)
        self.assertEqual(self.far.recv(1), b"")
        self.assert_late(since)
        self.far.sendall(b"x")
        self.assertEqual(self.near.recv(1), b"x")

    def test_connection_stays_open_if_nobody_listens(self):
        nobody = listen()
        address = nobody.getsockname()
        nobody.close()
        link = DelayedLink(address, DELAY_S, time.monotonic)
        self.addCleanup(link.close)
        sock = socket.create_connection(link.listener.getsockname())
        self.addCleanup(sock.close)
        with eventlet.Timeout(10 * DELAY_S):
            self.assertEqual(sock.recv(1), b"")
