import unittest

import eventlet

from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayWorld,
    ScriptedReplica,
    answer,
    drop,
    event,
    events,
    moved,
    not_run,
    read_response,
    report_model,
    send_request,
    silence,
    stream_rule,
)

POOL = RelayPool("engines", 100, ENGINE)
TOKENS = b"Token-Counts: 1000,100"


def whole(last):
    return b"".join(event(number) for number in range(1, last + 1))


class StreamTest(unittest.TestCase):
    def world(self, **fields):
        world = RelayWorld(stream_rule(**fields), pool=POOL)
        self.addCleanup(world.close)
        return world

    def test_events_are_passed_on(self):
        world = self.world()
        world.add(ScriptedReplica("one", events(1, 2, 3)))
        response = world.ask(TOKENS)
        self.assertEqual((response.status, response.body), (200, whole(3)))
        self.assertTrue(response.is_complete)

    def test_lost_stream_goes_on_from_the_copy(self):
        world = self.world()
        one = ScriptedReplica("one", events(1, 2, ends=False, cut=b"id: 3\nda"))
        two = ScriptedReplica("two", events(3, 4))
        world.add(one)
        world.add(two, domain="b")
        response = world.ask(TOKENS)
        self.assertEqual(response.body, whole(4))
        self.assertTrue(response.is_complete)
        backup = one.seen[0].headers[b"kv-backup"]
        self.assertEqual(backup.decode(), str(two.address))
        headers = two.seen[0].headers
        self.assertEqual(headers[b"last-event-id"], b"2")
        self.assertEqual(headers[b"kv-from"].decode(), f"{two.address}/id-1")

    def test_stream_goes_on_elsewhere_where_the_copy_is_gone(self):
        world = self.world()
        three = ScriptedReplica("three", events(3))

        def lose_copy(sock, req):
            one.stop()
            world.add(three, domain="c")
            return not_run(sock, req)

        one = ScriptedReplica("one", events(1, 2, ends=False))
        world.add(one)
        world.add(ScriptedReplica("two", lose_copy), domain="b")
        response = world.ask(TOKENS)
        self.assertEqual(response.body, whole(3))
        self.assertNotIn(b"kv-from", three.seen[0].headers)

    def test_copy_is_found_though_its_engine_has_another_id(self):
        world = self.world()
        two = ScriptedReplica("two", events(3))

        def rename(sock, req):
            two.name = "two-again"
            world.registry.put(two.entry(domain="b", born_ms=5))
            return False

        world.add(ScriptedReplica("one", events(1, 2, ends=False, then=rename)))
        world.add(two, domain="b")
        response = world.ask(TOKENS)
        self.assertEqual(response.body, whole(3))
        self.assertIn(b"kv-from", two.seen[0].headers)
        self.assertEqual(two.seen[0].headers[b"expect-instance"], b"two-again")

    def test_run_whose_connection_broke_goes_on_where_its_prompt_was_read(self):
        world = self.world()
        one = ScriptedReplica("one", drop, events(1, 2))
        two = ScriptedReplica("two", events(1, 2))
        world.add(one)
        world.add(two, domain="b")
        self.assertEqual(world.ask(TOKENS).body, whole(2))
        self.assertEqual((len(one.seen), len(two.seen)), (2, 0))

    def test_engine_that_breaks_a_run_off_again_is_left(self):
        world = self.world()
        one = ScriptedReplica("one", drop)
        two = ScriptedReplica("two", events(1, 2))
        world.add(one)
        world.add(two, domain="b")
        self.assertEqual(world.ask(TOKENS).body, whole(2))
        self.assertEqual((len(one.seen), len(two.seen)), (2, 1))

    def test_run_on_a_copy_that_broke_goes_on_where_the_copy_was(self):
        world = self.world()
        two = ScriptedReplica("two", drop, events(3))
        three = ScriptedReplica("three", events(3))

        def lose(sock, req):
            one.stop()
            world.add(three, domain="c")
            return False

        one = ScriptedReplica("one", events(1, 2, ends=False, then=lose))
        world.add(one)
        world.add(two, domain="b")
        self.assertEqual(world.ask(TOKENS).body, whole(3))
        self.assertEqual((len(two.seen), len(three.seen)), (2, 0))
        self.assertNotIn(b"kv-from", two.seen[1].headers)

    def test_copy_is_asked_for_again_where_its_engine_started_again(self):
        world = self.world()

        two = ScriptedReplica("two", moved, report_model, events(3))
        world.add(ScriptedReplica("one", events(1, 2, ends=False)))
        world.add(two, domain="b")
        self.assertEqual(world.ask(TOKENS).body, whole(3))
        self.assertIn(b"kv-from", two.seen[2].headers)
        self.assertEqual(two.seen[2].headers[b"expect-instance"], b"other")

    def test_stream_that_can_not_be_whole_in_time_is_refused_at_once(self):
        world = self.world(timeout_s=25.0)
        rest, all_events = events(*range(81, 101)), events(*range(1, 101))
        replica = ScriptedReplica("one", rest, all_events)
        world.add(replica)
        for _ in range(8):
            world.parts.pace.note_prompt_read("engines", 1_000, 1.0)
            world.parts.pace.note_complete_stream("engines", 100, 100, 3.0)
        response = world.ask(TOKENS, ms=3_000)
        self.assertEqual(response.status, 503)
        self.assertNotIn(b"retry-after", response.headers)
        self.assertEqual(replica.seen, [])
        # With more of the answer, or more time, it is served.
        late = world.ask(TOKENS, b"Last-Event-Id: 80", name=b"id-2", ms=3_000)
        self.assertEqual(late.status, 200)
        self.assertEqual(world.ask(TOKENS, name=b"id-3", ms=5_000).status, 200)

    def test_replica_that_never_had_a_run_is_not_asked_for_its_copy(self):
        world = self.world()
        four = ScriptedReplica("four", events(3))

        def refuse(sock, req):
            world.add(four, domain="d")
            return not_run(sock, req)

        three = ScriptedReplica("three", refuse)

        def lose_copy(sock, req):
            world.registry.remove("one", "test")
            world.add(three, domain="c")
            return not_run(sock, req)

        world.add(ScriptedReplica("one", events(1, 2, ends=False)))
        world.add(ScriptedReplica("two", lose_copy), domain="b")
        response = world.ask(TOKENS)
        self.assertEqual(response.body, whole(3))
        self.assertEqual(len(three.seen), 1)
        self.assertNotIn(b"kv-from", four.seen[0].headers)

    def test_silent_replica_is_left_and_its_run_ended(self):
        world = self.world()
        ended = []

        def dark(sock, req):
            silence(sock, req)
            ended.append(1)
            return False

        one = ScriptedReplica("one", events(1, ends=False, then=dark), drop)
        two = ScriptedReplica("two", events(2))
        world.add(one)
        world.add(two, domain="b")
        times = []
        world.edge.handle = timed(world.edge.handle, times, world.timers)
        response = world.ask(TOKENS)
        self.assertEqual(response.body, whole(2))
        self.assertEqual(ended, [1])
        # The pause stays within the objective.
        self.assertLess(times[0], stream_rule().gap_goal_s)

    def test_slow_replica_that_answers_a_question_is_waited_for(self):
        world = self.world()

        def slow(sock, req):
            eventlet.sleep(0.6)
            sock.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(event(2)), event(2)))
            return True

        def report(sock, req):
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return True

        one = ScriptedReplica("one", events(1, ends=False, then=slow), report)
        two = ScriptedReplica("two", events(2))
        world.add(one)
        world.add(two, domain="b")
        response = world.ask(TOKENS)
        self.assertEqual(response.body, whole(2))
        self.assertEqual(two.seen, [])

    def test_gap_in_the_events_is_never_delivered(self):
        world = self.world(max_attempts=1)
        world.add(ScriptedReplica("one", events(1, 3)))
        response = world.ask(TOKENS)
        self.assertFalse(response.is_complete)
        self.assertNotIn(b"piece 3", response.body)

    def test_stream_that_can_not_go_on_does_not_look_complete(self):
        world = self.world(max_attempts=1)
        world.add(ScriptedReplica("one", events(1, 2, ends=False)))
        response = world.ask(TOKENS)
        self.assertEqual(response.status, 200)
        self.assertFalse(response.is_complete)

    def test_stream_that_may_not_go_on_is_not_sent_again(self):
        world = self.world(is_resumable=False)
        one = ScriptedReplica("one", drop)
        two = ScriptedReplica("two", events(1))
        world.add(one)
        world.add(two, domain="b")
        self.assertEqual(world.ask(TOKENS).status, 502)
        self.assertEqual(two.seen, [])

    def test_caller_that_comes_back_is_continued(self):
        world = self.world()
        one = ScriptedReplica("one", events(3, 4))
        world.add(one)
        response = world.ask(TOKENS, b"Last-Event-Id: 2")
        self.assertEqual(response.body, event(3) + event(4))
        self.assertEqual(one.seen[0].headers[b"last-event-id"], b"2")

    def test_failure_before_the_first_event_is_tried_elsewhere(self):
        world = self.world()
        one = ScriptedReplica("one", answer(b"bad", 500))
        two = ScriptedReplica("two", events(1))
        world.add(one)
        world.add(two, domain="b")
        self.assertEqual(world.ask(TOKENS).body, whole(1))

    def test_stream_that_would_outlast_the_router_is_sent_elsewhere(self):
        world = self.world()
        replica = ScriptedReplica("one", slow_events)
        world.add(replica)
        for number in range(30):
            world.ask(TOKENS, name=b"id-%d" % number)
        world.time_left_s = 0.1
        world.edge.is_leaving = True
        response = world.ask(TOKENS)
        self.assertEqual(response.status, 503)
        self.assertEqual(float(response.headers[b"retry-after"]), 0.0)
        self.assertEqual(response.headers[b"connection"], b"close")
        self.assertEqual(len(replica.seen), 30)
        world.time_left_s = 5.0
        self.assertEqual(world.ask(TOKENS).status, 200)

    def test_refused_connections_do_not_use_the_request_up(self):
        world = self.world(max_attempts=2)
        dead = [ScriptedReplica(name, drop) for name in "abcdef"]
        world.add(*dead)
        for replica in dead:
            replica.stop()
        sock = world.connect()
        send_request(sock, TOKENS)
        eventlet.sleep(0.3)
        world.add(ScriptedReplica("late", events(1)), domain="b")
        response = read_response(sock)
        self.assertEqual((response.status, response.body), (200, whole(1)))

    def test_successor_that_serves_the_same_models_is_taken(self):
        world = self.world()
        replica = ScriptedReplica("one", moved, report_model, events(1))
        world.add(replica)
        self.assertEqual(world.ask(TOKENS).body, whole(1))
        self.assertEqual(replica.seen[2].headers[b"expect-instance"], b"other")
        self.assertIsNone(world.registry.get("one"))

    def test_successor_that_serves_something_else_is_left_alone(self):
        world = self.world(timeout_s=0.5)
        replica = ScriptedReplica("one", moved, answer(b"{}"))
        world.add(replica)
        self.assertEqual(world.ask(TOKENS).status, 503)
        self.assertEqual(world.registry.all(), [])

    def test_replica_that_is_gone_ends_the_wait(self):
        world = self.world(goal_s=60.0, timeout_s=60.0)
        one = ScriptedReplica("one", silence)
        world.add(one)
        sock = world.connect()
        send_request(sock, TOKENS)
        eventlet.sleep(0.05)
        two = ScriptedReplica("two", events(1))
        world.add(two, domain="b")
        world.registry.remove_lost("one", "test")
        self.assertEqual(read_response(sock).body, whole(1))

    def test_caller_that_leaves_ends_the_run(self):
        world = self.world()
        ended = []

        def endless(sock, req):
            silence(sock, req)
            ended.append(1)
            return False

        world.add(ScriptedReplica("one", events(1, ends=False, then=endless)))
        sock = world.connect()
        send_request(sock, TOKENS)
        eventlet.sleep(0.1)
        sock.close()
        eventlet.sleep(0.1)
        self.assertEqual(ended, [1])
        self.assertEqual(world.registry.get("one").own.tokens, 0)
        self.assertEqual(
            world.metrics.requests.labels("stream", "left")._value.get(), 1
        )


def slow_events(sock, req):
    eventlet.sleep(0.12)
    return events(1)(sock, req)


def timed(handle, times, timers):
    """Note how long requests take; all but one of their events come at once."""

    def handle_timed(raw, channel):
        began = timers.now()
        handle(raw, channel)
        times.append(timers.now() - began)

    return handle_timed
