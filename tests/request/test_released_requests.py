import gc
import io
import unittest

import eventlet

from boragedeck.version.routing import CallKind
from tests.request.test_silent_gateways import ENGINES, SilentGatewayCase
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    drop,
    events,
    moved,
    not_run,
    read_response,
    send_request,
    stay_silent,
    stream_rule,
)

BODY = b"b" * 200_000
LARGE = b"a" * 150_000
LARGE_BYTES = 100_000
SETTLED_S = 0.3


class ReleasedCase(unittest.TestCase):
    """Bodies and answers are freed when their request ends, without the collector.

    The collector runs by the number of objects, so large bytes that are left to it pile
    up beside the budget, which counts them as given back.
    """

    def setUp(self):
        super().setUp()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def assert_freed(self):
        """Nothing that only the collector would free refers to large bytes."""
        eventlet.sleep(SETTLED_S)
        gc.set_debug(gc.DEBUG_SAVEALL)
        try:
            gc.collect()
            holders = [type(each).__name__ for each in gc.garbage if _holds(each)]
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
        self.assertEqual(holders, [])


class ReleasedRequestsTest(ReleasedCase):
    """Requests to replicas that this router reaches."""

    def harness(self, rule, *replicas):
        harness = RelayHarness(rule)
        self.addCleanup(harness.close)
        for number, steps in enumerate(replicas):
            harness.add(ScriptedReplica(f"replica-{number}", *steps))
        return harness

    def fetch_and_check(self, rule, *replicas, status=200, body=BODY, ms=1500):
        harness = self.harness(rule, *replicas)
        self.assertEqual(harness.fetch(body=body, ms=ms).status, status)
        self.assert_freed()

    def leave_and_check(self, rule, *replicas):
        """A caller leaves while its request runs."""
        harness = self.harness(rule, *replicas)
        sock = harness.connect()
        send_request(sock, body=BODY)
        eventlet.sleep(SETTLED_S)
        sock.close()
        self.assert_freed()

    def test_call_that_is_answered(self):
        self.fetch_and_check(call_rule(), [answer()])

    def test_call_with_a_large_answer(self):
        self.fetch_and_check(call_rule(), [answer(LARGE)])

    def test_call_that_fails(self):
        self.fetch_and_check(call_rule(), [answer(LARGE, 500)], status=500)

    def test_call_that_is_sent_again(self):
        step = in_turn(drop, answer())
        self.fetch_and_check(call_rule(), [step], [step])

    def test_call_that_no_replica_runs(self):
        for step in (not_run, moved):
            with self.subTest(step=step.__name__):
                rule = call_rule(CallKind.ONCE)
                self.fetch_and_check(rule, [step], status=503, ms=600)

    def test_call_without_an_answer_in_time(self):
        self.fetch_and_check(call_rule(), [stay_silent], status=504, ms=600)

    def test_call_that_is_hedged(self):
        step = in_turn(stay_silent, answer(LARGE))
        self.fetch_and_check(call_rule(goal_s=0.2), [step], [step])

    def test_call_whose_answer_breaks_off(self):
        def cut(sock, req):
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + LARGE)
            return False

        self.fetch_and_check(call_rule(max_attempts=1), [cut], status=502)

    def test_call_of_a_caller_that_leaves(self):
        self.leave_and_check(call_rule(), [stay_silent])

    def test_call_on_an_unknown_route(self):
        harness = self.harness(call_rule(), [answer()])
        self.assertEqual(harness.fetch(path=b"/other", body=BODY).status, 404)
        self.assert_freed()

    def test_call_without_a_replica(self):
        self.fetch_and_check(call_rule(), status=503)

    def test_stream_that_is_whole(self):
        self.fetch_and_check(stream_rule(), [events(1, 2)])

    def test_stream_that_is_resumed(self):
        step = in_turn(events(1, 2, ends=False), events(3))
        self.fetch_and_check(stream_rule(), [step], [step])

    def test_stream_that_breaks_off(self):
        self.fetch_and_check(
            stream_rule(max_attempts=1, is_resumable=False), [events(1, ends=False)]
        )

    def test_stream_whose_replica_is_silent(self):
        step = in_turn(events(1, ends=False, then=stay_silent), events(2))
        self.fetch_and_check(stream_rule(gap_goal_s=0.1), [step], [step])

    def test_stream_without_an_answer_in_time(self):
        self.fetch_and_check(stream_rule(), [stay_silent], status=504, ms=600)

    def test_stream_of_a_caller_that_leaves(self):
        step = events(1, ends=False, then=stay_silent)
        self.leave_and_check(stream_rule(), [step])

    def test_requests_on_a_kept_connection(self):
        harness = self.harness(call_rule(), [answer()])
        sock = harness.connect()
        for number in range(3):
            name = b"kept-%d" % number
            harness.fetch(sock=sock, body=BODY, name=name)
        self.assert_freed()

    def test_requests_that_are_sent_ahead(self):
        harness = self.harness(call_rule(), [answer()])
        sock = harness.connect()
        for number in range(3):
            send_request(sock, body=BODY, name=b"ahead-%d" % number)
        read_response(sock)
        sock.close()
        self.assert_freed()

    def test_body_that_stops_short(self):
        harness = self.harness(call_rule(), [answer()])
        sock = harness.connect()
        head = b"POST /r/x HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n"
        sock.sendall(head + BODY)
        eventlet.sleep(SETTLED_S)
        sock.close()
        self.assert_freed()


class ReleasedGatewayTest(ReleasedCase, SilentGatewayCase):
    """Requests that another router passes on."""

    def fetch_and_check(self, rule, step, pool=None):
        self.start(rule, step, pool)
        for number in range(3):
            name = b"forwarded-%d" % number
            response = self.router.fetch(body=BODY, name=name, ms=3_000)
            self.assertEqual(response.status, 200)
        self.assert_freed()

    def test_call(self):
        self.fetch_and_check(call_rule(), answer(LARGE))

    def test_stream(self):
        self.fetch_and_check(stream_rule(), events(1, 2), ENGINES)


def in_turn(*steps):
    """Return a step that replicas share, which does what the next of `steps` does."""
    left = list(steps)

    def step(sock, req):
        current = left.pop(0) if len(left) > 1 else left[0]
        return current(sock, req)

    return step


def _holds(found):
    """Return whether an object refers to large bytes."""
    return any(_size(each) >= LARGE_BYTES for each in gc.get_referents(found))


def _size(found):
    if isinstance(found, bytes | bytearray | memoryview):
        return len(found)
    if isinstance(found, io.BytesIO) and not found.closed:
        return found.getbuffer().nbytes
    return 0
