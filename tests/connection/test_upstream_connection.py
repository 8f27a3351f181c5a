import struct
import time
import unittest

import eventlet
from eventlet.green import socket

from boragedeck.connection.address import Address
from boragedeck.connection.upstream_connection import UpstreamConnection

BODY = b"x" * 3_000_000
SMALL_BUFFER_BYTES = 4096
SETTLED_AFTER_S = 0.02


def small_listener():
    """Return a listener whose connections take little unread."""
    listener = eventlet.listen(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    return listener


class ResetTest(unittest.TestCase):
    """A replica resets the connection while a request is sent to it."""

    def setUp(self):
        listener = small_listener()
        self.addCleanup(listener.close)
        sock = socket.create_connection(listener.getsockname())
        self.replica, _ = listener.accept()
        self.conn = UpstreamConnection(sock, Address("replica", 1), time.monotonic)
        self.addCleanup(self.conn.close)
        self.conn.send([memoryview(BODY)])
        self.assertTrue(self.conn.has_unsent)

    def reset(self):
        """Send a part of an answer, which is read, and reset the connection."""
        self.replica.sendall(b"part")
        self.conn.send_rest()
        self.assertEqual(self.conn.receive(), b"part")
        linger = struct.pack("ii", 1, 0)
        self.replica.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.replica.close()
        eventlet.sleep(SETTLED_AFTER_S)

    def check_broken(self):
        with self.assertRaises(OSError), eventlet.Timeout(1.0):
            self.conn.receive()

    def test_reset_is_an_end_after_a_send_that_failed(self):
        self.reset()
        self.conn.send_rest()
        self.check_broken()

    def test_reset_is_an_end_after_a_look_at_the_connection(self):
        self.reset()
        self.assertFalse(self.conn.is_open_and_empty())
        self.check_broken()


class UntakenTest(unittest.TestCase):
    """A replica ends its side of the connection, and takes a request or doesn't."""

    def connect(self, body):
        listener = small_listener()
        self.addCleanup(listener.close)
        sock = socket.create_connection(listener.getsockname())
        self.replica, _ = listener.accept()
        self.addCleanup(self.replica.close)
        conn = UpstreamConnection(sock, Address("replica", 1), time.monotonic)
        self.addCleanup(conn.close)
        conn.send([memoryview(body)])
        return conn

    def test_request_in_the_buffers_of_the_router_counts_as_taken(self):
        conn = self.connect(BODY)
        # The rest is in this host's buffers, and the other host takes no more.
        conn._unsent.clear()
        self.assertTrue(conn.has_untaken())

    def test_request_that_the_replica_has_read_counts_as_not_taken(self):
        conn = self.connect(b"short")
        self.assertEqual(self.replica.recv(100), b"short")
        self.replica.sendall(b"answer")
        self.replica.shutdown(socket.SHUT_WR)
        self.assertEqual(conn.receive(), b"answer")
        self.assertEqual(conn.receive(), b"")
        self.assertFalse(conn.has_untaken())
