import struct
import unittest
from unittest import mock

import eventlet
import msgspec
from eventlet.green import socket

from boragedeck.connection.request_body import RequestBody
from boragedeck.request import relay_job
from boragedeck.request.relay_call import CallRelay
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_request import RelayRequest
from boragedeck.version.routing import CallKind
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    drop,
    head_of,
    moved,
    not_run,
    report_model,
    send_request,
    stay_silent,
)

CLOSE_EARLY_S = 0.05


class CallTest(unittest.TestCase):
    def harness(self, rule=None, **fields):
        harness = RelayHarness(rule, **fields)
        self.addCleanup(harness.close)
        return harness

    def test_answer_is_passed_on_unchanged(self):
        harness = self.harness()
        replica = ScriptedReplica("one", answer(b"hello"))
        harness.add(replica)
        response = harness.fetch(b"X-Own: 1", body=b"abc")
        self.assertEqual((response.status, response.body), (200, b"hello"))
        self.assertEqual(response.headers[b"response-seal"], b"seal")
        received = replica.received[0]
        self.assertEqual((received.target, received.body), (b"/r/x", b"abc"))
        self.assertEqual(received.headers[b"x-own"], b"1")
        self.assertEqual(received.headers[b"host"], b"Here.example")

    def test_headers_set_by_the_router_are_not_taken_from_the_caller(self):
        harness = self.harness()
        replica = ScriptedReplica("one", answer())
        harness.add(replica)
        harness.fetch(b"Tenant: other", b"Kv-Backup: 1.1.1.1:1", b"Hold: 3")
        headers = replica.received[0].headers
        self.assertEqual(headers[b"tenant"], b"org-1")
        self.assertEqual(headers[b"expect-instance"], b"one")
        self.assertLessEqual(int(headers[b"deadline-ms"]), 2000)
        for name in (b"api-key", b"kv-backup", b"hold"):
            self.assertNotIn(name, headers)

    def test_header_listed_in_connection_is_not_passed_on(self):
        harness = self.harness()
        replica = ScriptedReplica("one", answer())
        harness.add(replica)
        harness.fetch(b"Connection: X-Hop, keep-alive", b"X-Hop: 1")
        self.assertNotIn(b"x-hop", replica.received[0].headers)

    def test_stopping_router_refuses_calls_of_which_it_knows_few(self):
        harness = self.harness(call_rule(goal_s=0.5, timeout_s=4.0))
        replica = ScriptedReplica("one", answer())
        harness.add(replica)
        harness.time_left_s = 1.5
        self.assertEqual(harness.fetch().status, 200)
        harness.time_left_s = 0.9
        self.assertEqual(harness.fetch(name=b"id-2").status, 503)
        self.assertEqual(len(replica.relayed()), 1)

    def test_unknown_key_and_route_are_refused(self):
        harness = self.harness()
        replica = ScriptedReplica("one", answer())
        harness.add(replica)
        self.assertEqual(harness.fetch(path=b"/s/x").status, 404)
        harness.table.organisations.clear()
        self.assertEqual(harness.fetch().status, 401)
        self.assertEqual(replica.received, [])

    def test_idempotent_call_is_repeated_after_a_lost_answer(self):
        harness = self.harness()
        one = ScriptedReplica("one", drop)
        two = ScriptedReplica("two", answer(b"two"))
        harness.add(one)
        harness.add(two, domain="b")
        response = harness.fetch()
        self.assertEqual((response.status, response.body), (200, b"two"))
        self.assertEqual((len(one.received), len(two.received)), (1, 1))

    def test_call_that_may_run_once_is_not_repeated_after_a_lost_answer(self):
        harness = self.harness(call_rule(CallKind.ONCE, max_attempts=5))
        one, two = ScriptedReplica("one", drop), ScriptedReplica("two", answer())
        harness.add(one)
        harness.add(two, domain="b")
        response = harness.fetch()
        self.assertEqual(response.status, 502)
        self.assertNotIn(b"retry-after", response.headers)
        self.assertEqual((len(one.received), len(two.received)), (1, 0))

    def test_call_that_was_not_run_goes_to_another_replica(self):
        harness = self.harness(call_rule(CallKind.ONCE, max_attempts=2))
        one, two = ScriptedReplica("one", not_run), ScriptedReplica("two", answer())
        harness.add(one)
        harness.add(two, domain="b")
        self.assertEqual(harness.fetch().status, 200)

    def test_refusal_has_retry_after_if_nothing_ran(self):
        harness = self.harness(call_rule(CallKind.ONCE, max_attempts=1))
        replica = ScriptedReplica("one", not_run)
        harness.add(replica)
        response = harness.fetch()
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers[b"retry-after"]), 0.0)
        self.assertEqual(len(replica.received), 1)

    def test_call_is_not_sent_to_more_replicas_than_allowed(self):
        harness = self.harness(call_rule(max_attempts=2))
        replicas = [ScriptedReplica(name, drop) for name in ("one", "two", "three")]
        harness.add(*replicas)
        self.assertEqual(harness.fetch().status, 502)
        self.assertEqual(sum(len(replica.received) for replica in replicas), 2)

    def test_replica_at_a_reused_address_is_forgotten(self):
        harness = self.harness()
        one, two = ScriptedReplica("one", moved), ScriptedReplica("two", answer())
        harness.add(one)
        harness.add(two, domain="b")
        self.assertEqual(harness.fetch().status, 200)
        self.assertIsNone(harness.registry.get("one"))

    def test_slow_idempotent_call_is_hedged_at_a_second_replica(self):
        harness = self.harness(call_rule(goal_s=0.2))
        one, two = ScriptedReplica("one", stay_silent), ScriptedReplica("two", answer())
        harness.add(one)
        harness.add(two, domain="b")
        began = harness.timers.now()
        self.assertEqual(harness.fetch().status, 200)
        self.assertLess(harness.timers.now() - began, 1.0)
        eventlet.sleep(0.05)
        self.assertEqual(one.closed_after, [])
        self.assertEqual(harness.registry.get("one").own.running, 0)

    def test_wait_for_a_silent_replica_ends_at_the_route_timeout(self):
        harness = self.harness(call_rule(CallKind.ONCE, timeout_s=0.3))
        harness.add(ScriptedReplica("one", stay_silent))
        began = harness.timers.now()
        response = harness.fetch()
        self.assertEqual(response.status, 504)
        self.assertLess(harness.timers.now() - began, 0.8)

    def test_failure_of_the_replica_is_passed_on(self):
        harness = self.harness(call_rule(CallKind.ONCE))
        harness.add(ScriptedReplica("one", answer(b"bad", 500)))
        response = harness.fetch()
        self.assertEqual((response.status, response.body), (500, b"bad"))
        self.assertEqual(response.headers[b"response-seal"], b"seal")

    def test_call_without_replicas_is_refused_in_time_for_a_retry(self):
        harness = self.harness(call_rule(timeout_s=1.0))
        began = harness.timers.now()
        response = harness.fetch()
        self.assertEqual(response.status, 503)
        self.assertIn(b"retry-after", response.headers)
        # The caller has time to retry.
        self.assertLess(harness.timers.now() - began, 0.6)

    def test_retry_after_without_a_routing_table_is_long_and_spread(self):
        harness = self.harness()
        harness.table = msgspec.structs.replace(harness.table, version=0)
        harness.add(ScriptedReplica("one", answer()))
        waits_s = []
        for number in range(20):
            response = harness.fetch(name=b"id-%d" % number, ms=3000)
            self.assertEqual(response.status, 503)
            waits_s.append(float(response.headers[b"retry-after"]))
        # A caller follows a Retry-After of at most a third of its time-out, and may
        # retry once.
        self.assertLessEqual(max(waits_s), 1.0)
        self.assertGreaterEqual(min(waits_s), 0.74)
        self.assertGreater(max(waits_s) - min(waits_s), 0.1)

    def test_caller_disconnect_stops_the_call(self):
        harness = self.harness(call_rule(CallKind.ONCE))
        ended = []

        def note_end(sock, req):
            stay_silent(sock, req)
            ended.append(req)
            return False

        replica = ScriptedReplica("one", note_end)
        harness.add(replica)
        sock = harness.connect()
        send_request(sock)
        eventlet.sleep(0.1)
        self.assertEqual(len(replica.received), 1)
        sock.close()
        eventlet.sleep(0.1)
        self.assertEqual(len(ended), 1)
        self.assertEqual(harness.registry.get("one").own.running, 0)
        self.assertEqual(harness.edge.active_requests(), 0)


