from unittest import mock

import eventlet

from boragedeck.connection import caller_connection
from boragedeck.connection.caller_connection import CallerConnection
from boragedeck.request import forward
from boragedeck.version.routing import CallKind
from tests.request.test_silent_gateways import (
    ENGINES,
    LARGE_BODY,
    TOKENS,
    SilentGatewayCase,
)
from tests.support.replicas import (
    answer,
    call_rule,
    event,
    head_of,
    read_response,
    send_chunk,
    send_request,
    stream_rule,
)

EVENTS = 12
INTERVAL_S = 0.1
PADDING = b"x" * 100_000
LARGE_EVENTS = 200
SHORT_S = 0.2
LONG_S = 30.0
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


def stream(sock, req):
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in range(1, EVENTS + 1):
        send_chunk(sock, event(number))
        eventlet.sleep(INTERVAL_S)
    sock.sendall(b"0\r\n\r\n")
    return True


def stream_much(sock, req):
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in range(1, LARGE_EVENTS + 1):
        send_chunk(sock, b"id: %d\ndata: %s\n\n" % (number, PADDING))
    sock.sendall(b"0\r\n\r\n")
    return True


def answer_slowly(sock, req):
    eventlet.sleep(EVENTS * INTERVAL_S)
    return answer()(sock, req)


class GatewayEndsTest(SilentGatewayCase):
    def start_stream(self, step):
        rule = stream_rule(is_resumable=False, timeout_s=LONG_S)
        self.start(rule, step, ENGINES)

    def begin(self, *lines):
        """Send a request and wait until a replica has it; return the connection."""
        sock = self.router.connect()
        send_request(sock, *lines, ms=round(LONG_S * 1e3))
        with eventlet.Timeout(2.0):
            while not self.ran():
                eventlet.sleep(0.01)
        return sock

    def stop_gateway(self):
        edge = self.gateways[0].forward_edge
        edge.is_leaving = True
        edge.stop_accepting()
        edge.close_idle()
        self.assertEqual(edge.active_requests(), 1)

    def test_stop_of_the_gateway_cuts_a_stream_that_it_forwards(self):
        self.start_stream(stream)
        sock = self.begin(TOKENS)
        self.stop_gateway()
        response = read_response(sock)
        self.assertTrue(response.is_complete)
        self.assertEqual(response.body, WHOLE)

    def test_stop_of_the_gateway_loses_a_call_that_may_run_once(self):
        self.start(call_rule(CallKind.ONCE, timeout_s=6.0), answer_slowly)
        sock = self.begin()
        self.stop_gateway()
        response = read_response(sock)
        self.assertEqual((response.status, response.body), (200, b"whole"))

    def test_silence_in_the_body_ends_a_stream_at_the_gateway(self):
        self.start_stream(stream)
        with mock.patch.object(forward, "SENDER_SLACK_S", SHORT_S):
            sock = self.begin(TOKENS)
            self.fleet.replicas[0].silence.begin_for(1.0)
            response = read_response(sock)
        self.assertTrue(response.is_complete)
        self.assertEqual(response.body, WHOLE)

    def test_caller_that_reads_slowly_has_its_stream_cut_by_the_gateway(self):
        self.start_stream(stream_much)
        with mock.patch.object(caller_connection, "SEND_TIMEOUT_S", SHORT_S):
            sock = self.begin(TOKENS)
            eventlet.sleep(5 * SHORT_S)
            response = read_response(sock, LONG_S)
        self.assertTrue(response.is_complete)
        self.assertEqual(len(response.body.split(b"\n\n")), LARGE_EVENTS + 1)

    def test_request_that_a_stopping_gateway_has_not_read_counts_as_run(self):
        self.start(call_rule(CallKind.ONCE, timeout_s=6.0), answer(), gateways=2)
        gateway = self.gateways[0]
        for replica in self.fleet.replicas:
            self.router.paths._sender._gateways.note_reached(
                replica.address, gateway.member
            )
        gateway.forward_edge.refuse_incomplete()
        response = self.router.fetch(body=LARGE_BODY, ms=round(LONG_S * 1e3))
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(self.ran(), 1)

    def test_stop_of_a_gateway_that_still_reads_is_not_held_against_the_replica(self):
        self.start(call_rule(CallKind.ONCE, timeout_s=6.0), answer())
        edge, read = self.gateways[0].forward_edge, CallerConnection._read_event

        def read_slowly(conn):
            if conn._server is edge:
                eventlet.sleep(0.05)
            return read(conn)

        eventlet.spawn_after(1.2, edge.refuse_incomplete)
        with mock.patch.object(CallerConnection, "_read_event", read_slowly):
            self.router.fetch(body=LARGE_BODY, ms=3000)
        self.assertEqual(self.ran(), 0)
        state = self.router.registry.of_pool("engines")[0]
        self.assertEqual(state.failure_share, 0.0)
