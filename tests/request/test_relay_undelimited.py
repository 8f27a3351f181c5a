import struct
import unittest

import eventlet
from eventlet.green import socket

from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    event,
    events,
    head_of,
    stream_rule,
)

POOL = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"


def undelimited(*numbers, cut=b"", resets=False):
    """Return a step that streams events without a length or chunks, then closes."""

    def step(sock, req):
        sock.sendall(head_of(req) + b"\r\n")
        for number in numbers:
            sock.sendall(event(number))
        sock.sendall(cut)
        if resets:
            eventlet.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return False

    return step


def events_up_to(last):
    return b"".join(event(number) for number in range(1, last + 1))


class UndelimitedStreamTest(unittest.TestCase):
    def fetch(self, *steps):
        self.harness = RelayHarness(stream_rule(), pool=POOL)
        self.addCleanup(self.harness.close)
        self.first, self.second = (
            ScriptedReplica(f"engine-{number}", step)
            for number, step in enumerate(steps)
        )
        self.harness.add(self.first)
        self.harness.add(self.second, domain="b")
        return self.harness.fetch(TOKENS)

    def assert_whole(self, response, last):
        self.assertEqual((response.status, response.body), (200, events_up_to(last)))
        self.assertTrue(response.is_complete)

    def test_whole_stream_ends_with_its_connection(self):
        self.assert_whole(self.fetch(undelimited(1, 2, 3), events(9)), 3)
        self.assertEqual((len(self.first.relayed()), self.second.received), (1, []))

    def test_stream_broken_inside_an_event_goes_on_elsewhere(self):
        self.assert_whole(self.fetch(undelimited(1, 2, cut=b"id: 3\nda"), events(3)), 3)

    def test_stream_that_is_reset_goes_on_elsewhere(self):
        self.assert_whole(self.fetch(undelimited(1, 2, resets=True), events(3)), 3)

    def test_stream_that_ends_before_its_first_event_runs_elsewhere(self):
        self.assert_whole(self.fetch(undelimited(), events(1, 2)), 2)

    def test_stream_broken_inside_its_first_event_runs_elsewhere(self):
        self.assert_whole(self.fetch(undelimited(cut=b"id: 1\n"), events(1, 2)), 2)

    def test_resumed_stream_may_be_undelimited_too(self):
        response = self.fetch(undelimited(1, cut=b"id"), undelimited(2, 3))
        self.assert_whole(response, 3)

    def test_broken_stream_that_can_not_go_on_does_not_look_complete(self):
        response = self.fetch(undelimited(1, cut=b"id"), undelimited(cut=b"id"))
        self.assertEqual(response.body, events_up_to(1))
        self.assertFalse(response.is_complete)
