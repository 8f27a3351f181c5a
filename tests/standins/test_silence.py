import time
import unittest

import eventlet
from eventlet.green import socket

from standins.relay_replica import RelayReplica
from standins.silence import Silence
from standins.web import listen

SILENCE_S = 0.4
REQUEST = (
    b"POST /answers/x HTTP/1.1\r\nHost: demo.example\r\nRequest-Id: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class SilenceTest(unittest.TestCase):
    def test_wait_returns_before_the_silence_is_over(self):
        silence, began = Silence(), time.monotonic()
        silence.begin_for(SILENCE_S)
        self.assertTrue(silence.is_on)
        silence.wait()
        self.assertGreaterEqual(time.monotonic() - began, SILENCE_S)
        self.assertFalse(silence.is_on)

    def test_wait_lasts_though_nothing_is_silent(self):
        with eventlet.Timeout(SILENCE_S):
            Silence().wait()

    def test_silence_that_ends_leaves_some_waiting(self):
        silence, pool = Silence(), eventlet.GreenPool()
        silence.begin()
        for _ in range(3):
            pool.spawn_n(silence.wait)
        eventlet.sleep(0)
        silence.end()
        with eventlet.Timeout(SILENCE_S):
            pool.waitall()

    def test_wait_returns_in_a_silence_that_follows_at_once(self):
        silence = Silence()
        silence.begin()
        waiter = eventlet.spawn(silence.wait)
        eventlet.sleep(0)
        silence.end()
        silence.begin()
        eventlet.sleep(0)
        self.assertFalse(waiter.dead)
        silence.end()
        waiter.wait()

    def test_earlier_end_cuts_a_longer_silence_short(self):
        silence, began = Silence(), time.monotonic()
        silence.begin_for(SILENCE_S / 2.0)
        silence.begin_for(SILENCE_S)
        silence.wait()
        self.assertGreaterEqual(time.monotonic() - began, SILENCE_S)

    def test_time_of_a_silence_that_was_ended_ends_the_next_one(self):
        silence = Silence()
        silence.begin_for(SILENCE_S / 2.0)
        silence.end()
        silence.begin()
        eventlet.sleep(SILENCE_S)
        self.assertTrue(silence.is_on)


class SilentRelayReplicaTest(unittest.TestCase):
    EVENTS = 10

    def setUp(self):
        self.replica = RelayReplica("one", self.EVENTS)
        self.listener = listen()
        self.addCleanup(self.listener.close)
        server = eventlet.spawn(self.replica.serve, self.listener)
        self.addCleanup(server.kill)

    def open(self, request=REQUEST):
        sock = socket.create_connection(self.listener.getsockname())
        self.addCleanup(sock.close)
        sock.sendall(request)
        return sock

    def read_until(self, sock, end):
        data = b""
        while end not in data:
            data += sock.recv(4096)
        return data

    def is_quiet(self, sock):
        sock.settimeout(SILENCE_S / 2.0)
        try:
            sock.recv(4096)
        except TimeoutError:
            return True
        finally:
            sock.settimeout(None)
        return False

    def read_all(self, sock):
        data = b""
        while part := sock.recv(4096):
            data += part
        return data

    def test_silent_replica_sends_events_or_loses_its_connection(self):
        sock = self.open()
        begun = self.read_until(sock, b"piece 2\n")
        self.replica.silence.begin()
        self.assertTrue(self.is_quiet(sock))
        self.replica.silence.end()
        self.assertIn(b"piece 10\n", begun + self.read_all(sock))

    def test_silent_replica_answers_a_probe(self):
        self.replica.silence.begin()
        probe = self.open(b"GET /boragedeck/report HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertTrue(self.is_quiet(probe))
        self.replica.silence.end()
        self.assertTrue(self.read_until(probe, b"\r\n\r\n").startswith(b"HTTP/1.1 200"))

    def test_silent_replica_starts_to_serve(self):
        self.replica.silence.begin()
        sock = self.open()
        self.assertTrue(self.is_quiet(sock))
        self.assertEqual(self.replica.served_ids, [])
        self.replica.silence.end()
        self.assertIn(b"piece 10\n", self.read_all(sock))
        self.assertEqual(self.replica.served_ids, ["1"])
