import gc
import os
import unittest

import eventlet
from eventlet.green import socket

from boragedeck.connection.connection_table import ConnectionBounds
from boragedeck.connection.edge import CallerConnections, read_body, serve_http
from boragedeck.connection.listening import close_listener
from boragedeck.connection.memory_budget import MemoryBudget
from boragedeck.connection.reservation import ReservationService
from boragedeck.exceptions import RefusedError
from boragedeck.process.timers import RealTimers
from tests.support.uncontrolled_callers import open_files

LIMIT = 12 * 1024 * 1024
BODY = 3 * 1024 * 1024
SLOW_S = 1.2
TIMEOUT_S = 10.0
SETTLED_S = 0.3
MANY = 40
HEAD = b"POST / HTTP/1.1\r\nHost: here.example\r\n"


def app(environ, start_response):
    try:
        read_body(environ)
    except RefusedError as exc:
        start_response(f"{exc.status} Refused", [("Content-Length", "0")])
    else:
        start_response("200 OK", [("Content-Length", "0")])
    return [b""]


class CutBodyTest(unittest.TestCase):
    """They guard against a cut body that its caller takes for a faulty one."""

    def setUp(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = listener.getsockname()
        self.budget = MemoryBudget(LIMIT)
        service = ReservationService(self.budget, RealTimers())
        thread = eventlet.spawn(serve_http, listener, app, service)
        self.addCleanup(thread.kill)
        self.addCleanup(close_listener, listener)

    def send(self, data):
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        sock.sendall(HEAD + data)
        return sock

    def assert_slow_body_gets_408(self, data):
        slow = self.send(data)
        eventlet.sleep(SLOW_S)
        other = self.send(b"Content-Length: %d\r\n\r\n" % BODY + b"x" * BODY)
        with eventlet.Timeout(TIMEOUT_S):
            self.assertIn(b" 200 ", other.recv(1_000))
            self.assertIn(b" 408 ", slow.recv(1_000))

    def test_with_a_length(self):
        head = b"Content-Length: %d\r\n\r\n" % BODY
        self.assert_slow_body_gets_408(head + b"x" * (BODY - 1))

    def test_in_chunks(self):
        head = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % BODY
        self.assert_slow_body_gets_408(head + b"x" * BODY + b"\r\n")

    def test_within_a_chunk(self):
        head = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % BODY
        self.assert_slow_body_gets_408(head + b"x" * (BODY - 1))


class ClosedConnectionTest(unittest.TestCase):
    """They guard against more connections than the bounds allow."""

    BOUNDS = ConnectionBounds(served=4, refused=2)

    def setUp(self):
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def serve(self, connections):
        listener = eventlet.listen(("127.0.0.1", 0))
        thread = eventlet.spawn(serve_http, listener, app, None, connections)
        self.addCleanup(thread.kill)
        self.addCleanup(close_listener, listener)
        return listener.getsockname()

    def connect(self, address, data):
        sock = socket.create_connection(address)
        self.addCleanup(sock.close)
        sock.sendall(data)
        eventlet.sleep(0.01)
        return sock

    def assert_bounded(self, connections, data):
        address = self.serve(connections)
        before = open_files(os.getpid())
        for _ in range(MANY):
            self.connect(address, data)
        eventlet.sleep(SETTLED_S)
        ours = open_files(os.getpid()) - before - MANY
        self.assertLessEqual(ours, self.BOUNDS.served + self.BOUNDS.refused)
        return address

    def test_bodies_that_are_ended_for_new_connections(self):
        connections = CallerConnections(self.BOUNDS, closes_busy=True)
        data = HEAD + b"Content-Length: 100\r\n\r\n"
        address = self.assert_bounded(connections, data)
        whole = self.connect(address, HEAD + b"Content-Length: 0\r\n\r\n")
        with eventlet.Timeout(TIMEOUT_S):
            self.assertIn(b" 200 ", whole.recv(1_000))

    def test_half_heads_that_are_ended_for_new_connections(self):
        connections = CallerConnections(self.BOUNDS, closes_busy=True)
        self.assert_bounded(connections, HEAD)

    def test_idle_connections_that_are_closed_for_new_ones(self):
        self.assert_bounded(CallerConnections(self.BOUNDS), b"")
