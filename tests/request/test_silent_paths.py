import unittest

import eventlet

from boragedeck.request.relay_job import MAX_WAIT_SHARE
from boragedeck.version.routing import CallKind, RelayPool
from tests.support.cut_fleet import Cut, CutFleet
from tests.support.replicas import (
    ENGINE,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    head_of,
    report_model,
    send_chunk,
    stream_rule,
)

ENGINES = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
EVENTS = 12
INTERVAL_S = 0.05
SILENCE_AFTER_S = 0.2
SILENCE_S = 1.2
VERDICT_S = 3.0
MANY_MS = 8000
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


def serve(step):
    """Return a step that also answers probes."""

    def run(sock, req):
        is_probe = b"request-id" not in req.headers
        return (report_model if is_probe else step)(sock, req)

    return run


def stream(sock, req):
    """Stream events at an even pace."""
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in range(int(req.headers.get(b"last-event-id", 0)) + 1, EVENTS + 1):
        send_chunk(sock, event(number))
        eventlet.sleep(INTERVAL_S)
    sock.sendall(b"0\r\n\r\n")
    return True


def slow_answer(sock, req):
    """Answer during the silence."""
    eventlet.sleep(2.0 * SILENCE_AFTER_S)
    return answer()(sock, req)


class SilentPathCase(unittest.TestCase):
    """Connects to silent replicas time out, as to a machine that is paused."""

    def start(self, rule, step, routers=3, replicas=2):
        scripted = [ScriptedReplica(f"r-{n}", serve(step)) for n in range(replicas)]
        pool = ENGINES if rule.kind is CallKind.STREAM else None
        self.fleet = CutFleet(routers, scripted, rule=rule, pool=pool)
        self.addCleanup(self.fleet.close)

    def fetch(self, *cut, count=1, silence_s=SILENCE_S, ms=MANY_MS):
        """Return the responses to requests during which all replicas are silent.

        Connects of some routers time out meanwhile; those of the others succeed.
        """
        router = self.fleet.routers[0]
        fetched = [
            eventlet.spawn(router.fetch, TOKENS, name=b"id-%d" % number, ms=ms)
            for number in range(count)
        ]
        eventlet.sleep(SILENCE_AFTER_S)
        self.fleet.cut(Cut.STALL, *cut)
        for replica in self.fleet.replicas:
            replica.silence.begin_for(silence_s)
        eventlet.sleep(silence_s)
        self.fleet.cut(None, *cut)
        return [thread.wait() for thread in fetched]

    def ran(self):
        """Return the number of callers' requests that reached a replica."""
        return sum(len(each.relayed()) for each in self.fleet.replicas)

    def reported(self):
        """Return the number of crashes that were reported."""
        metrics = [each.metrics for each in self.fleet.routers]
        return sum(each.crashes_reported._value.get() for each in metrics)

    def assert_whole(self, *responses, body=WHOLE):
        for response in responses:
            self.assertEqual((response.status, response.body), (200, body))
            self.assertTrue(response.is_complete)


class SilentPathTest(SilentPathCase):
    """Requests that run when their replicas fall silent."""

    def test_silence_to_all_routers_cuts_a_stream_that_cannot_be_resumed(self):
        self.start(stream_rule(is_resumable=False, timeout_s=8.0), stream)
        self.assert_whole(*self.fetch(0, 1, 2))
        self.assertEqual(self.ran(), 1)

    def test_silence_to_one_router_cuts_a_stream_that_cannot_be_resumed(self):
        self.start(stream_rule(is_resumable=False, timeout_s=8.0), stream)
        self.assert_whole(*self.fetch(0))
        self.assertEqual(self.ran(), 1)

    def test_silence_to_all_routers_cuts_a_stream_that_can_be_resumed(self):
        self.start(stream_rule(max_attempts=2, timeout_s=8.0), stream)
        self.assert_whole(*self.fetch(0, 1, 2))

    def test_silence_to_all_routers_loses_a_call_that_may_run_once(self):
        rule = call_rule(CallKind.ONCE, goal_s=0.3, timeout_s=4.0)
        self.start(rule, slow_answer)
        self.assert_whole(*self.fetch(0, 1, 2), body=b"whole")
        self.assertEqual(self.ran(), 1)

    def test_silence_to_one_router_loses_a_call_that_may_run_once(self):
        rule = call_rule(CallKind.ONCE, goal_s=0.3, timeout_s=4.0)
        self.start(rule, slow_answer)
        self.assert_whole(*self.fetch(0), body=b"whole")
        self.assertEqual(self.ran(), 1)

    def test_silence_of_all_replicas_is_reported_as_crashes(self):
        self.start(stream_rule(timeout_s=8.0), stream, replicas=6)
        self.assert_whole(*self.fetch(0, 1, 2, count=12))
        eventlet.sleep(VERDICT_S)
        self.assertEqual(self.reported(), 0)

    def test_machines_that_are_lost_without_a_reset_are_not_reported(self):
        self.start(stream_rule(timeout_s=8.0), stream, replicas=2)
        self.fetch(0, 1, 2, count=4, silence_s=VERDICT_S, ms=2500)
        self.assertEqual(self.reported(), 2)


class NewRequestTest(SilentPathCase):
    """Requests that arrive while no replica accepts a connection."""

    def fetch_new(self, silence_s=SILENCE_S, cut=Cut.STALL, count=8):
        """Return the responses to requests during a silence, and how long each took."""
        router = self.fleet.routers[0]
        self.fleet.cut(cut, *range(len(self.fleet.routers)))
        for replica in self.fleet.replicas:
            replica.silence.begin_for(silence_s)
        eventlet.spawn_after(
            silence_s, self.fleet.cut, None, *range(len(self.fleet.routers))
        )

        def fetch(number):
            began = router.timers.now()
            response = router.fetch(TOKENS, name=b"id-%d" % number, ms=MANY_MS)
            return response, router.timers.now() - began

        threads = []
        for number in range(count):
            threads.append(eventlet.spawn(fetch, number))
            eventlet.sleep(SILENCE_S / (2 * count))
        return [thread.wait() for thread in threads]

    def test_silence_of_all_replicas_refuses_new_streams(self):
        self.start(stream_rule(is_resumable=False, timeout_s=4.0), stream)
        self.assert_whole(*(response for response, _ in self.fetch_new()))
        self.assertEqual(self.ran(), 8)

    def test_silence_of_all_replicas_refuses_new_calls(self):
        self.start(call_rule(CallKind.ONCE, goal_s=0.3, timeout_s=4.0), answer())
        responses = [response for response, _ in self.fetch_new()]
        self.assert_whole(*responses, body=b"whole")
        self.assertEqual(self.ran(), 8)

    def test_wait_for_replicas_that_never_accept_uses_up_the_caller_s_time(self):
        rule = call_rule(CallKind.ONCE, goal_s=0.3, timeout_s=3.0)
        self.start(rule, answer())
        for response, took_s in self.fetch_new(silence_s=4.0):
            self.assertEqual(response.status, 503)
            self.assertIn(b"retry-after", response.headers)
            self.assertGreater(took_s, 0.5 * MAX_WAIT_SHARE * rule.timeout_s)
            self.assertLess(took_s, rule.timeout_s)
        self.assertEqual(self.ran(), 0)
