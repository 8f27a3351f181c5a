import eventlet

from boragedeck.process.relaying.draining import DrainPeriod
from boragedeck.version.routing import CallKind
from tests.request.test_silent_gateways import ENGINES, TOKENS, SilentGatewayCase
from tests.support.replicas import (
    answer,
    call_rule,
    read_response,
    send_request,
    stay_silent,
    stream_rule,
)

GRACE_S = 1.2
LONG_S = 25.0


class StopCase(SilentGatewayCase):
    def send(self, *lines):
        sock = self.router.connect()
        send_request(sock, *lines, ms=round(LONG_S * 1e3))
        eventlet.sleep(0.1)
        return sock

    def stop(self, router, edge):
        period = DrainPeriod(router.timers, lambda: GRACE_S)
        period.run([edge], router.parts.open_requests)

    def assert_may_have_run(self, sock):
        response = read_response(sock)
        self.assertEqual((response.status, response.is_complete), (502, True))


class StoppedSenderTest(StopCase):
    """A router stops while a gateway has its request."""

    def test_call_whose_gateway_is_silent_is_cut(self):
        self.start(call_rule(CallKind.ONCE, timeout_s=LONG_S), answer())
        self.fall_silent()
        sock = self.send()
        self.stop(self.router, self.router.edge)
        self.assert_may_have_run(sock)

    def test_stream_whose_gateway_is_silent_is_cut(self):
        self.start(stream_rule(timeout_s=LONG_S), answer(), ENGINES)
        self.fall_silent()
        sock = self.send(TOKENS)
        self.stop(self.router, self.router.edge)
        self.assert_may_have_run(sock)

    def test_call_whose_replica_is_silent_behind_a_gateway_is_cut(self):
        self.start(call_rule(CallKind.ONCE, timeout_s=LONG_S), stay_silent)
        sock = self.send()
        self.assertEqual(self.ran(), 1)
        self.stop(self.router, self.router.edge)
        self.assert_may_have_run(sock)


class StoppedGatewayTest(StopCase):
    """A gateway stops while it waits for a replica."""

    def test_sender_takes_a_call_at_a_gateway_that_stops_for_one_that_has_not_run(self):
        self.start(call_rule(CallKind.ONCE, timeout_s=LONG_S), stay_silent, gateways=2)
        sock = self.send()
        self.assertEqual(self.ran(), 1)
        gateway = next(g for g in self.gateways if g.forward_edge.active_requests())
        self.stop(gateway, gateway.forward_edge)
        for conn in list(gateway.forward_edge._conns):
            conn._shut_down()
        self.assert_may_have_run(sock)
        self.assertEqual(self.ran(), 1)
