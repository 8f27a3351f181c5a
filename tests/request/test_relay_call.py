import struct
import unittest

import eventlet
import msgspec
from eventlet.green import socket

from boragedeck.request.relay_call import CallRelay
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_request import RelayRequest
from boragedeck.version.routing import CallKind
from tests.support.replicas import (
    RelayWorld,
    ScriptedReplica,
    answer,
    call_rule,
    drop,
    head_of,
    moved,
    not_run,
    send_request,
    silence,
)


class CallTest(unittest.TestCase):
    def world(self, rule=None, **fields):
        world = RelayWorld(rule, **fields)
        self.addCleanup(world.close)
        return world

    def test_answer_is_passed_on_unchanged(self):
        world = self.world()
        replica = ScriptedReplica("one", answer(b"hello"))
        world.add(replica)
        response = world.ask(b"X-Own: 1", body=b"abc")
        self.assertEqual((response.status, response.body), (200, b"hello"))
        self.assertEqual(response.headers[b"response-seal"], b"seal")
        seen = replica.seen[0]
        self.assertEqual((seen.target, seen.body), (b"/r/x", b"abc"))
        self.assertEqual(seen.headers[b"x-own"], b"1")
        self.assertEqual(seen.headers[b"host"], b"Here.example")

    def test_what_only_the_router_sets_is_not_the_callers(self):
        world = self.world()
        replica = ScriptedReplica("one", answer())
        world.add(replica)
        world.ask(b"Tenant: other", b"Kv-Backup: 1.1.1.1:1", b"Hold: 3")
        headers = replica.seen[0].headers
        self.assertEqual(headers[b"tenant"], b"org-1")
        self.assertEqual(headers[b"expect-instance"], b"one")
        self.assertLessEqual(int(headers[b"deadline-ms"]), 2000)
        for name in (b"api-key", b"kv-backup", b"hold"):
            self.assertNotIn(name, headers)

    def test_header_that_the_connection_names_is_not_passed_on(self):
        world = self.world()
        replica = ScriptedReplica("one", answer())
        world.add(replica)
        world.ask(b"Connection: X-Hop, keep-alive", b"X-Hop: 1")
        self.assertNotIn(b"x-hop", replica.seen[0].headers)

    def test_unknown_key_and_route_are_refused(self):
        world = self.world()
        replica = ScriptedReplica("one", answer())
        world.add(replica)
        self.assertEqual(world.ask(path=b"/s/x").status, 404)
        world.table.organisations.clear()
        self.assertEqual(world.ask().status, 401)
        self.assertEqual(replica.seen, [])

    def test_idempotent_call_is_repeated_after_a_lost_answer(self):
        world = self.world()
        one = ScriptedReplica("one", drop)
        two = ScriptedReplica("two", answer(b"two"))
        world.add(one)
        world.add(two, domain="b")
        response = world.ask()
        self.assertEqual((response.status, response.body), (200, b"two"))
        self.assertEqual((len(one.seen), len(two.seen)), (1, 1))

    def test_call_that_may_run_once_is_not_repeated_after_a_lost_answer(self):
        world = self.world(call_rule(CallKind.ONCE, max_attempts=5))
        one, two = ScriptedReplica("one", drop), ScriptedReplica("two", answer())
        world.add(one)
        world.add(two, domain="b")
        response = world.ask()
        self.assertEqual(response.status, 502)
        self.assertNotIn(b"retry-after", response.headers)
        self.assertEqual((len(one.seen), len(two.seen)), (1, 0))

    def test_call_that_was_not_run_goes_to_another_replica(self):
        world = self.world(call_rule(CallKind.ONCE, max_attempts=2))
        one, two = ScriptedReplica("one", not_run), ScriptedReplica("two", answer())
        world.add(one)
        world.add(two, domain="b")
        self.assertEqual(world.ask().status, 200)

    def test_refusal_says_when_to_come_back_where_nothing_ran(self):
        world = self.world(call_rule(CallKind.ONCE, max_attempts=1))
        replica = ScriptedReplica("one", not_run)
        world.add(replica)
        response = world.ask()
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers[b"retry-after"]), 0.0)
        self.assertEqual(len(replica.seen), 1)

    def test_call_is_not_sent_to_more_replicas_than_allowed(self):
        world = self.world(call_rule(max_attempts=2))
        replicas = [ScriptedReplica(name, drop) for name in ("one", "two", "three")]
        world.add(*replicas)
        self.assertEqual(world.ask().status, 502)
        self.assertEqual(sum(len(replica.seen) for replica in replicas), 2)

    def test_replica_at_a_reused_address_is_forgotten(self):
        world = self.world()
        one, two = ScriptedReplica("one", moved), ScriptedReplica("two", answer())
        world.add(one)
        world.add(two, domain="b")
        self.assertEqual(world.ask().status, 200)
        self.assertIsNone(world.registry.get("one"))

    def test_slow_idempotent_call_is_asked_of_a_second_replica(self):
        world = self.world(call_rule(goal_s=0.2))
        one, two = ScriptedReplica("one", silence), ScriptedReplica("two", answer())
        world.add(one)
        world.add(two, domain="b")
        began = world.timers.now()
        self.assertEqual(world.ask().status, 200)
        self.assertLess(world.timers.now() - began, 1.0)
        eventlet.sleep(0.05)
        self.assertEqual(one.closed_after, [])
        self.assertEqual(world.registry.get("one").own.running, 0)

    def test_silence_ends_at_the_routes_timeout(self):
        world = self.world(call_rule(CallKind.ONCE, timeout_s=0.3))
        world.add(ScriptedReplica("one", silence))
        began = world.timers.now()
        response = world.ask()
        self.assertEqual(response.status, 504)
        self.assertLess(world.timers.now() - began, 0.8)

    def test_failure_of_the_replica_is_passed_on(self):
        world = self.world(call_rule(CallKind.ONCE))
        world.add(ScriptedReplica("one", answer(b"bad", 500)))
        response = world.ask()
        self.assertEqual((response.status, response.body), (500, b"bad"))
        self.assertEqual(response.headers[b"response-seal"], b"seal")

    def test_no_replica_is_refused_without_having_run(self):
        world = self.world(call_rule(timeout_s=1.0))
        began = world.timers.now()
        response = world.ask()
        self.assertEqual(response.status, 503)
        self.assertIn(b"retry-after", response.headers)
        # The caller has time to come back.
        self.assertLess(world.timers.now() - began, 0.6)

    def test_caller_returns_late_enough_where_no_table_is_known(self):
        world = self.world()
        world.table = msgspec.structs.replace(world.table, version=0)
        world.add(ScriptedReplica("one", answer()))
        waits_s = []
        for number in range(20):
            response = world.ask(name=b"id-%d" % number, ms=3000)
            self.assertEqual(response.status, 503)
            waits_s.append(float(response.headers[b"retry-after"]))
        # It heeds a third of its time at most, and may come back once.
        self.assertLessEqual(max(waits_s), 1.0)
        self.assertGreaterEqual(min(waits_s), 0.74)
        self.assertGreater(max(waits_s) - min(waits_s), 0.1)

    def test_caller_that_leaves_ends_the_run(self):
        world = self.world(call_rule(CallKind.ONCE))
        ended = []

        def note_end(sock, req):
            silence(sock, req)
            ended.append(req)
            return False

        replica = ScriptedReplica("one", note_end)
        world.add(replica)
        sock = world.connect()
        send_request(sock)
        eventlet.sleep(0.1)
        self.assertEqual(len(replica.seen), 1)
        sock.close()
        eventlet.sleep(0.1)
        self.assertEqual(len(ended), 1)
        self.assertEqual(world.registry.get("one").own.running, 0)
        self.assertEqual(world.edge.busy(), 0)


