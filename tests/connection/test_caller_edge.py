import unittest
from unittest import mock

import eventlet
import msgspec

from boragedeck.connection import caller_edge
from boragedeck.connection.caller_connection import NEXT_REQUEST_S
from boragedeck.version.routing import CallerLimits
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    read_response,
    send_request,
)


class CallerEdgeTest(unittest.TestCase):
    def setUp(self):
        self.harness = RelayHarness(limits=CallerLimits(2_000, 5_000, 0.2, 0.3))
        self.addCleanup(self.harness.close)
        self.replica = ScriptedReplica("one", answer())
        self.harness.add(self.replica)

    def send(self, data):
        sock = self.harness.connect()
        sock.sendall(data)
        return read_response(sock)

    def test_connection_serves_several_requests(self):
        sock = self.harness.connect()
        for name in (b"id-1", b"id-2"):
            self.assertEqual(self.harness.fetch(sock=sock, name=name).status, 200)
        self.assertEqual(len(self.replica.received), 2)

    def test_pipelined_requests_are_answered_in_order(self):
        sock = self.harness.connect()
        send_request(sock, name=b"id-1")
        send_request(sock, name=b"id-2")
        first = sock.recv(65_536)
        while first.count(b"whole") < 2:
            first += sock.recv(65_536)
        self.assertLess(first.index(b"id-1"), first.index(b"id-2"))

    def test_chunked_body_is_forwarded_with_a_length(self):
        sock = self.harness.connect()
        sock.sendall(
            b"POST /r/x HTTP/1.1\r\nHost: here.example\r\nRequest-Id: 7\r\n"
            b"Api-Key: key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(read_response(sock).status, 200)
        received = self.replica.received[0]
        self.assertEqual(received.body, b"abcde")
        self.assertNotIn(b"transfer-encoding", received.headers)

    def test_content_length_with_transfer_encoding_is_refused(self):
        response = self.send(
            b"POST /r/x HTTP/1.1\r\nHost: here.example\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /r/y HTTP/1.1\r\n\r\n"
        )
        self.assertEqual(response.status, 400)
        self.assertEqual(self.replica.received, [])

    def test_two_lengths_and_invalid_headers_are_refused(self):
        for line in (b"Content-Length: 1\r\nContent-Length: 2", b"X : 1", b"X\x00: 1"):
            response = self.send(
                b"POST /r/x HTTP/1.1\r\nHost: here.example\r\n%s\r\n\r\n" % line
            )
            self.assertEqual(response.status, 400, line)
        self.assertEqual(self.replica.received, [])

    def test_repeated_api_key_is_refused(self):
        response = self.harness.fetch(b"Api-Key: key-2")
        self.assertEqual(response.status, 400)

    def test_long_head_and_body_are_refused(self):
        self.assertEqual(self.harness.fetch(b"X: " + b"x" * 3_000).status, 431)
        self.assertEqual(self.harness.fetch(body=b"x" * 6_000).status, 413)
        self.assertEqual(self.replica.received, [])

    def test_slow_head_is_refused_with_408(self):
        response = self.send(b"POST /r/x HTTP/1.1\r\nHost: he")
        self.assertEqual(response.status, 408)

    def test_idle_timeout_follows_the_limit_in_force(self):
        sock = self.harness.connect()
        self.harness.fetch(sock=sock)
        table = self.harness.table
        limits = msgspec.structs.replace(table.limits, idle_timeout_s=1.0)
        self.harness.table = msgspec.structs.replace(table, limits=limits)
        eventlet.sleep(0.6)
        self.assertEqual(self.harness.fetch(sock=sock, name=b"id-2").status, 200)
        with eventlet.Timeout(3.0):
            self.assertEqual(sock.recv(10), b"")

    def test_close_idle_closes_idle_connections_and_announces_it_on_busy_ones(self):
        idle, busy = self.harness.connect(), self.harness.connect()
        self.harness.fetch(sock=idle)
        self.replica._steps = [answer_slowly]
        send_request(busy, name=b"id-2")
        eventlet.sleep(0.05)
        self.harness.edge.close_idle()
        with eventlet.Timeout(1.0):
            self.assertEqual(idle.recv(10), b"")
        response = read_response(busy)
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(response.headers[b"connection"], b"close")

    def set_limits(self, **limits):
        table = self.harness.table
        limits = msgspec.structs.replace(table.limits, **limits)
        self.harness.table = msgspec.structs.replace(table, limits=limits)

    def test_limits_raised_during_the_wait_hold_for_the_next_request(self):
        kept, new = self.harness.connect(), self.harness.connect()
        self.harness.fetch(sock=kept)
        self.set_limits(header_bytes=20_000, body_bytes=20_000)
        for sock in (kept, new):
            line, body = b"X: " + b"x" * 3_000, b"x" * 6_000
            response = self.harness.fetch(line, body=body, sock=sock)
            self.assertEqual(response.status, 200)

    def make_idle(self):
        sock = self.harness.connect()
        self.harness.fetch(sock=sock)
        eventlet.sleep(0.05)
        return sock

    def test_request_that_has_arrived_when_idle_ones_are_closed_is_answered(self):
        waiting, just_served = self.make_idle(), self.harness.connect()
        self.harness.fetch(sock=just_served)
        for sock in (waiting, just_served):
            send_request(sock, name=b"id-2")
        self.harness.edge.close_idle()
        for sock in (waiting, just_served):
            response = read_response(sock)
            self.assertEqual((response.status, response.body), (200, b"whole"))
            self.assertEqual(response.headers[b"connection"], b"close")

    def test_request_that_arrives_after_idle_ones_are_closed_is_not_relayed(self):
        self.set_limits(idle_timeout_s=3.0)
        sock = self.make_idle()
        eventlet.sleep(NEXT_REQUEST_S)
        self.harness.edge.close_idle()
        send_request(sock, name=b"id-2")
        eventlet.sleep(0.1)
        self.assertEqual(len(self.replica.received), 1)

    def test_request_behind_the_wait_for_one_as_idle_ones_are_closed_is_relayed(self):
        self.set_limits(idle_timeout_s=3.0)
        sock = self.make_idle()
        self.harness.edge.close_idle()
        eventlet.sleep(NEXT_REQUEST_S)
        self.assertEqual(self.harness.edge.active_requests(), 0)
        with self.assertRaises(OSError):
            # The first one makes the router's end reset the connection.
            send_request(sock, name=b"id-2")
            eventlet.sleep(0.1)
            send_request(sock, name=b"id-3")
        self.assertEqual(len(self.replica.received), 1)

    def test_request_whose_body_still_arrives_counts_as_unanswered(self):
        sock = self.harness.connect()
        sock.sendall(
            b"POST /r/x HTTP/1.1\r\nHost: here.example\r\nRequest-Id: 7\r\n"
            b"Api-Key: key-1\r\nContent-Length: 5\r\n\r\nab"
        )
        eventlet.sleep(0.05)
        self.harness.edge.close_idle()
        self.assertEqual(self.harness.edge.active_requests(), 1)
        sock.sendall(b"cde")
        self.assertEqual(read_response(sock).status, 200)
        eventlet.sleep(0.05)
        self.assertEqual(self.harness.edge.active_requests(), 0)

    def test_request_that_is_not_read_yet_counts_as_unanswered(self):
        sock = self.make_idle()
        self.assertEqual(self.harness.edge.active_requests(), 0)
        send_request(sock, name=b"id-2")
        self.harness.edge.close_idle()
        self.assertEqual(self.harness.edge.active_requests(), 1)
        self.assertEqual(read_response(sock).status, 200)


class ConnectionBoundTest(unittest.TestCase):
    def setUp(self):
        self.harness = RelayHarness()
        self.addCleanup(self.harness.close)
        self.replica = ScriptedReplica("one", answer())
        self.harness.add(self.replica)
        for name, value in {"MAX_CONNECTIONS": 1, "MAX_REFUSED_CONNECTIONS": 1}.items():
            patcher = mock.patch.object(caller_edge, name, value, create=True)
            patcher.start()
            self.addCleanup(patcher.stop)

    def test_request_beyond_the_bound_is_reset(self):
        kept = self.harness.connect()
        self.assertEqual(self.harness.fetch(sock=kept).status, 200)
        beyond = self.harness.fetch(name=b"id-2", body=b"x" * 100_000)
        self.assertEqual((beyond.status, beyond.is_complete), (503, True))
        self.assertEqual(beyond.headers[b"connection"], b"close")
        self.assertEqual(len(self.replica.received), 1)
        self.assertEqual(self.harness.fetch(sock=kept, name=b"id-3").status, 200)

    def test_connection_beyond_both_bounds_is_kept(self):
        kept, beyond = self.harness.connect(), self.harness.connect()
        self.assertEqual(self.harness.fetch(sock=kept).status, 200)
        self.assertEqual(self.harness.fetch(name=b"id-2").status, 0)
        self.assertEqual(self.harness.fetch(sock=beyond, name=b"id-3").status, 503)

    def test_connection_beyond_the_bound_waits_for_long(self):
        kept = self.harness.connect()
        self.assertEqual(self.harness.fetch(sock=kept).status, 200)
        with eventlet.Timeout(1.5):
            self.assertEqual(self.harness.connect().recv(10), b"")


def answer_slowly(sock, req):
    eventlet.sleep(0.2)
    return answer()(sock, req)
