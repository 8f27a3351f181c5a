import time
import unittest
from unittest import mock

import eventlet
from eventlet.green import socket
from eventlet.greenio import GreenSocket

from boragedeck.connection import caller_connection, caller_edge
from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    answer,
    event,
    head_of,
    read_response,
    report_model,
    send_chunk,
    send_request,
    stream_rule,
)

ENGINES = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
EVENTS = 80
PADDING = b"x" * 100_000
RECEIVE_BYTES = 256 * 1024
SEND_TIMEOUT_S = 0.2
LONG_S = 30.0

blocking_socket = eventlet.patcher.original("socket")


def stream_much(sock, req):
    """Stream more than the buffers of the caller's connection hold."""
    if b"request-id" not in req.headers:
        return report_model(sock, req)
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in range(1, EVENTS + 1):
        send_chunk(sock, b"id: %d\ndata: %s\n\n" % (number, PADDING))
    sock.sendall(b"0\r\n\r\n")
    return True


def answer_slowly(sock, req):
    eventlet.sleep(0.5)
    return answer()(sock, req)


def stream_slowly(sock, req):
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in range(1, 5):
        send_chunk(sock, event(number))
        eventlet.sleep(0.1)
    sock.sendall(b"0\r\n\r\n")
    return True


def wait_until_gone(replica, timeout_s=3.0):
    with eventlet.Timeout(timeout_s):
        while not replica.closed_after:
            eventlet.sleep(0.01)


class SlowReaderTest(unittest.TestCase):
    def setUp(self):
        rule = stream_rule(timeout_s=LONG_S, max_attempts=1)
        self.harness = RelayHarness(rule, pool=ENGINES)
        self.addCleanup(self.harness.close)
        self.replica = ScriptedReplica("one", stream_much)
        self.harness.add(self.replica)
        patcher = mock.patch.object(caller_connection, "SEND_TIMEOUT_S", SEND_TIMEOUT_S)
        patcher.start()
        self.addCleanup(patcher.stop)

    def connect(self):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.connect(self.harness.listener.getsockname())
        self.addCleanup(sock.close)
        return sock

    def test_caller_that_reads_slowly_is_taken_for_gone(self):
        sock = self.harness.connect()
        send_request(sock, TOKENS, ms=round(LONG_S * 1e3))
        eventlet.sleep(5 * SEND_TIMEOUT_S)
        response = read_response(sock, LONG_S)
        self.assertTrue(response.is_complete)
        self.assertEqual(len(response.body.split(b"\n\n")), EVENTS + 1)

    def test_caller_that_never_reads_is_waited_for_beyond_its_time(self):
        sock, sent = self.connect(), time.monotonic()
        send_request(sock, TOKENS, ms=1_000)
        wait_until_gone(self.replica)
        self.assertGreaterEqual(time.monotonic() - sent, 1.0)


class ReadAheadTest(unittest.TestCase):
    def setUp(self):
        self.harness = RelayHarness()
        self.addCleanup(self.harness.close)
        self.replica = ScriptedReplica("one", answer_slowly)
        self.harness.add(self.replica)

    def send_ahead(self, sock, requests):
        send_request(sock)
        for number in range(requests):
            send_request(sock, body=PADDING[:50_000], name=b"next-%d" % number)

    def test_caller_that_sends_much_ahead_is_taken_for_gone(self):
        sock = self.harness.connect()
        self.send_ahead(sock, 4)
        text = b""
        with eventlet.Timeout(6.0):
            while text.count(b"whole") < 5:
                data = sock.recv(65_536)
                self.assertTrue(data, text)
                text += data
        self.assertLess(text.index(b"id-1"), text.index(b"next-3"))

    def test_caller_that_has_sent_much_ahead_leaves_unnoticed(self):
        self.replica._steps = [lambda sock, req: eventlet.sleep(3.0)]
        sock = self.harness.connect()
        self.send_ahead(sock, 2)
        eventlet.sleep(0.2)
        sock.close()
        eventlet.sleep(0.5)
        self.assertEqual(self.harness.edge.active_requests(), 0)


class AcceptQueueTest(unittest.TestCase):
    def setUp(self):
        self.harness = RelayHarness()
        self.addCleanup(self.harness.close)
        self.harness.add(ScriptedReplica("one", answer_slowly))

    def connect_unaccepted(self, name):
        """Connect and send a request without letting the server run."""
        address = self.harness.listener.getsockname()
        sock = GreenSocket(blocking_socket.create_connection(address))
        self.addCleanup(sock.close)
        send_request(sock, name=name)
        return sock

    def test_requests_in_the_queue_are_reset_when_the_listener_is_closed(self):
        socks = [self.connect_unaccepted(b"id-%d" % number) for number in range(5)]
        self.harness.edge.stop_accepting()
        self.harness.edge.close_idle()
        self.assertEqual(self.harness.edge.active_requests(), len(socks))
        for sock in socks:
            self.assertEqual(read_response(sock).status, 200)

    def test_accepted_request_does_not_count_before_its_green_thread_runs(self):
        with mock.patch.object(caller_edge.eventlet, "spawn_n") as spawn_n:
            sock = self.harness.connect()
            send_request(sock)
            with eventlet.Timeout(1.0):
                while not spawn_n.called:
                    eventlet.sleep(0.01)
            self.assertEqual(self.harness.edge.active_requests(), 1)
        function, *args = spawn_n.call_args.args
        eventlet.spawn_n(function, *args)
        self.assertEqual(read_response(sock).status, 200)

    def test_request_pipelined_while_the_router_leaves_is_dropped(self):
        sock = self.harness.connect()
        self.harness.edge.is_leaving = True
        send_request(sock, name=b"id-1")
        send_request(sock, name=b"id-2")
        text = b""
        with eventlet.Timeout(3.0):
            while data := sock.recv(65_536):
                text += data
        self.assertEqual(text.count(b"whole"), 2)

    def test_request_read_ahead_does_not_count_between_two_answers(self):
        counts, edge = [], self.harness.edge
        handle = edge.handle

        def handle_and_count(raw, channel):
            handle(raw, channel)
            eventlet.spawn_after(0, lambda: counts.append(edge.active_requests()))

        edge.handle = handle_and_count
        edge.is_leaving = True
        sock = self.harness.connect()
        send_request(sock, name=b"id-1")
        send_request(sock, name=b"id-2")
        with eventlet.Timeout(5.0):
            while len(counts) < 2:
                eventlet.sleep(0.01)
        self.assertEqual(counts[0], 1)


