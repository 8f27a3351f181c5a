"""Handlers that are interrupted while they end an attempt."""

import sys
from unittest import mock

import eventlet
from eventlet.event import Event
from greenlet import GreenletExit

from boragedeck.connection.exchange import Exchange
from boragedeck.request.replica_probe import ReplicaProbe
from tests.request.test_second_attempts import SecondAttemptCase, begin, is_probe
from tests.support.replicas import (
    ScriptedReplica,
    event,
    events,
    report_model,
    send_chunk,
    send_request,
)

TOKENS = b"Token-Counts: 1000,100"
LEFT_WITHIN_S = 0.5
CLOSE = Exchange.close
STOP = ReplicaProbe.stop


def stop_slowly(probe):
    """Stop a probe, and let other green threads run, as ending a thread does."""
    STOP(probe)
    eventlet.sleep(0.3)


class InterruptedCase(SecondAttemptCase):
    def wait_until(self, is_true):
        with eventlet.Timeout(3.0):
            while not is_true():
                eventlet.sleep(0.01)


class LeavingCallerTest(InterruptedCase):
    def test_replica_works_on_after_the_caller_left_while_its_attempt_was_ended(self):
        started, left = [], []

        def hang(sock, req):
            while sock.recv(4096):
                pass
            left.append(is_probe(req))
            return False

        def go_on(sock, req):
            if is_probe(req):
                return report_model(sock, req)
            started.append(req)
            begin(sock, req)
            for number in range(1, 40):
                send_chunk(sock, event(number))
                eventlet.sleep(0.05)
            return False

        one = ScriptedReplica("one", hang)
        harness = self.harness(one, ScriptedReplica("two", go_on))
        caller = harness.connect()
        with mock.patch.object(ReplicaProbe, "stop", stop_slowly):
            send_request(caller, TOKENS, ms=4000)
            self.wait_until(lambda: started)
            eventlet.sleep(0.1)
            caller.close()
            eventlet.sleep(LEFT_WITHIN_S)
        # The caller's stream and the probe have both been given up.
        self.assertEqual(sorted(left), [False, True])


class StoppedTest(InterruptedCase):
    def test_request_behind_one_given_up_while_its_attempt_was_ended_is_cut(self):
        go, reading, stops = Event(), [], []

        def wait_first(sock, req):
            if req.headers.get(b"request-id") == b"id-2":
                return events(1, 2)(sock, req)
            reading.append(req)
            go.wait()
            if is_probe(req):
                return report_model(sock, req)
            begin(sock, req)
            send_chunk(sock, event(1))
            eventlet.sleep(0.1)
            sock.sendall(b"0\r\n\r\n")
            return True

        def close(exchange):
            # The thread of the attempt that doesn't lead is being killed.
            is_killed = sys.exc_info()[0] is GreenletExit
            if is_killed and exchange.request_id is not None and not stops:
                stops.append(exchange)
                harness.parts.open_requests.end_unbegun(0.0)
            CLOSE(exchange)

        replicas = [ScriptedReplica(name, wait_first) for name in ("one", "two")]
        harness = self.harness(*replicas)
        caller = harness.connect()
        with mock.patch.object(Exchange, "close", close):
            send_request(caller, TOKENS, ms=4000)
            send_request(caller, TOKENS, ms=4000, name=b"id-2")
            self.wait_until(lambda: len([r for r in reading if not is_probe(r)]) > 1)
            go.send()
            self.wait_until(lambda: stops)
            eventlet.sleep(0.5)
        # The first is answered or given up, and the second is served.
        answers = caller.recv(65_536).split(b"HTTP/1.1 ")[1:]
        self.assertEqual(len(answers), 2)
        self.assertTrue(answers[1].startswith(b"200 "))
        self.assertTrue(answers[1].endswith(event(2) + b"\r\n0\r\n\r\n"))
