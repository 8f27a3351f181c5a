import unittest
from contextlib import suppress
from unittest import mock

import eventlet
from eventlet.green import socket

from boragedeck.connection.answer_shortage import NO_DEMAND, PlaceDemand
from boragedeck.connection.caller_connection import CallerConnection
from boragedeck.connection.caller_ends import CallerNotReadingError
from boragedeck.connection.connection_table import ConnectionBounds
from boragedeck.connection.memory_budget import (
    PROGRESS_BYTES,
    Grant,
    MemoryBudget,
    Phase,
    Use,
)
from boragedeck.connection.reading_rate import ReadingRate
from boragedeck.connection.reservation import (
    BudgetEvent,
    Reservation,
    ReservationService,
)
from boragedeck.process.timers import ManualTimers
from boragedeck.version.routing import CallerLimits
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    drop,
    events,
    head_of,
    read_response,
    send_chunk,
    send_request,
    stream_rule,
)

MB = 1024 * 1024
LIMIT = 12 * MB
BODY = 4 * MB
MANY_IDLE = 20
SETTLED_S = 0.1
SLOW_S = 1.2
LIMITS = CallerLimits(2_000, BODY, 3.0, 3.0)


class ReservationCase(unittest.TestCase):
    def start(self, rule, *steps, limit=LIMIT, limits=LIMITS):
        self.harness = RelayHarness(rule, limits=limits)
        self.addCleanup(self.harness.close)
        self.budget = MemoryBudget(limit)
        self.seen = []
        service = ReservationService(self.budget, self.harness.timers)
        service.on_event = self.seen.append
        self.harness.edge.reservations = service
        self.replica = ScriptedReplica("one", *steps)
        self.harness.add(self.replica)

    def all_room(self):
        return Use.UNSENT, self.budget.limit_bytes

    def assert_all_given_back(self):
        eventlet.sleep(SETTLED_S)
        self.assertEqual(self.budget.used, 0)
        self.assertEqual(self.budget._of_party, {})

    def send_unfinished(self, name=b"slow", size=BODY):
        """Send a body without its last byte."""
        sock = self.harness.connect()
        head = b"POST /r/x HTTP/1.1\r\nHost: here.example\r\nRequest-Id: %s\r\n" % name
        sock.sendall(head + b"Api-Key: key-1\r\nContent-Length: %d\r\n\r\n" % size)
        sock.sendall(b"x" * (size - 1))
        return sock


class GivenBackTest(ReservationCase):
    """Each guards against a leak on one path, which would refuse everybody at last."""

    def test_call_with_a_body(self):
        self.start(call_rule(), answer(b"y" * 300_000))
        for name in (b"id-1", b"id-2"):
            body = b"x" * 1_000_000
            self.assertEqual(self.harness.fetch(body=body, name=name).status, 200)
        self.assert_all_given_back()

    def test_stream(self):
        self.start(stream_rule(), events(1, 2))
        self.assertTrue(self.harness.fetch(body=b"x" * 100_000).is_complete)
        self.assert_all_given_back()

    def test_call_whose_replica_breaks_off(self):
        self.start(call_rule(), drop)
        self.assertEqual(self.harness.fetch(body=b"x" * 100_000).status, 502)
        self.assert_all_given_back()

    def test_body_that_is_too_long(self):
        self.start(call_rule(), answer())
        self.assertEqual(self.harness.fetch(body=b"x" * (BODY + 1)).status, 413)
        self.assert_all_given_back()

    def test_body_that_is_cut_off(self):
        self.start(call_rule(), answer())
        self.send_unfinished().close()
        self.assert_all_given_back()

    def test_caller_that_leaves_while_its_call_runs(self):
        self.start(call_rule(), lambda sock, req: eventlet.sleep(2.0))
        sock = self.harness.connect()
        send_request(sock, body=b"x" * 100_000)
        eventlet.sleep(SETTLED_S)
        self.assertGreater(self.budget.used, 0)
        sock.close()
        self.assert_all_given_back()

    def test_request_that_is_malformed(self):
        self.start(call_rule(), answer())
        sock = self.harness.connect()
        sock.sendall(b"POST /r/x HTTP/1.1\r\nX : 1\r\n\r\n")
        self.assertEqual(read_response(sock).status, 400)
        self.assert_all_given_back()


