import unittest

import eventlet
import msgspec

from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    answer,
    drop,
    event,
    events,
    moved,
    not_run,
    read_response,
    report_model,
    send_chunk,
    send_request,
    stay_silent,
    stream_rule,
)

POOL = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"


def events_up_to(last):
    return b"".join(event(number) for number in range(1, last + 1))


class StreamTest(unittest.TestCase):
    def harness(self, **fields):
        harness = RelayHarness(stream_rule(**fields), pool=POOL)
        self.addCleanup(harness.close)
        return harness

    def test_events_are_passed_on(self):
        harness = self.harness()
        harness.add(ScriptedReplica("one", events(1, 2, 3)))
        response = harness.fetch(TOKENS)
        self.assertEqual((response.status, response.body), (200, events_up_to(3)))
        self.assertTrue(response.is_complete)

    def test_version_of_a_running_stream_is_not_told_its_gap(self):
        harness = self.harness()
        samples = []
        harness.parts.rollouts.note = lambda replica, sample: samples.append(sample)

        def slow(sock, req):
            for number in range(2, 16):
                eventlet.sleep(0.1)
                send_chunk(sock, event(number))
            return False

        harness.add(ScriptedReplica("one", events(1, ends=False, then=slow)))
        harness.fetch(TOKENS)
        gaps = [each.gap_s for each in samples if each.gap_s is not None]
        self.assertEqual(len(gaps), 1)
        self.assertGreaterEqual(gaps[0], 0.1)
        self.assertLess(gaps[0], 0.2)

    def test_lost_stream_resumes_from_the_copy(self):
        harness = self.harness()
        one = ScriptedReplica("one", events(1, 2, ends=False, cut=b"id: 3\nda"))
        two = ScriptedReplica("two", events(3, 4))
        harness.add(one)
        harness.add(two, domain="b")
        response = harness.fetch(TOKENS)
        self.assertEqual(response.body, events_up_to(4))
        self.assertTrue(response.is_complete)
        backup = one.received[0].headers[b"kv-backup"]
        self.assertEqual(backup.decode(), str(two.address))
        headers = two.received[0].headers
        self.assertEqual(headers[b"last-event-id"], b"2")
        self.assertEqual(headers[b"kv-from"].decode(), f"{two.address}/id-1")

    def test_stream_resumes_elsewhere_if_the_copy_is_gone(self):
        harness = self.harness()
        three = ScriptedReplica("three", events(3))

        def lose_copy(sock, req):
            one.stop()
            harness.add(three, domain="c")
            return not_run(sock, req)

        one = ScriptedReplica("one", events(1, 2, ends=False))
        harness.add(one)
        harness.add(ScriptedReplica("two", lose_copy), domain="b")
        response = harness.fetch(TOKENS)
        self.assertEqual(response.body, events_up_to(3))
        self.assertNotIn(b"kv-from", three.received[0].headers)

    def test_copy_is_found_after_its_engine_changed_its_id(self):
        harness = self.harness()
        two = ScriptedReplica("two", events(3))

        def rename(sock, req):
            two.name = "two-again"
            harness.registry.put(two.entry(domain="b", born_ms=5))
            return False

        harness.add(ScriptedReplica("one", events(1, 2, ends=False, then=rename)))
        harness.add(two, domain="b")
        response = harness.fetch(TOKENS)
        self.assertEqual(response.body, events_up_to(3))
        self.assertIn(b"kv-from", two.relayed()[0].headers)
        self.assertEqual(two.relayed()[0].headers[b"expect-instance"], b"two-again")

    def test_stream_whose_connection_broke_returns_to_the_same_engine(self):
        harness = self.harness()
        one = ScriptedReplica("one", drop, events(1, 2))
        two = ScriptedReplica("two", events(1, 2))
        harness.add(one)
        harness.add(two, domain="b")
        self.assertEqual(harness.fetch(TOKENS).body, events_up_to(2))
        self.assertEqual((len(one.received), len(two.received)), (2, 0))

    def test_engine_is_retried_only_once_after_a_broken_connection(self):
        harness = self.harness()
        one = ScriptedReplica("one", drop)
        two = ScriptedReplica("two", events(1, 2))
        harness.add(one)
        harness.add(two, domain="b")
        self.assertEqual(harness.fetch(TOKENS).body, events_up_to(2))
        self.assertEqual((len(one.received), len(two.received)), (2, 1))

    def test_resumed_stream_whose_connection_broke_returns_to_the_copy_holder(self):
        harness = self.harness()
        two = ScriptedReplica("two", drop, events(3))
        three = ScriptedReplica("three", events(3))

        def lose(sock, req):
            one.stop()
            harness.add(three, domain="c")
            return False

        one = ScriptedReplica("one", events(1, 2, ends=False, then=lose))
        harness.add(one)
        harness.add(two, domain="b")
        self.assertEqual(harness.fetch(TOKENS).body, events_up_to(3))
        self.assertEqual((len(two.received), len(three.received)), (2, 0))
        self.assertNotIn(b"kv-from", two.received[1].headers)

    def test_copy_is_requested_again_after_its_engine_restarted(self):
        harness = self.harness()

        two = ScriptedReplica("two", moved, report_model, events(3))
        harness.add(ScriptedReplica("one", events(1, 2, ends=False)))
        harness.add(two, domain="b")
        self.assertEqual(harness.fetch(TOKENS).body, events_up_to(3))
        self.assertIn(b"kv-from", two.received[2].headers)
        self.assertEqual(two.received[2].headers[b"expect-instance"], b"other")

    def test_stream_that_cannot_complete_in_time_is_refused_at_once(self):
        harness = self.harness(timeout_s=25.0)
        rest, all_events = events(*range(81, 101)), events(*range(1, 101))
        replica = ScriptedReplica("one", rest, all_events)
        harness.add(replica)
        for _ in range(8):
            harness.parts.pace.note_prompt_read("engines", 1_000, 1.0)
            harness.parts.pace.note_complete_stream("engines", 100, 100, 3.0)
        response = harness.fetch(TOKENS, ms=3_000)
        self.assertEqual(response.status, 503)
        self.assertNotIn(b"retry-after", response.headers)
        self.assertEqual(replica.received, [])
        # It is served if less of the answer is missing, or with a longer time-out.
        late = harness.fetch(TOKENS, b"Last-Event-Id: 80", name=b"id-2", ms=3_000)
        self.assertEqual(late.status, 200)
        self.assertEqual(harness.fetch(TOKENS, name=b"id-3", ms=5_000).status, 200)

    def test_copy_is_not_requested_from_a_replica_that_did_not_run_the_stream(self):
        harness = self.harness()
        four = ScriptedReplica("four", events(3))

        def refuse(sock, req):
            harness.add(four, domain="d")
            return not_run(sock, req)

        three = ScriptedReplica("three", refuse)

        def lose_copy(sock, req):
            harness.registry.remove("one", "test")
            harness.add(three, domain="c")
            return not_run(sock, req)

        harness.add(ScriptedReplica("one", events(1, 2, ends=False)))
        harness.add(ScriptedReplica("two", lose_copy), domain="b")
        response = harness.fetch(TOKENS)
        self.assertEqual(response.body, events_up_to(3))
        self.assertEqual(len(three.received), 1)
        self.assertNotIn(b"kv-from", four.received[0].headers)

    def test_silent_replica_is_replaced_and_its_connection_closed(self):
        harness = self.harness()
        ended = []

        def silent_connection(sock, req):
            stay_silent(sock, req)
            ended.append(1)
            return False

        one = ScriptedReplica(
            "one", events(1, ends=False, then=silent_connection), drop
        )
        two = ScriptedReplica("two", events(2))
        harness.add(one)
        harness.add(two, domain="b")
        times = []
        harness.edge.handle = with_durations(harness.edge.handle, times, harness.timers)
        response = harness.fetch(TOKENS)
        self.assertEqual(response.body, events_up_to(2))
        self.assertEqual(ended, [1])
        # The gap between events stays within its objective.
        self.assertLess(times[0], stream_rule().gap_goal_s)

    def test_slow_replica_that_answers_a_probe_is_waited_for(self):
        harness = self.harness()

        def slow(sock, req):
            eventlet.sleep(0.6)
            sock.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(event(2)), event(2)))
            return True

        def report(sock, req):
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return True

        one = ScriptedReplica("one", events(1, ends=False, then=slow), report)
        two = ScriptedReplica("two", events(2))
        harness.add(one)
        harness.add(two, domain="b")
        response = harness.fetch(TOKENS)
        self.assertEqual(response.body, events_up_to(2))
        self.assertEqual(two.received, [])

    def test_events_after_a_gap_are_not_delivered(self):
        harness = self.harness(max_attempts=1)
        harness.add(ScriptedReplica("one", events(1, 3)))
        response = harness.fetch(TOKENS)
        self.assertFalse(response.is_complete)
        self.assertNotIn(b"piece 3", response.body)

    def test_stream_that_cannot_resume_does_not_look_complete(self):
        harness = self.harness(max_attempts=1)
        harness.add(ScriptedReplica("one", events(1, 2, ends=False)))
        response = harness.fetch(TOKENS)
        self.assertEqual(response.status, 200)
        self.assertFalse(response.is_complete)

    def test_stream_that_is_not_resumable_is_not_sent_again(self):
        harness = self.harness(is_resumable=False)
        one = ScriptedReplica("one", drop)
        two = ScriptedReplica("two", events(1))
        harness.add(one)
        harness.add(two, domain="b")
        self.assertEqual(harness.fetch(TOKENS).status, 502)
        self.assertEqual(two.received, [])

    def test_caller_with_last_event_id_gets_the_following_events(self):
        harness = self.harness()
        one = ScriptedReplica("one", events(3, 4))
        harness.add(one)
        response = harness.fetch(TOKENS, b"Last-Event-Id: 2")
        self.assertEqual(response.body, event(3) + event(4))
        self.assertEqual(one.received[0].headers[b"last-event-id"], b"2")

    def test_failure_before_the_first_event_is_retried_elsewhere(self):
        harness = self.harness()
        one = ScriptedReplica("one", answer(b"bad", 500))
        two = ScriptedReplica("two", events(1))
        harness.add(one)
        harness.add(two, domain="b")
        self.assertEqual(harness.fetch(TOKENS).body, events_up_to(1))

    def test_stream_that_would_outlast_the_router_is_refused(self):
        harness = self.harness()
        replica = ScriptedReplica("one", slow_events)
        harness.add(replica)
        for number in range(30):
            harness.fetch(TOKENS, name=b"id-%d" % number)
        harness.time_left_s = 0.1
        harness.edge.is_leaving = True
        response = harness.fetch(TOKENS)
        self.assertEqual(response.status, 503)
        self.assertEqual(float(response.headers[b"retry-after"]), 0.0)
        self.assertEqual(response.headers[b"connection"], b"close")
        self.assertEqual(len(replica.relayed()), 30)
        harness.time_left_s = 5.0
        self.assertEqual(harness.fetch(TOKENS).status, 200)

    def test_stop_ends_a_stream_that_arrives_when_it_is_late(self):
        harness = self.harness()
        replica = ScriptedReplica("one", slow_events)
        harness.add(replica)
        for number in range(30):
            harness.fetch(TOKENS, name=b"id-%d" % number)
        harness.time_left_s = 2.0
        harness.parts = msgspec.structs.replace(
            harness.parts, is_late_in_stop=lambda: True
        )
        self.assertEqual(harness.fetch(TOKENS, ms=3000).status, 503)
        self.assertEqual(len(replica.relayed()), 30)
        self.assertEqual(harness.fetch(TOKENS, ms=1000).status, 200)

    def test_refused_connections_do_not_count_as_attempts(self):
        harness = self.harness(max_attempts=2)
        dead = [ScriptedReplica(name, drop) for name in "abcdef"]
        harness.add(*dead)
        for replica in dead:
            replica.stop()
        sock = harness.connect()
        send_request(sock, TOKENS)
        eventlet.sleep(0.3)
        harness.add(ScriptedReplica("late", events(1)), domain="b")
        response = read_response(sock)
        self.assertEqual((response.status, response.body), (200, events_up_to(1)))

    def test_successor_that_serves_the_same_models_is_used(self):
        harness = self.harness()
        replica = ScriptedReplica("one", moved, report_model, events(1))
        harness.add(replica)
        self.assertEqual(harness.fetch(TOKENS).body, events_up_to(1))
        self.assertEqual(replica.received[2].headers[b"expect-instance"], b"other")
        self.assertIsNone(harness.registry.get("one"))

    def test_successor_with_other_models_is_not_used(self):
        harness = self.harness(timeout_s=0.5)
        replica = ScriptedReplica("one", moved, answer(b"{}"))
        harness.add(replica)
        self.assertEqual(harness.fetch(TOKENS).status, 503)
        self.assertEqual(harness.registry.all(), [])

    def test_removal_of_the_replica_ends_the_wait(self):
        harness = self.harness(goal_s=60.0, timeout_s=60.0)
        one = ScriptedReplica("one", stay_silent)
        harness.add(one)
        sock = harness.connect()
        send_request(sock, TOKENS)
        eventlet.sleep(0.05)
        two = ScriptedReplica("two", events(1))
        harness.add(two, domain="b")
        harness.registry.remove_lost("one", "test")
        self.assertEqual(read_response(sock).body, events_up_to(1))

    def test_caller_disconnect_stops_the_stream(self):
        harness = self.harness()
        ended = []

        def endless(sock, req):
            stay_silent(sock, req)
            ended.append(1)
            return False

        harness.add(ScriptedReplica("one", events(1, ends=False, then=endless)))
        sock = harness.connect()
        send_request(sock, TOKENS)
        eventlet.sleep(0.1)
        sock.close()
        eventlet.sleep(0.1)
        self.assertEqual(ended, [1])
        self.assertEqual(harness.registry.get("one").own.tokens, 0)
        self.assertEqual(
            harness.metrics.requests.labels("stream", "left")._value.get(), 1
        )


def slow_events(sock, req):
    eventlet.sleep(0.12)
    return events(1)(sock, req)


def with_durations(handle, times, timers):
    """Record how long requests take; the duration is that of their only gap."""

    def handle_timed(raw, channel):
        began = timers.now()
        handle(raw, channel)
        times.append(timers.now() - began)

    return handle_timed
