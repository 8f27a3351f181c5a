import collections
import unittest

import eventlet

from boragedeck.version.routing import CallKind
from tests.support.full_replicas import FullReplica
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    head_of,
    send_chunk,
    stream_rule,
)

CALLERS = 6
ROUNDS = 3
MAX_CONNS = 2
MAX_ATTEMPTS = 2
WORK_S = 0.1
RESETS_AFTER_S = (0.0, 0.03)
EVENTS = 4
ALL_EVENTS = b"".join(event(number) for number in range(1, EVENTS + 1))


def work(sock, req):
    """Answer after a while."""
    eventlet.sleep(WORK_S)
    return answer()(sock, req)


def stream(sock, req):
    """Stream the events that a caller lacks, over some time."""
    first = int(req.headers.get(b"last-event-id", b"0")) + 1
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in range(first, EVENTS + 1):
        eventlet.sleep(WORK_S / EVENTS)
        send_chunk(sock, event(number))
    sock.sendall(b"0\r\n\r\n")
    return True


class FullReplicaTest(unittest.TestCase):
    def setUp(self):
        self.sent = collections.Counter()

    def harness(self, rule):
        harness = RelayHarness(rule)
        self.addCleanup(harness.close)
        send = harness.upstreams.send

        def count(address, message, *args):
            self.sent[message.request_id] += bool(message.request_id)
            return send(address, message, *args)

        harness.upstreams.send = count
        return harness

    def fleet(self, rule, step, reset_after_s):
        """Return a harness, a replica that is soon full and one with much room."""
        harness = self.harness(rule)
        full = FullReplica(
            "one", step, max_conns=MAX_CONNS, reset_after_s=reset_after_s
        )
        roomy = ScriptedReplica("two", step)
        harness.add(full)
        harness.add(roomy, domain="b")
        return harness, full, roomy

    def load(self, harness):
        """Send requests from several callers at once; return the responses."""
        names = [
            [b"%d-%d" % (caller, each) for each in range(ROUNDS)]
            for caller in range(CALLERS)
        ]

        def call(own):
            sock = harness.connect()
            return [harness.fetch(sock=sock, name=name) for name in own]

        threads = [eventlet.spawn(call, own) for own in names]
        return [response for thread in threads for response in thread.wait()]

    def runs(self, *replicas):
        """Return how often replicas have read each request."""
        return collections.Counter(
            req.headers[b"request-id"]
            for replica in replicas
            for req in replica.relayed()
        )

    def test_idempotent_calls_beyond_the_connections_are_lost(self):
        for reset_after_s in RESETS_AFTER_S:
            with self.subTest(reset_after_s=reset_after_s):
                self.sent.clear()
                rule = call_rule(max_attempts=MAX_ATTEMPTS, goal_s=2.0)
                harness, full, _ = self.fleet(rule, work, reset_after_s)
                responses = self.load(harness)
                self.assertEqual({each.status for each in responses}, {200})
                self.assertGreater(full.resets, 0)
                self.assertLessEqual(max(self.sent.values()), MAX_ATTEMPTS)

    def test_call_is_sent_more_often_than_allowed_if_all_replicas_are_full(self):
        rule = call_rule(max_attempts=MAX_ATTEMPTS, goal_s=2.0)
        harness = self.harness(rule)
        fulls = [FullReplica(name, work, max_conns=1) for name in ("a", "b", "c")]
        harness.add(*fulls)
        responses = self.load(harness)
        self.assertLessEqual({each.status for each in responses}, {200, 502, 503})
        self.assertTrue(all(each.is_complete for each in responses))
        self.assertGreater(sum(full.resets for full in fulls), CALLERS)
        self.assertEqual(max(self.sent.values()), MAX_ATTEMPTS)

    def test_call_that_may_run_once_runs_again_after_a_reset(self):
        for reset_after_s in RESETS_AFTER_S:
            with self.subTest(reset_after_s=reset_after_s):
                self.sent.clear()
                rule = call_rule(CallKind.ONCE, max_attempts=5)
                harness, full, roomy = self.fleet(rule, work, reset_after_s)
                responses = self.load(harness)
                self.assertLessEqual({each.status for each in responses}, {200, 502})
                self.assertGreater(full.resets, 0)
                self.assertEqual(max(self.sent.values()), 1)
                served = sum(each.status == 200 for each in responses)
                self.assertEqual(sum(self.runs(full, roomy).values()), served)

    def test_streams_beyond_the_connections_are_lost(self):
        for reset_after_s in RESETS_AFTER_S:
            with self.subTest(reset_after_s=reset_after_s):
                self.sent.clear()
                harness, full, _ = self.fleet(stream_rule(), stream, reset_after_s)
                responses = self.load(harness)
                bodies = {each.body for each in responses if each.is_complete}
                self.assertEqual(bodies, {ALL_EVENTS})
                self.assertEqual(len(responses), CALLERS * ROUNDS)
                self.assertTrue(all(each.is_complete for each in responses))
                self.assertGreater(full.resets, 0)
                limit = stream_rule().max_attempts
                self.assertLessEqual(max(self.sent.values()), limit)

    def test_kept_connection_that_was_reset_costs_the_next_call(self):
        harness = self.harness(call_rule(CallKind.ONCE, max_attempts=1))
        full = FullReplica("one", work, max_conns=MAX_CONNS)
        harness.add(full)
        # The newest connection is kept last, so that it is the next to be used.
        first = eventlet.spawn(harness.fetch, name=b"a-0")
        eventlet.sleep(WORK_S / 2)
        second = eventlet.spawn(harness.fetch, name=b"a-1")
        self.assertEqual([first.wait().status, second.wait().status], [200, 200])
        full.lower_to(1)
        eventlet.sleep(0)
        for each in range(ROUNDS):
            self.assertEqual(harness.fetch(name=b"b-%d" % each).status, 200)
        self.assertEqual(full.resets, 1)
        self.assertEqual(full.connections, MAX_CONNS)

    def test_running_stream_is_cut_by_resets_of_other_connections(self):
        harness = self.harness(stream_rule(is_resumable=False, max_attempts=1))
        full = FullReplica("one", stream, max_conns=1)
        harness.add(full)
        first = eventlet.spawn(harness.fetch, name=b"first")
        eventlet.sleep(WORK_S / EVENTS)
        others = [harness.fetch(name=b"%d" % each) for each in range(ROUNDS)]
        response = first.wait()
        self.assertEqual((response.body, response.is_complete), (ALL_EVENTS, True))
        self.assertEqual(self.sent[b"first"], 1)
        self.assertGreater(full.resets, 0)
        self.assertLessEqual({each.status for each in others}, {200, 502, 503})
