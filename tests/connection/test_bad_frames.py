import unittest
from unittest import mock

import eventlet
import msgspec
from eventlet.green import socket
from hypothesis import example, given, settings
from hypothesis import strategies as st

from boragedeck.connection import frames
from boragedeck.connection.frames import MAX_FRAME_BYTES
from boragedeck.connection.messages import Accepted, Frame, Message, Ping, Refused
from boragedeck.connection.peer import Address, PeerLink, PeerServer
from boragedeck.connection.peer_server import PeerLimits
from boragedeck.exceptions import PeerRefusedError, PeerUnreachableError
from boragedeck.process.timers import RealTimers
from tests.support.values import DEEPLY_NESTED, bad_msgpack


class Note(Message, frozen=True):
    text: str
    count: int


class Fail(Message, frozen=True):
    pass


def with_length(body):
    return len(body).to_bytes(4, "big") + body


def encoded_frame(message):
    raw = msgspec.Raw(msgspec.msgpack.encode(message))
    return msgspec.msgpack.encode(Frame(1, False, raw))


NOTE = encoded_frame(Note("a", 1))
BODIES = bad_msgpack(NOTE)
STREAMS = st.lists(BODIES.map(with_length) | st.binary(max_size=40), max_size=4)


class BadFramesTest(unittest.TestCase):
    def setUp(self):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self.listener.getsockname())
        self.notes = []
        self.serve(PeerLimits())

    def serve(self, limits):
        self.server = PeerServer(self.listener, None, limits)
        self.server.register(Note, self.record_note)
        self.server.register(Fail, lambda message: {}["missing"])
        eventlet.spawn_n(self.server.serve)
        self.addCleanup(self.server.close)

    def record_note(self, message):
        self.notes.append(message)
        return Accepted()

    def connect(self):
        sock = socket.create_connection((self.address.host, self.address.port))
        self.addCleanup(sock.close)
        sock.settimeout(20)
        return sock

    def ping(self):
        link = PeerLink(self.address, RealTimers())
        self.addCleanup(link.close)
        return link.call(Ping(), Accepted, timeout_s=10).is_ok()

    @settings(max_examples=150)
    @given(STREAMS)
    @example([with_length(DEEPLY_NESTED[0])])
    @example([with_length(b"\x93\x01\xc2" + DEEPLY_NESTED[0])])
    @example([b"\xff\xff\xff\xff"])
    @example([(MAX_FRAME_BYTES + 1).to_bytes(4, "big")])
    def test_bad_stream_closes_only_its_connection(self, parts):
        self.notes.clear()
        with self.connect() as sock:
            try:
                sock.sendall(b"".join(parts))
                sock.shutdown(socket.SHUT_WR)
                while sock.recv(65_536):
                    pass
            except ConnectionError:
                pass
        self.assertTrue(self.ping())
        for note in self.notes:
            self.assertIs(type(note.text), str)
            self.assertIs(type(note.count), int)

    def test_failing_handler_refuses_its_call_and_the_link_stays_open(self):
        link = PeerLink(self.address, RealTimers())
        self.addCleanup(link.close)
        answer = link.call(Fail(), Accepted, timeout_s=10)
        self.assertIsInstance(answer.err(), PeerRefusedError)
        self.assertTrue(link.call(Note("a", 1), Accepted, timeout_s=10).is_ok())

    @settings(max_examples=60)
    @given(BODIES)
    @example(DEEPLY_NESTED[0])
    def test_bad_answer_is_an_error_of_the_call(self, body):
        listener = eventlet.listen(("127.0.0.1", 0))

        def answer():
            sock, _ = listener.accept()
            with sock, listener:
                sock.recv(65_536)
                sock.sendall(with_length(body))
                sock.sendall(with_length(b"\x93\x01\xc3" + body))

        eventlet.spawn_n(answer)
        link = PeerLink(Address(*listener.getsockname()), RealTimers())
        result = link.call(Ping(), Refused, timeout_s=10)
        link.close()
        if result.is_ok():
            self.assertIsInstance(result.ok(), Refused)
        else:
            errors = PeerRefusedError, PeerUnreachableError
            self.assertIsInstance(result.err(), errors)

    def test_call_to_a_peer_that_does_not_read_times_out(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        link = PeerLink(Address(*listener.getsockname()), RealTimers())
        self.addCleanup(link.close)
        big = Note("x" * (MAX_FRAME_BYTES - 1000), 1)
        result = link.call(big, Accepted, timeout_s=0.2)
        self.assertIsInstance(result.err(), PeerUnreachableError)

    def test_incomplete_large_frame_closes_the_connection(self):
        with mock.patch.object(frames, "BODY_TIMEOUT_S", 0.05):
            sock = self.connect()
            sock.sendall((1024 * 1024).to_bytes(4, "big") + b"x" * 100)
            self.assertEqual(sock.recv(1), b"")
        self.assertEqual(len(self.server), 0)

    def test_bytes_of_concurrent_calls_per_address_are_bounded(self):
        self.server.close()
        eventlet.sleep(0)
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self.listener.getsockname())
        self.serve(PeerLimits(bytes_per_host=3 * len(NOTE)))
        gate = eventlet.Event()
        self.server.register(
            Note, lambda message: (self.record_note(message), gate.wait())[0]
        )
        sockets = [self.connect() for _ in range(4)]
        for sock in sockets:
            sock.sendall(with_length(NOTE) * 2)
        for _ in range(50):
            eventlet.sleep(0.001)
        self.assertEqual(len(self.notes), 3)
        gate.send()
        for sock in sockets:
            self.assertTrue(sock.recv(1))
        self.assertTrue(self.ping())
        self.assertEqual(len(self.notes), 8)

    def test_connections_over_the_limit_are_closed_and_others_served(self):
        self.server.close()
        eventlet.sleep(0)
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self.listener.getsockname())
        self.serve(PeerLimits(connections=3))
        sockets = [self.connect() for _ in range(4)]
        self.assertEqual(sockets[3].recv(1), b"")
        self.assertEqual(len(self.server), 3)
        sockets[0].close()
        while len(self.server) == 3:
            eventlet.sleep(0)
        self.assertTrue(self.ping())

    def test_connections_of_one_address_are_bounded(self):
        server = PeerServer(self.listener, None, PeerLimits(connections_per_host=2))
        pairs = [socket.socketpair() for _ in range(3)]
        for near, far in pairs:
            self.addCleanup(near.close)
            server._admit(far, "10.0.0.1")
        self.assertEqual(pairs[2][0].recv(1), b"")
        self.assertEqual(len(server), 2)
