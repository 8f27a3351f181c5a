import itertools
import os
import unittest
from unittest import mock

import eventlet
from eventlet.green import socket
from eventlet.greenio import GreenSocket

from boragedeck.connection.exchange import IDLE_MARGIN_S
from boragedeck.connection.http_message import Message
from boragedeck.connection.peer import Address
from boragedeck.connection.request_body import RequestBody
from boragedeck.connection.upstream_pool import OpenReason, UpstreamPool
from boragedeck.exceptions import (
    UpstreamError,
    UpstreamRefusedError,
    UpstreamSilentError,
)
from boragedeck.process.threads import end_thread
from boragedeck.process.timers import ManualTimers
from tests.support.replicas import ScriptedReplica, answer, head_of, stay_silent


def message(request_id):
    headers = [(b"Host", b"h"), (b"Request-Id", request_id)]
    return Message(b"GET", b"/x", headers, request_id=request_id)


MESSAGE = message(b"first")
ADDRESS = Address("127.0.0.1", 1)
LONG_S = 25.0
LOST_AFTER_S = 4.5
"""How soon the kernel closes an idle connection to a host that is gone."""


def answer_with_keep_alive(seconds):
    def step(sock, req):
        lines = b"Keep-Alive: timeout=%d" % seconds, b"Content-Length: 2"
        sock.sendall(head_of(req, 200, *lines) + b"\r\nhi")
        return True

    return step


def answer_with_close(sock, req):
    lines = b"Connection: close", b"Content-Length: 2"
    sock.sendall(head_of(req, 200, *lines) + b"\r\nhi")
    return True


class UpstreamPoolTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.pool = UpstreamPool(self.timers)
        self.opened = []
        self.pool.on_opened = self.opened.append
        self.numbers = itertools.count()

    def replica(self, *steps):
        replica = ScriptedReplica("one", *steps)
        self.addCleanup(eventlet.sleep, 0)
        self.addCleanup(replica.stop)
        self.addCleanup(self.pool.forget, replica.address)
        return replica

    def fetch(self, replica, request_id=None):
        """Send a request, with an id of its own if none is given."""
        request_id = request_id or b"%d" % next(self.numbers)
        exchange = self.pool.send(replica.address, message(request_id), 1.0)
        try:
            exchange.head(1.0)
            return exchange.read_all(1.0, 1000)
        finally:
            exchange.close()

    def test_connection_is_reused(self):
        replica = self.replica(answer())
        for _ in range(3):
            self.fetch(replica)
        self.assertEqual(replica.connections, 1)

    # Guards against late answers that name a request sent before on its connection.
    def test_id_is_sent_again_on_the_same_connection(self):
        replica = self.replica(answer())
        for request_id in (b"a", b"b", b"a", b"a", b"c", b"b"):
            self.fetch(replica, request_id)
        for sock_requests in replica.by_connection():
            ids = [req.headers[b"request-id"] for req in sock_requests]
            self.assertEqual(len(ids), len(set(ids)))
        reasons = [OpenReason.NONE_IDLE, OpenReason.ID_CARRIED, OpenReason.ID_CARRIED]
        self.assertEqual(self.opened, reasons)

    def test_connection_that_has_not_carried_the_id_is_preferred_to_a_new_one(self):
        replica = self.replica(answer())
        self.fetch(replica, b"a")
        self.fetch(replica, b"a")
        self.fetch(replica, b"b")
        self.fetch(replica, b"b")
        self.assertEqual(replica.connections, 2)

    def test_connection_that_has_carried_its_most_requests_is_closed(self):
        replica = self.replica(answer())
        name = "boragedeck.connection.sent_requests.MAX_REQUESTS_PER_CONNECTION"
        with mock.patch(name, 3):
            for _ in range(7):
                self.fetch(replica)
        self.assertEqual(replica.connections, 3)

    def test_silence_of_a_second_and_a_half_does_not_close_a_connection(self):
        replica = self.replica(answer())
        self.fetch(replica)
        [conn] = self.pool._idle[replica.address]
        tcp = socket.IPPROTO_TCP
        interval_s = conn.sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
        probes = conn.sock.getsockopt(tcp, socket.TCP_KEEPCNT)
        idle_s = conn.sock.getsockopt(tcp, socket.TCP_KEEPIDLE)
        limit_s = conn.sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) / 1000.0
        # With a user timeout the kernel also gives up at the first probe after it.
        self.assertEqual(limit_s, 0.0)
        self.assertGreater((probes - 1) * interval_s, 1.5)
        self.assertLess(idle_s + probes * interval_s, LOST_AFTER_S)

    def test_answer_before_the_body_is_taken_is_not_read(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def answer_early():
            sock, _ = listener.accept()
            self.addCleanup(lambda: sock.close())
            sock.recv(1000)
            sock.sendall(b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n")

        eventlet.spawn(answer_early)
        address = Address(*listener.getsockname())
        large = Message(
            b"POST", b"/x", [(b"Host", b"h")], RequestBody(b"x" * 20_000_000)
        )
        exchange = self.pool.send(address, large, 1.0)
        self.assertEqual(exchange.head(2.0).status, 413)
        self.assertEqual(exchange.read(2.0), b"")
        exchange.close()
        self.assertNotIn(address, self.pool._idle)

    def test_connection_past_its_keep_alive_timeout_is_not_reused(self):
        replica = self.replica(answer_with_keep_alive(3))
        self.fetch(replica)
        self.timers.advance(3.0 - IDLE_MARGIN_S - 0.1)
        self.fetch(replica)
        self.timers.advance(3.0 - IDLE_MARGIN_S + 0.1)
        self.fetch(replica)
        self.assertEqual(replica.connections, 2)

    def test_connection_closed_by_the_replica_is_not_reused(self):
        replica = self.replica(answer_with_close)
        self.fetch(replica)
        self.fetch(replica)
        self.assertEqual(replica.connections, 2)

    def test_connection_with_an_unread_answer_is_not_reused(self):
        replica = self.replica(answer())
        self.pool.send(replica.address, MESSAGE, 1.0).close()
        self.fetch(replica)
        self.assertEqual(replica.connections, 2)

    def test_silent_replica_and_broken_connection_are_different_errors(self):
        replica = self.replica(stay_silent)
        exchange = self.pool.send(replica.address, MESSAGE, 1.0)
        with self.assertRaises(UpstreamSilentError):
            exchange.head(0.05)
        eventlet.spawn_after(0.05, exchange.interrupt)
        with self.assertRaises(UpstreamError) as caught:
            exchange.head(1.0)
        self.assertNotIsInstance(caught.exception, UpstreamSilentError)
        exchange.close()

    def test_refused_connection_names_its_step_and_peer(self):
        replica = self.replica(answer())
        replica.stop()
        eventlet.sleep(0)
        with self.assertRaises(UpstreamRefusedError) as caught:
            self.fetch(replica)
        self.assertEqual(caught.exception.step, "connect")
        self.assertEqual(caught.exception.peer, str(replica.address))

    def test_answer_over_the_size_limit_is_an_error(self):
        replica = self.replica(answer(b"x" * 2000))
        with self.assertRaises(UpstreamError):
            self.fetch(replica)

    def test_connection_stays_open_whose_sender_ended_while_it_was_opened(self):
        opening = []

        def connect(sock, address):
            opening.append(sock.fileno())
            eventlet.sleep(LONG_S)

        with mock.patch.object(GreenSocket, "connect", connect):
            sender = eventlet.spawn(self.pool.send, ADDRESS, MESSAGE, LONG_S)
            eventlet.sleep(0)
            end_thread(sender, RuntimeError())
        with self.assertRaises(OSError):
            os.fstat(*opening)

    def test_connection_stays_open_whose_sender_ended_before_it_sent(self):
        replica = self.replica(stay_silent)
        send = self.pool.send
        sender = eventlet.spawn(
            send, replica.address, MESSAGE, LONG_S, lambda: eventlet.sleep(LONG_S)
        )
        eventlet.sleep(0.01)
        end_thread(sender, RuntimeError())
        eventlet.sleep(0.01)
        self.assertEqual((replica.connections, replica.closed_after), (1, [0]))

    def test_address_without_a_listener_is_a_refused_error(self):
        with self.assertRaises(UpstreamRefusedError):
            self.pool.send(Address("127.0.0.1", 1), MESSAGE, 0.2)
