import unittest
from unittest import mock

import eventlet
from eventlet.green import socket

from boragedeck.connection import upstream_pool
from boragedeck.connection.address import Address
from boragedeck.request.unread_reports import MAX_UNREAD_BYTES
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    head_of,
    read_response,
    send_chunk,
    send_request,
    stream_rule,
)

EVENTS = 140
DATA_BYTES = 170
"""Makes a stream of some 25 KB, as the smallest buffers of the system hold a part."""
LONG_EVENTS = 10_000
SMALL_BUFFER_BYTES = 2048
BUFFERS_BYTES = 32 * 1024
"""More than the small buffers of the system hold, and what is read at once."""
UNREAD_LIMIT_S = 1.0
"""How long a replica waits for its answer to be read."""
NOT_READING_S = 1.5
READ_WITHIN_S = 5.0


def numbered(number):
    """Return the bytes of an event."""
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * DATA_BYTES)


WHOLE = b"".join(map(numbered, range(1, EVENTS + 1)))


def connect_small(address):
    """Connect with a small receive buffer, which has to be set before."""
    sock = socket.socket()
    option = socket.SOL_SOCKET, socket.SO_RCVBUF
    sock.setsockopt(*option, SMALL_BUFFER_BYTES)
    sock.connect((address.host, address.port))
    return sock


class ImpatientReplica(ScriptedReplica):
    """A replica with small buffers that cuts off what isn't read in time."""

    def __init__(self, name, events=EVENTS):
        super().__init__(name, self._stream)
        self.cuts = 0
        self.sent_bytes = 0
        self._events = events
        option = socket.SOL_SOCKET, socket.SO_SNDBUF
        self._listener.setsockopt(*option, SMALL_BUFFER_BYTES)

    def _stream(self, sock, req):
        first = 1 + int(req.headers.get(b"last-event-id", 0))
        sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
        try:
            for number in range(first, self._events + 1):
                with eventlet.Timeout(UNREAD_LIMIT_S):
                    send_chunk(sock, numbered(number))
                self.sent_bytes += len(numbered(number))
                # The router reads each event by itself.
                eventlet.sleep(0)
        except eventlet.Timeout:
            self.cuts += 1
            return False
        sock.sendall(b"0\r\n\r\n")
        return True


class SlowReaderTest(unittest.TestCase):
    """A replica cuts off an answer that isn't read, and its caller reads slowly."""

    def setUp(self):
        self.harness = RelayHarness(stream_rule(timeout_s=20.0))
        self.addCleanup(self.harness.close)
        # The buffers of the system would hide how far the router reads ahead.
        patch = mock.patch.object(upstream_pool, "_connect", connect_small)
        patch.start()
        self.addCleanup(patch.stop)
        send_buffer = socket.SOL_SOCKET, socket.SO_SNDBUF
        self.harness.listener.setsockopt(*send_buffer, SMALL_BUFFER_BYTES)

    def add_replica(self, events=EVENTS):
        self.replica = ImpatientReplica("one", events)
        self.harness.add(self.replica)

    def slow_caller(self):
        sock = connect_small(Address(*self.harness.listener.getsockname()))
        self.addCleanup(sock.close)
        return sock

    def test_replica_cuts_off_a_stream_whose_caller_reads_slowly(self):
        self.add_replica()
        sock = self.slow_caller()
        send_request(sock, b"Token-Counts: 1000,700", ms=20_000)
        eventlet.sleep(NOT_READING_S)
        response = read_response(sock, READ_WITHIN_S)
        self.assertEqual(response.body, WHOLE)
        self.assertTrue(response.is_complete)
        self.assertEqual((len(self.replica.relayed()), self.replica.cuts), (1, 0))
        self.assertEqual(self.harness.metrics.unread_streams._value.get(), 0)

    def test_replica_is_read_far_ahead_of_a_caller_that_reads_nothing(self):
        self.add_replica(LONG_EVENTS)
        sock = self.slow_caller()
        send_request(sock, b"Token-Counts: 1000,700", ms=20_000)
        eventlet.sleep(2 * NOT_READING_S)
        self.assertEqual(self.replica.cuts, 1)
        self.assertLess(self.replica.sent_bytes, MAX_UNREAD_BYTES + BUFFERS_BYTES)
        self.assertEqual(self.harness.metrics.unread_streams._value.get(), 1)
