import unittest
from unittest import mock

import eventlet

from boragedeck.interfaces import Outcome
from boragedeck.request import stream_attempt
from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    event,
    events,
    head_of,
    report_model,
    send_chunk,
    stream_rule,
)

ENGINES = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
PAUSE_S = 0.1
SILENCE_S = 0.8
BYTES = 15
"""So many bytes take over twice the time within which an event should be complete."""


def dribble(sock, req):
    """Send an event at once and another byte by byte; answer probes."""
    if b"request-id" not in req.headers:
        return report_model(sock, req)
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    send_chunk(sock, event(1))
    for position in range(BYTES):
        eventlet.sleep(PAUSE_S)
        send_chunk(sock, event(2)[position : position + 1])
    send_chunk(sock, event(2)[BYTES:])
    sock.sendall(b"0\r\n\r\n")
    return True


def dribble_on(sock, req):
    """Send an event at once, and then bytes that complete none; answer probes."""
    if b"request-id" not in req.headers:
        return report_model(sock, req)
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    send_chunk(sock, event(1))
    while True:
        eventlet.sleep(PAUSE_S)
        send_chunk(sock, b"x")


def rest(sock, req):
    """Go on after the first event; answer probes."""
    if b"request-id" not in req.headers:
        return report_model(sock, req)
    return events(2, 3)(sock, req)


class EventStallTest(unittest.TestCase):
    def harness(self, *steps, **fields):
        rule = stream_rule(**{"timeout_s": 6.0, "gap_goal_s": 0.4} | fields)
        harness = RelayHarness(rule, pool=ENGINES)
        self.addCleanup(harness.close)
        self.replicas = [
            ScriptedReplica(f"r-{number}", step) for number, step in enumerate(steps)
        ]
        for replica, domain in zip(self.replicas, "ab", strict=False):
            harness.add(replica, domain=domain)
        self.outcomes = []
        harness.parts.rollouts.note = lambda replica, sample: self.outcomes.append(
            (replica.replica, sample.outcome)
        )
        return harness

    def assert_whole(self, response, last):
        self.assertTrue(response.is_complete)
        whole = b"".join(event(number) for number in range(1, last + 1))
        self.assertEqual(response.body, whole)

    def test_stream_is_cut_while_an_event_dribbles(self):
        for fields in ({"is_resumable": False}, {"max_attempts": 1}):
            with self.subTest(**fields):
                harness = self.harness(dribble, **fields)
                self.assert_whole(harness.fetch(TOKENS, ms=5_000), 2)
                self.assertEqual(len(self.replicas[0].relayed()), 1)

    def test_event_that_is_complete_late_is_cut_though_no_other_replica_is_there(self):
        self.assert_whole(self.harness(dribble).fetch(TOKENS, ms=5_000), 2)

    def test_stream_whose_bytes_complete_no_event_does_not_go_on_elsewhere(self):
        harness = self.harness(dribble_on, rest)
        self.assert_whole(harness.fetch(TOKENS, ms=5_000), 3)
        self.assertEqual([len(each.relayed()) for each in self.replicas], [1, 1])
        self.assertIn(("r-0", Outcome.FAILED), self.outcomes)

    def test_stream_whose_bytes_complete_no_event_never_ends(self):
        harness = self.harness(dribble_on, max_attempts=1)
        response = harness.fetch(TOKENS, ms=1_500)
        self.assertFalse(response.is_complete)
        self.assertEqual(response.body, event(1))
        self.assertIn(("r-0", Outcome.FAILED), self.outcomes)

    def test_silence_in_the_middle_of_an_event_counts_as_a_stall(self):
        def part(sock, req):
            if b"request-id" not in req.headers:
                return report_model(sock, req)
            sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
            for piece in (event(1)[:4], event(1)[4:8], event(1)[8:]):
                send_chunk(sock, piece)
                eventlet.sleep(SILENCE_S)
            sock.sendall(b"0\r\n\r\n")
            return True

        harness = self.harness(part)
        with mock.patch.object(stream_attempt.log, "write") as write:
            self.assert_whole(harness.fetch(TOKENS, ms=5_000), 1)
        lines = [each.args[0] for each in write.call_args_list]
        self.assertNotIn("No event is complete, though bytes arrive.", lines)
        self.assertNotIn(("r-0", Outcome.FAILED), self.outcomes)