class LastRequestTest(unittest.TestCase):
    """A request is sent as soon as an answer ends that began before the stop."""

    def setUp(self):
        self.harness = RelayHarness(stream_rule())
        self.addCleanup(self.harness.close)
        self.replica = ScriptedReplica("one", stream_slowly)
        self.harness.add(self.replica)

    def wait_for_head(self, sock):
        with eventlet.Timeout(3.0):
            while b"\r\n\r\n" not in sock.recv(65_536, socket.MSG_PEEK):
                eventlet.sleep(0.01)

    def end_stream_while_closing(self):
        """Return a connection whose answer has ended without announcing its close."""
        sock = self.harness.connect()
        send_request(sock)
        self.wait_for_head(sock)
        self.harness.edge.is_leaving = True
        self.harness.edge.close_idle()
        response = read_response(sock)
        self.assertEqual((response.status, response.is_complete), (200, True))
        self.assertNotIn(b"connection", response.headers)
        return sock

    def assert_closed(self, sock, timeout_s):
        with eventlet.Timeout(timeout_s):
            self.assertEqual(sock.recv(10), b"")

    def test_next_request_crosses_a_close_that_was_not_announced(self):
        sock = self.end_stream_while_closing()
        eventlet.sleep(0.05)
        active = self.harness.edge.active_requests()
        send_request(sock, name=b"id-2")
        response = read_response(sock)
        self.assertEqual((response.status, response.is_complete), (200, True))
        self.assertEqual(active, 1)
        self.assertEqual(response.headers[b"connection"], b"close")
        self.assert_closed(sock, 1.0)

    def test_connection_on_which_nothing_follows_holds_up_the_stop(self):
        sock = self.end_stream_while_closing()
        self.assert_closed(sock, 1.0)
        self.assertEqual(self.harness.edge.active_requests(), 0)

    def test_wait_for_a_next_request_outlasts_the_stop(self):
        sock = self.end_stream_while_closing()
        self.harness.edge.refuse_incomplete()
        self.assertEqual(self.harness.edge.active_requests(), 0)
        self.assert_closed(sock, 0.2)

    def test_stream_that_ends_at_the_end_of_the_stop_counts_as_unanswered(self):
        sock = self.harness.connect()
        send_request(sock)
        self.wait_for_head(sock)
        self.harness.edge.is_leaving = True
        self.harness.edge.close_idle()
        self.harness.edge.refuse_incomplete()
        self.assertTrue(read_response(sock).is_complete)
        self.assert_closed(sock, 0.2)
        self.assertEqual(self.harness.edge.active_requests(), 0)

    def test_next_request_crosses_the_close_of_idle_connections(self):
        answered = self.harness.connect()
        self.assertTrue(self.harness.fetch(sock=answered).is_complete)
        new = self.harness.connect()
        eventlet.sleep(0.02)
        self.harness.edge.is_leaving = True
        self.harness.edge.close_idle()
        eventlet.sleep(0.05)
        for name, sock in {b"id-2": answered, b"id-3": new}.items():
            send_request(sock, name=name)
        for sock in (answered, new):
            response = read_response(sock)
            self.assertEqual((response.status, response.is_complete), (200, True))
            self.assertEqual(response.headers[b"connection"], b"close")
            self.assert_closed(sock, 1.0)

    def test_connection_that_was_just_idle_holds_up_the_stop(self):
        sock = self.harness.connect()
        self.assertTrue(self.harness.fetch(sock=sock).is_complete)
        eventlet.sleep(0.02)
        self.harness.edge.close_idle()
        self.assertEqual(self.harness.edge.active_requests(), 1)
        self.assert_closed(sock, 1.0)
        self.assertEqual(self.harness.edge.active_requests(), 0)

    def test_connection_that_is_idle_for_long_is_waited_for(self):
        sock = self.harness.connect()
        self.assertTrue(self.harness.fetch(sock=sock).is_complete)
        eventlet.sleep(caller_connection.NEXT_REQUEST_S)
        self.harness.edge.close_idle()
        self.assertEqual(self.harness.edge.active_requests(), 0)
        self.assert_closed(sock, 0.1)