class KilledCallTest(unittest.TestCase):
    def test_place_of_an_attempt_that_never_started_is_released(self):
        harness = RelayHarness()
        self.addCleanup(harness.close)
        harness.add(ScriptedReplica("one", stay_silent))
        req = RelayRequest(
            request_id="id-1",
            method=b"GET",
            target=b"/r/x",
            host="here.example",
            path="/r/x",
            headers=[],
            body=RequestBody(),
            key=None,
            caller_timeout_s=2.0,
            arrived=harness.timers.now(),
            received=harness.timers.now(),
        )
        rule = call_rule()
        pool = harness.table.pools["engines"]
        channel = mock.Mock(has_begun=False)
        job = RelayJob(harness.parts, req, rule, pool, None, 1, channel)
        relay = eventlet.spawn(CallRelay(job).run)
        eventlet.spawn_n(relay.kill)
        eventlet.sleep(0.05)
        self.assertTrue(relay.dead)
        self.assertEqual(harness.registry.get("one").own.running, 0)


class BadAnswerTest(unittest.TestCase):
    def fetch(self, step, kind=CallKind.ONCE, **fields):
        harness = RelayHarness(call_rule(kind, **fields))
        self.addCleanup(harness.close)
        self.replica = ScriptedReplica("one", step)
        harness.add(self.replica)
        self.harness = harness
        return harness.fetch()

    def test_truncated_answer_gives_502(self):
        def cut(sock, req):
            sock.sendall(head_of(req, 200, b"Content-Length: 9") + b"\r\nhalf")
            return False

        response = self.fetch(cut)
        self.assertEqual(response.status, 502)
        self.assertNotIn(b"half", response.body)

    def test_answer_without_length_ends_with_its_connection(self):
        def unframed(sock, req):
            sock.sendall(head_of(req) + b"\r\nwhole body")
            return False

        response = self.fetch(unframed)
        self.assertEqual((response.status, response.body), (200, b"whole body"))
        self.assertTrue(response.is_complete)

    def test_reset_answer_without_length_gives_502(self):
        def reset(sock, req):
            sock.sendall(head_of(req) + b"\r\nhalf")
            eventlet.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return False

        self.assertEqual(self.fetch(reset).status, 502)

    def test_success_without_seal_and_id_gives_502(self):
        def unsealed(sock, req):
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            return True

        self.assertEqual(self.fetch(unsealed).status, 502)

    def test_answer_with_content_encoding_gives_502(self):
        def encoded(sock, req):
            lines = b"Content-Encoding: gzip", b"Content-Length: 2"
            sock.sendall(head_of(req, 200, *lines) + b"\r\nhi")
            return True

        self.assertEqual(self.fetch(encoded).status, 502)

    def test_late_answer_to_another_request_is_skipped(self):
        def stray(sock, req):
            answer(b"other", request_id=b"id-0")(sock, req)
            return answer(b"mine")(sock, req)

        response = self.fetch(stray)
        self.assertEqual((response.status, response.body), (200, b"mine"))

    def test_bytes_after_an_answer_close_the_connection(self):
        def twice(sock, req):
            answer(b"first")(sock, req)
            return answer(b"again")(sock, req)

        self.assertEqual(self.fetch(twice).body, b"first")
        eventlet.sleep(0.05)
        self.assertEqual(self.harness.fetch(name=b"id-2").status, 200)
        self.assertEqual(self.replica.connections, 2)

    def test_answer_that_is_not_http_gives_502(self):
        def not_http(sock, req):
            sock.sendall(b"\x00\x01 what\r\n\r\n")
            return False

        self.assertEqual(self.fetch(not_http).status, 502)


class ReplicaTimeTest(unittest.TestCase):
    """Replicas end calls by themselves at the time that they were told."""

    def broken(self, early_s):
        """Return what is noted if a replica closes this long before that time."""

        def close(sock, req):
            if b"request-id" not in req.headers:
                return report_model(sock, req)
            eventlet.sleep(int(req.headers[b"deadline-ms"]) / 1e3 - early_s)
            return False

        harness = RelayHarness(call_rule(max_attempts=1))
        self.addCleanup(harness.close)
        harness.add(ScriptedReplica("one", close))
        blame = harness.parts.crash_blame
        with (
            mock.patch.object(relay_job, "DEADLINE_RESOLUTION_S", 2 * CLOSE_EARLY_S),
            mock.patch.object(blame, "note_broken") as note_broken,
        ):
            self.assertGreaterEqual(harness.fetch(ms=600).status, 500)
        return [each.kwargs["is_silent"] for each in note_broken.call_args_list]

    def test_close_at_the_time_that_a_replica_was_told_counts_as_broken(self):
        self.assertEqual(self.broken(CLOSE_EARLY_S), [True])

    def test_close_before_that_time_does_not_count_as_broken(self):
        self.assertEqual(self.broken(4 * CLOSE_EARLY_S), [False])
