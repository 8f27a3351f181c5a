"""What streams through a real router show of their replica's speed."""

import unittest

import eventlet

from boragedeck.process.relaying.speeds.stream_sampler import WINDOW_EVENTS, WINDOWS
from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    event,
    events,
    send_chunk,
    stream_rule,
)

POOL = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"
EVENTS = 1 + 2 * WINDOW_EVENTS * WINDOWS
GAP_S = 0.005


class StreamSpeedTest(unittest.TestCase):
    def setUp(self):
        self.harness = RelayHarness(stream_rule(), pool=POOL)
        self.addCleanup(self.harness.close)
        self.noted = []
        self.harness.parts.speeds.note_stream = lambda *noted: self.noted.append(noted)

    def even_events(self, first):
        """Return a script that streams the events from one to the last, evenly."""

        def stream(sock, req):
            for number in range(first + 1, EVENTS + 1):
                eventlet.sleep(GAP_S)
                send_chunk(sock, event(number))
            sock.sendall(b"0\r\n\r\n")
            return True

        return events(first, ends=False, then=stream)

    def test_long_stream_gives_one_sample(self):
        self.harness.add(ScriptedReplica("one", self.even_events(1)))
        response = self.harness.fetch(TOKENS)
        self.assertTrue(response.is_complete)
        ((state, times),) = self.noted
        self.assertEqual(state.replica.replica, "one")
        self.assertGreaterEqual(times.event_s, 0.5 * GAP_S)
        self.assertGreater(times.read_s, 0.0)

    def test_resumed_stream_gives_no_sample(self):
        self.harness.add(ScriptedReplica("one", events(1, 2, ends=False)))
        self.harness.add(ScriptedReplica("two", self.even_events(3)), domain="b")
        response = self.harness.fetch(TOKENS)
        self.assertTrue(response.is_complete)
        self.assertEqual(self.noted, [])

    def test_stream_that_its_caller_resumes_gives_no_sample(self):
        self.harness.add(ScriptedReplica("one", self.even_events(8)))
        response = self.harness.fetch(TOKENS, b"Last-Event-Id: 7")
        self.assertTrue(response.is_complete)
        self.assertEqual(self.noted, [])

    def test_short_stream_gives_no_sample(self):
        self.harness.add(ScriptedReplica("one", events(*range(1, WINDOW_EVENTS))))
        self.harness.fetch(TOKENS)
        self.assertEqual(self.noted, [])
