"""Streams that lack nothing, and whose order must not be doubted."""

import unittest

from boragedeck.process.relaying.relay_metrics import OrderCheck
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    event,
    head_of,
    send_chunk,
    stream_rule,
)

COMMENT = b": still there\n\n"
PLAIN = b"data: without an id\n\n"


def stream(*chunks, ends=True):
    """Return a step that streams chunks as they are."""

    def step(sock, req):
        sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
        for chunk in chunks:
            send_chunk(sock, chunk)
        if ends:
            sock.sendall(b"0\r\n\r\n")
        return ends

    return step


class SoundStreamTest(unittest.TestCase):
    def assert_passed_on(self, *chunks, lines=(), lost=None, rest=(), **fields):
        """Check that a stream is whole, also if its first replica is lost in it."""
        harness = RelayHarness(stream_rule(**{"timeout_s": 3.0} | fields))
        self.addCleanup(harness.close)
        if lost is None:
            harness.add(ScriptedReplica("one", stream(*chunks)))
        else:
            cut = stream(*lost, ends=False)
            replica = ScriptedReplica("one", cut, stream(*rest))
            harness.add(replica)
        response = harness.fetch(*lines)
        expected = b"".join([*(lost or ()), *(rest or chunks)])
        self.assertEqual((response.status, response.body), (200, expected))
        self.assertTrue(response.is_complete)
        for check in OrderCheck:
            count = harness.metrics.order_breaks.labels(check.value)._value.get()
            self.assertEqual(count, 0)

    def test_comments_only_are_refused(self):
        self.assert_passed_on(COMMENT, COMMENT)

    def test_events_without_ids_are_refused(self):
        self.assert_passed_on(PLAIN, PLAIN)

    def test_comment_before_the_first_id_is_taken_for_a_lost_event(self):
        self.assert_passed_on(COMMENT, PLAIN, event(1), event(2))

    def test_event_without_id_behind_the_last_one_is_taken_for_a_lost_event(self):
        self.assert_passed_on(event(1), event(2), PLAIN)

    def test_first_id_of_zero_is_taken_for_a_lost_event(self):
        self.assert_passed_on(event(0), event(1))

    def test_stream_without_any_event_is_refused(self):
        self.assert_passed_on()

    def test_caller_that_has_event_zero_gets_nothing(self):
        self.assert_passed_on(event(1), event(2), lines=[b"Last-Event-Id: 0"])

    def test_caller_that_has_the_last_event_gets_no_end(self):
        self.assert_passed_on(lines=[b"Last-Event-Id: 4"])

    def test_caller_that_has_the_last_event_gets_no_comment(self):
        self.assert_passed_on(COMMENT, lines=[b"Last-Event-Id: 4"])

    def test_caller_that_goes_on_where_streams_are_not_resumable_gets_nothing(self):
        lines = [b"Last-Event-Id: 4"]
        self.assert_passed_on(event(5), event(6), lines=lines, is_resumable=False)

    def test_stream_that_was_lost_behind_event_zero_is_broken_off(self):
        self.assert_passed_on(lost=[event(0)], rest=[event(1), event(2)])

    def test_stream_that_was_lost_behind_a_comment_is_broken_off(self):
        self.assert_passed_on(lost=[event(1), COMMENT], rest=[event(2)])

    def test_stream_that_was_lost_before_its_first_id_is_broken_off(self):
        self.assert_passed_on(lost=[COMMENT], rest=[COMMENT, event(1), event(2)])

    def test_resumed_stream_that_was_lost_is_broken_off(self):
        lines = [b"Last-Event-Id: 4"]
        self.assert_passed_on(lines=lines, lost=[event(5)], rest=[event(6)])
