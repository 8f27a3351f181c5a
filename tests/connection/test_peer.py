import unittest

import eventlet
import msgspec
from eventlet.green import socket

from boragedeck.connection.messages import Accepted, Frame, Message, Ping, Refused
from boragedeck.connection.peer import Address, PeerLink, PeerServer
from boragedeck.exceptions import PeerRefusedError, PeerUnreachableError
from boragedeck.process.membership.causal_clock import process_clock
from boragedeck.process.timers import RealTimers


class Echo(Message, frozen=True):
    text: str


class Never(Message, frozen=True):
    pass


class PeerLinkTest(unittest.TestCase):
    def setUp(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.server = PeerServer(listener)
        self.server.register(Echo, lambda message: message)
        self.server.register(Never, lambda message: eventlet.sleep(3600))
        eventlet.spawn_n(self.server.serve)
        self.addCleanup(self.server.close)
        address = Address("127.0.0.1", listener.getsockname()[1])
        self.link = PeerLink(address, RealTimers())
        self.addCleanup(self.link.close)

    def test_answers_are_paired_with_their_calls(self):
        pool = eventlet.GreenPool()
        texts = [str(i) for i in range(50)]
        answers = pool.imap(
            lambda text: self.link.call(Echo(text), Echo, timeout_s=5).ok().text, texts
        )
        self.assertEqual(list(answers), texts)

    def test_unknown_message_is_refused(self):
        class Other(Message, frozen=True):
            pass

        result = self.link.call(Other(), Accepted, timeout_s=5)
        self.assertIsInstance(result.err(), PeerRefusedError)

    def test_silent_peer_is_unreachable_and_the_link_stays_open(self):
        result = self.link.call(Never(), Accepted, timeout_s=0.01)
        self.assertIsInstance(result.err(), PeerUnreachableError)
        self.assertEqual(result.err().step, "Never")
        self.assertTrue(self.link.call(Ping(), Accepted, timeout_s=5).is_ok())

    def test_broken_connection_fails_calls_and_is_reopened(self):
        waiting = eventlet.spawn(self.link.call, Never(), Refused, timeout_s=60)
        self.assertTrue(self.link.call(Ping(), Accepted, timeout_s=5).is_ok())
        self.link.close()
        self.assertIsInstance(waiting.wait().err(), PeerUnreachableError)
        self.assertTrue(self.link.call(Ping(), Accepted, timeout_s=5).is_ok())

    def test_clock_of_a_frame_advances_the_own_clock(self):
        ahead = process_clock.tick() + 60_000_000
        ping = msgspec.Raw(msgspec.msgpack.encode(Ping()))
        body = msgspec.msgpack.encode(Frame(1, False, ping, ahead))
        peer = socket.create_connection(
            (self.link.address.host, self.link.address.port)
        )
        self.addCleanup(peer.close)
        peer.sendall(len(body).to_bytes(4, "big") + body)
        with peer.makefile("rb") as file:
            size = int.from_bytes(file.read(4), "big")
            answer = msgspec.msgpack.decode(file.read(size), type=Frame)
        self.assertGreaterEqual(answer.clock, ahead)
        self.assertGreater(process_clock.tick(), ahead)

    def test_invalid_address_is_unreachable(self):
        hosts = ("\x80", 1), ("localhost", 1), ("127.0.0.1", 70_000), ("::1", -1)
        for host, port in hosts:
            link = PeerLink(Address(host, port), RealTimers())
            result = link.call(Ping(), Accepted, timeout_s=5)
            self.assertIsInstance(result.err(), PeerUnreachableError)