class FullTest(ReservationCase):
    """They guard against bytes over the limit, and broken promises of refusals."""

    def test_body_without_room_is_refused_with_503_and_has_not_run(self):
        self.start(call_rule(), answer())
        self.send_unfinished()
        eventlet.sleep(SETTLED_S)
        refused = self.harness.fetch(body=b"x" * (BODY - 1), name=b"large")
        self.assertEqual(refused.status, 503)
        self.assertIn(b"retry-after", refused.headers)
        names = [each.headers[b"request-id"] for each in self.replica.relayed()]
        self.assertNotIn(b"large", names)
        self.assertEqual(self.harness.fetch(body=b"x", name=b"small").status, 200)
        self.assertIn(BudgetEvent.REFUSED, self.seen)

    def test_slow_body_is_refused_with_408_if_another_needs_its_room(self):
        self.start(call_rule(), answer())
        slow = self.send_unfinished()
        eventlet.sleep(SLOW_S)
        served = self.harness.fetch(body=b"x" * (BODY - 1), name=b"large")
        self.assertEqual(served.status, 200)
        self.assertEqual(read_response(slow).status, 408)
        slow.close()
        self.assertIn(BudgetEvent.CUT_RECEIVING, self.seen)
        self.assert_all_given_back()

    def test_slow_body_that_disturbs_nobody_is_served(self):
        self.start(call_rule(), answer())
        slow = self.send_unfinished()
        eventlet.sleep(SLOW_S)
        slow.sendall(b"x")
        self.assertEqual(read_response(slow).status, 200)

    def test_answer_waits_for_room_within_its_time(self):
        self.start(call_rule(), answer(b"y" * 2 * MB))
        holding = self.budget.open("other", lambda: None, 0.0)
        self.budget.add(holding, *self.all_room())
        thread = eventlet.spawn(self.harness.fetch)
        eventlet.sleep(0.3)
        self.budget.close(holding)
        response = thread.wait()
        self.assertEqual((response.status, len(response.body)), (200, 2 * MB))
        self.assertIn(BudgetEvent.WAITED, self.seen)
        self.assert_all_given_back()

    def test_answer_without_room_in_its_time_says_nothing_about_its_replica(self):
        self.start(call_rule(max_attempts=1, timeout_s=0.8), answer(b"y" * 2 * MB))
        holding = self.budget.open("other", lambda: None, 0.0)
        self.budget.add(holding, *self.all_room())
        response = self.harness.fetch()
        self.assertIn(response.status, (502, 504))
        state = self.harness.registry.get("one")
        self.assertEqual(state.failure_share, 0.0)
        self.budget.close(holding)
        self.assert_all_given_back()

    def test_slow_reader_is_cut_as_incomplete_if_another_needs_its_room(self):
        self.start(call_rule(), answer(b"y" * BODY), limit=8 * MB)
        self.harness.edge.send_buffer_bytes = 16_384
        slow = self.harness.connect()
        send_request(slow, name=b"slow")
        eventlet.sleep(SLOW_S)
        served = self.harness.fetch(name=b"other")
        self.assertEqual((served.status, len(served.body)), (200, BODY))
        response = read_response(slow)
        self.assertEqual((response.status, response.is_complete), (200, False))
        self.assertIn(BudgetEvent.CUT_SENDING, self.seen)
        self.assert_all_given_back()

    def test_slow_reader_of_a_stream_is_cut_if_the_sum_is_over_its_limit(self):
        def long_stream(sock, req):
            sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
            for number in range(1, 100):
                send_chunk(sock, b"id: %d\ndata: %s\n\n" % (number, b"y" * 50_000))

        self.start(stream_rule(), long_stream, limit=MB // 16)
        self.harness.edge.send_buffer_bytes = 16_384
        slow = self.harness.connect()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        send_request(slow, name=b"slow", ms=9_000)
        eventlet.sleep(2 * SLOW_S)
        self.assertIn(BudgetEvent.CUT_SENDING, self.seen)
        self.assertFalse(read_response(slow).is_complete)
        self.assert_all_given_back()


class DroppedAnswerTest(unittest.TestCase):
    """They guard against answers that keep replicas busy, or are lost in calm."""

    DEMAND = PlaceDemand(waiting=1, running=4)
    NEEDED = 2 * MB
    LEFT_S = 10.0

    def setUp(self):
        self.timers = ManualTimers()
        self.service = ReservationService(MemoryBudget(LIMIT), self.timers)
        self.service.demand_of = {"p": self.DEMAND, "calm": NO_DEMAND}.get
        self.reader = self.service.open("reader", lambda: None)
        self.service.budget.add(self.reader._holding, Use.ANSWER, LIMIT)
        self.waiting = self.service.open("waiting", lambda: None)
        self.enterContext(self.service.shortage.count_waiting())

    def must_drop(self, pool="p"):
        self.waiting.name_pool(pool)
        until = self.timers.now() + self.LEFT_S
        return self.service.must_drop(self.waiting._holding, self.NEEDED, until)

    def suspect(self):
        self.service.budget.note_cut(self.waiting._holding, self.timers.now())

    def be_short(self, seconds=SLOW_S):
        """Let answers find no room for a time, in which nothing is read."""
        until = self.timers.now() + seconds
        while self.timers.now() < until:
            self.service.shortage.note_short(self.timers.now())
            self.timers.advance(0.1)

    def test_answer_of_a_suspect_is_dropped_if_others_wait_for_its_replica(self):
        self.suspect()
        self.be_short()
        self.assertTrue(self.must_drop())
        self.assertFalse(self.must_drop("calm"))

    def test_short_wait_drops_nothing(self):
        self.suspect()
        self.be_short(0.2)
        self.assertFalse(self.must_drop())

    def test_answer_that_gets_room_in_time_is_not_dropped(self):
        self.suspect()
        self.be_short()
        self.reader.begin_sending(0)
        self.reader.note_moved(self.NEEDED)
        self.assertFalse(self.must_drop())

    def test_other_answers_keep_a_share_of_the_places(self):
        self.be_short()
        self.assertFalse(self.must_drop())
        for _ in range(self.DEMAND.running // 2):
            self.enterContext(self.service.shortage.count_waiting())
        self.assertTrue(self.must_drop())

    def test_rate_counts_what_was_read_lately(self):
        rate = ReadingRate(0.0)
        rate.note_read(1_000, 0.5)
        self.assertEqual(rate.bytes_per_s(0.9), 1_000.0)
        self.assertEqual(rate.bytes_per_s(1.0), 1_000.0)
        self.assertEqual(rate.bytes_per_s(2.0), 0.0)


class BrokenAnswerTest(ReservationCase):
    """A replica that breaks off is told from a router that lacked room."""

    def cut(self, sock, req):
        head = head_of(req, 200, b"Content-Length: %d" % (2 * MB))
        sock.sendall(head + b"\r\n" + b"y" * MB)
        return False

    def test_answer_that_breaks_off_in_calm_counts_against_its_replica(self):
        self.start(call_rule(max_attempts=1), self.cut)
        self.assertEqual(self.harness.fetch().status, 502)
        state = self.harness.registry.get("one")
        self.assertGreater(state.missed_at, float("-inf"))

    def test_answer_that_breaks_off_unread_does_not(self):
        self.start(call_rule(max_attempts=1), self.cut)
        holding = self.budget.open("other", lambda: None, 0.0)
        holding.enter(Phase.RUNNING, 0.0)
        self.budget.add(holding, *self.all_room())
        thread = eventlet.spawn(self.harness.fetch)
        eventlet.sleep(SETTLED_S)
        self.budget.close(holding)
        self.assertEqual(thread.wait().status, 502)
        state = self.harness.registry.get("one")
        self.assertEqual(state.missed_at, float("-inf"))
        self.assert_all_given_back()


class UnreadStreamTest(unittest.TestCase):
    """They guard against streams that nobody reads and that keep engines busy."""

    def setUp(self):
        self.timers = ManualTimers()
        self.service = ReservationService(MemoryBudget(LIMIT), self.timers)
        self.waiting = 0
        self.service.demand_of = lambda pool: PlaceDemand(self.waiting, 4)
        self.cut = []
        self.streams = [self.stream(name) for name in ("first", "second")]

    def stream(self, name):
        found = self.service.open(name, lambda: self.cut.append(name))
        found.name_pool("p")
        found.begin_sending(64 * 1024)
        self.addCleanup(found.close)
        return found

    def test_as_many_are_ended_as_requests_wait(self):
        self.waiting = 1
        self.timers.advance(SLOW_S)
        self.assertEqual(self.cut, ["first"])
        self.timers.advance(SLOW_S)
        self.assertEqual(self.cut, ["first", "second"])

    def test_none_is_ended_while_no_request_waits(self):
        self.timers.advance(10 * SLOW_S)
        self.assertEqual(self.cut, [])

    def test_stream_that_is_read_is_not_ended(self):
        self.waiting = 2
        self.timers.advance(0.8)
        self.streams[0].note_moved(PROGRESS_BYTES)
        self.timers.advance(0.5)
        self.assertEqual(self.cut, ["second"])

    def test_checks_end_with_the_writes(self):
        for stream in self.streams:
            stream.end_sending()
        self.waiting = 2
        self.timers.advance(10 * SLOW_S)
        self.assertEqual(self.cut, [])
        self.assertFalse(self.service._is_check_due)


class DroppedCallTest(ReservationCase):
    """A call whose answer is dropped is answered, and its replica serves others."""

    def test_call_has_run_and_is_not_sent_again(self):
        rule = call_rule(timeout_s=5.0)
        self.start(rule, answer(b"y" * 2 * MB), answer())
        holding = self.budget.open("other", lambda: None, 0.0)
        holding.enter(Phase.RUNNING, 0.0)
        self.budget.add(holding, *self.all_room())
        with mock.patch.object(ReservationService, "must_drop", return_value=True):
            response = self.harness.fetch(ms=5_000)
        self.assertEqual(response.status, 502)
        self.assertNotIn(b"retry-after", response.headers)
        self.assertEqual(len(self.replica.relayed()), 1)
        self.assertIn(BudgetEvent.DROPPED, self.seen)
        state = self.harness.registry.get("one")
        self.assertEqual((state.own.running, state.failure_share), (0, 0.0))
        self.budget.close(holding)
        self.assertEqual(self.harness.fetch(name=b"next").status, 200)
        self.assert_all_given_back()


class ProgressTest(unittest.TestCase):
    """They guard against callers that are cut too early, or never."""

    def setUp(self):
        self.timers = ManualTimers()
        self.service = ReservationService(MemoryBudget(LIMIT), self.timers)

    def open(self, address="a"):
        found = self.service.open(address, lambda: found.close())
        self.addCleanup(found.close)
        return found

    def test_body_behind_an_idle_connection_is_not_slow_at_once(self):
        first = self.open()
        self.timers.advance(10 * SLOW_S)
        self.assertIs(first.take_body(BODY), Grant.GRANTED)
        self.assertIs(self.open().take_body(BODY), Grant.NO_ROOM)
        self.assertFalse(first.is_cut)

    def test_body_that_stalls_behind_a_slow_interim_answer_is_cut(self):
        first = self.open()
        self.assertIs(first.take_body(BODY), Grant.GRANTED)
        first.begin_sending(25)
        first.end_sending()
        self.timers.advance(SLOW_S)
        self.assertIs(self.open().take_body(BODY), Grant.GRANTED)
        self.assertTrue(first.is_cut)


class CutWhileReadingTest(unittest.TestCase):
    """They guard against a cut that has no effect, so that its bytes stay held."""

    HEAD = b"POST /r/x HTTP/1.1\r\nHost: here.example\r\n"

    def setUp(self):
        self.harness = RelayHarness(call_rule(), limits=LIMITS)
        self.addCleanup(self.harness.close)
        self.handled = []
        self.harness.edge.handle = lambda req, channel: self.handled.append(req)
        self.sock, self.peer = socket.socketpair()
        self.addCleanup(self.sock.close)
        self.addCleanup(self.peer.close)
        self.conn = CallerConnection(self.harness.edge, self.sock, "a")

    def test_unread_interim_answer_ends_at_once(self):
        with suppress(BlockingIOError):
            while self.sock.fd.send(b"x" * 4_096):
                pass
        self.peer.sendall(
            self.HEAD + b"Expect: 100-continue\r\nContent-Length: 100000\r\n\r\n"
        )
        thread = eventlet.spawn(self.assertRaises, CallerNotReadingError, self.conn.run)
        eventlet.sleep(SETTLED_S)
        self.conn._cut()
        with eventlet.Timeout(SLOW_S):
            thread.wait()

    def test_body_that_is_cut_while_it_waits_for_room_does_not_run(self):
        def cut_and_grant(reservation, count):
            if count:
                self.conn._cut()
            return Grant.GRANTED

        self.peer.sendall(
            self.HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
        )
        with mock.patch.object(Reservation, "take_body", cut_and_grant):
            thread = eventlet.spawn(self.conn.run)
            self.assertEqual(read_response(self.peer).status, 408)
        self.peer.close()
        thread.wait()
        self.assertEqual(self.handled, [])


class IdleConnectionTest(ReservationCase):
    """They guard against idle connections that keep others out."""

    def start_bounded(self, served):
        self.start(call_rule(), answer())
        edge = self.harness.edge
        edge._given_bounds = ConnectionBounds(served, 1)
        edge._closes_idle = True

    def test_longest_idle_connection_is_closed_for_a_new_one(self):
        self.start_bounded(2)
        first, second = self.harness.connect(), self.harness.connect()
        for number, sock in enumerate((first, second)):
            name = b"id-%d" % number
            self.assertEqual(self.harness.fetch(sock=sock, name=name).status, 200)
        self.assertEqual(self.harness.fetch(name=b"new").status, 200)
        self.assertEqual(first.recv(10), b"")
        self.assertEqual(self.harness.fetch(sock=second, name=b"on").status, 200)

    def test_few_of_many_idle_connections_are_looked_at(self):
        self.start_bounded(MANY_IDLE)
        for number in range(MANY_IDLE):
            name = b"id-%d" % number
            self.assertEqual(self.harness.fetch(name=name).status, 200)
        asked = mock.Mock(return_value=False)
        with mock.patch.object(CallerConnection, "has_unread_bytes", asked):
            self.assertEqual(self.harness.fetch(name=b"new").status, 200)
        self.assertEqual(asked.call_count, 1)

    def test_connection_whose_request_has_arrived_is_not_closed(self):
        self.start_bounded(2)
        first, second = self.harness.connect(), self.harness.connect()
        for number, sock in enumerate((first, second)):
            name = b"id-%d" % number
            self.assertEqual(self.harness.fetch(sock=sock, name=name).status, 200)
        eventlet.sleep(SETTLED_S)
        conns = list(self.harness.edge._conns)
        arrived = min(conns, key=lambda conn: conn.idle_since)
        arrived.has_unread_bytes = lambda: True
        self.assertEqual(self.harness.fetch(name=b"new").status, 200)
        self.assertEqual(second.recv(10), b"")

    def test_new_connection_counts_while_an_idle_one_ends(self):
        # A stop that runs meanwhile would end the process before its request.
        self.start_bounded(1)
        edge, counts = self.harness.edge, []
        first = self.harness.connect()
        self.assertEqual(self.harness.fetch(sock=first).status, 200)

        def count():
            counts.append(sum(not conn.is_shut for conn in edge._conns))

        edge.on_closed_idle = lambda: eventlet.spawn_n(count)
        self.assertEqual(self.harness.fetch(name=b"new").status, 200)
        self.assertEqual(counts, [1])

    def test_connection_with_a_request_is_not_closed(self):
        self.start_bounded(1)
        sock = self.send_unfinished(size=100)
        eventlet.sleep(SETTLED_S)
        self.assertEqual(self.harness.fetch(name=b"new").status, 503)
        sock.sendall(b"x")
        self.assertEqual(read_response(sock).status, 200)