class LeavingTest(unittest.TestCase):
    def test_place_is_given_back_by_an_attempt_that_never_began(self):
        world = RelayWorld()
        self.addCleanup(world.close)
        world.add(ScriptedReplica("one", silence))
        req = RelayRequest(
            request_id="id-1",
            method=b"GET",
            target=b"/r/x",
            host="here.example",
            path="/r/x",
            headers=[],
            body=b"",
            key=None,
            caller_timeout_s=2.0,
            arrived=world.timers.now(),
        )
        rule = call_rule()
        pool = world.table.pools["engines"]
        job = RelayJob(world.parts, req, rule, pool, None, 1, None)
        relay = eventlet.spawn(CallRelay(job).run)
        eventlet.spawn_n(relay.kill)
        eventlet.sleep(0.05)
        self.assertTrue(relay.dead)
        self.assertEqual(world.registry.get("one").own.running, 0)


class BadAnswerTest(unittest.TestCase):
    def ask(self, step, kind=CallKind.ONCE, **fields):
        world = RelayWorld(call_rule(kind, **fields))
        self.addCleanup(world.close)
        self.replica = ScriptedReplica("one", step)
        world.add(self.replica)
        self.world = world
        return world.ask()

    def test_answer_that_is_cut_off_is_no_answer(self):
        def cut(sock, req):
            sock.sendall(head_of(req, 200, b"Content-Length: 9") + b"\r\nhalf")
            return False

        response = self.ask(cut)
        self.assertEqual(response.status, 502)
        self.assertNotIn(b"half", response.body)

    def test_answer_without_length_ends_with_its_connection(self):
        def unframed(sock, req):
            sock.sendall(head_of(req) + b"\r\nwhole body")
            return False

        response = self.ask(unframed)
        self.assertEqual((response.status, response.body), (200, b"whole body"))
        self.assertTrue(response.is_complete)

    def test_answer_without_length_that_is_reset_is_no_answer(self):
        def reset(sock, req):
            sock.sendall(head_of(req) + b"\r\nhalf")
            eventlet.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return False

        self.assertEqual(self.ask(reset).status, 502)

    def test_success_without_seal_or_id_is_no_success(self):
        def unsealed(sock, req):
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            return True

        self.assertEqual(self.ask(unsealed).status, 502)

    def test_encoded_body_is_not_the_replicas(self):
        def encoded(sock, req):
            lines = b"Content-Encoding: gzip", b"Content-Length: 2"
            sock.sendall(head_of(req, 200, *lines) + b"\r\nhi")
            return True

        self.assertEqual(self.ask(encoded).status, 502)

    def test_late_answer_to_another_request_is_skipped(self):
        def stray(sock, req):
            answer(b"other", request_id=b"id-0")(sock, req)
            return answer(b"mine")(sock, req)

        response = self.ask(stray)
        self.assertEqual((response.status, response.body), (200, b"mine"))

    def test_bytes_after_an_answer_close_the_connection(self):
        def twice(sock, req):
            answer(b"first")(sock, req)
            return answer(b"again")(sock, req)

        self.assertEqual(self.ask(twice).body, b"first")
        eventlet.sleep(0.05)
        self.assertEqual(self.world.ask(name=b"id-2").status, 200)
        self.assertEqual(self.replica.connections, 2)

    def test_no_http_is_no_answer(self):
        def noise(sock, req):
            sock.sendall(b"\x00\x01 what\r\n\r\n")
            return False

        self.assertEqual(self.ask(noise).status, 502)
