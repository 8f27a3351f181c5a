import unittest

import eventlet
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from boragedeck.connection.messages import Accepted, Frame, Message, Ping, Refused
from boragedeck.connection.peer import Address, PeerLink, PeerServer
from boragedeck.connection.peer_protocol import (
    Greeting,
    PeerProtocol,
    agreed_protocol,
)
from boragedeck.exceptions import PeerUnreachableError
from boragedeck.process.timers import RealTimers

UNNAMED, NAMED = PeerProtocol.UNNAMED, PeerProtocol.NAMED


class Note(Message, frozen=True):
    text: str


class Dialect:
    """Marks each message with the version of the protocol that its receiver speaks."""

    def __init__(self, protocol=NAMED, build="b1"):
        self.greeting = Greeting(protocol, build)
        self.peers = []

    def for_peer(self, message, protocol):
        return Note(f"{protocol.name}") if isinstance(message, Note) else message

    def note_peer(self, address, protocol, greeting):
        self.peers.append((protocol, greeting and greeting.build))

    def forget_peer(self, address):
        self.peers.clear()


class GreetingTest(unittest.TestCase):
    def serve(self, dialect):
        listener = eventlet.listen(("127.0.0.1", 0))
        server = PeerServer(listener, dialect=dialect)
        self.heard = []
        server.register(Note, self.answer)
        eventlet.spawn_n(server.serve)
        self.addCleanup(server.close)
        return Address("127.0.0.1", listener.getsockname()[1])

    def answer(self, message):
        self.heard.append(message.text)
        return message

    def call(self, address, dialect):
        link = PeerLink(address, RealTimers(), dialect=dialect)
        self.addCleanup(link.close)
        return link.call(Note("x"), Note, timeout_s=5)

    def test_two_new_builds_speak_the_newest_version(self):
        dialect = Dialect()
        address = self.serve(Dialect(build="b2"))
        self.assertEqual(self.call(address, dialect).ok().text, "NAMED")
        self.assertEqual(self.heard, ["NAMED"])
        self.assertEqual(dialect.peers, [(NAMED, "b2")])

    def test_messages_to_a_build_that_refuses_the_greeting_are_translated(self):
        dialect = Dialect()
        self.assertTrue(self.call(self.serve(None), dialect).is_ok())
        self.assertEqual(self.heard, ["UNNAMED"])
        self.assertEqual(dialect.peers, [(UNNAMED, None)])

    def test_answers_to_a_build_that_does_not_greet_are_translated(self):
        answer = self.call(self.serve(Dialect()), None)
        self.assertEqual(answer.ok().text, "UNNAMED")

    def test_peer_of_a_future_build_is_spoken_to_in_the_own_version(self):
        dialect = Dialect()
        self.call(self.serve(Dialect(protocol=9)), dialect)
        self.assertEqual(dialect.peers, [(NAMED, "b1")])

    def test_numbers_that_are_no_version_mean_the_oldest(self):
        told = [-(1 << 60), -1, 0, 1, 2, 3, 1 << 60]
        agreed = [agreed_protocol(number) for number in told]
        self.assertEqual(agreed, [UNNAMED] * 4 + [NAMED] * 3)

    def test_long_name_of_a_build_is_cut(self):
        self.assertEqual(len(Greeting(2, "x" * 10_000).build_label()), 40)

    def test_link_to_a_peer_that_does_not_answer_the_greeting_is_closed(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        link = PeerLink(
            Address(*listener.getsockname()), RealTimers(), dialect=Dialect()
        )
        self.addCleanup(link.close)
        result = link.call(Ping(), Accepted, timeout_s=2)
        self.assertIsInstance(result.err(), PeerUnreachableError)

    def test_version_may_be_told_anew_on_a_connection(self):
        address = self.serve(Dialect())
        link = PeerLink(address, RealTimers())
        self.addCleanup(link.close)
        for told, agreed in ((2, "NAMED"), (0, "UNNAMED"), (7, "NAMED")):
            self.assertTrue(link.call(Greeting(told), Greeting, timeout_s=5).is_ok())
            answer = link.call(Note("x"), Note, timeout_s=5)
            self.assertEqual(answer.ok().text, agreed)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(1 << 63), (1 << 64) - 1) | st.text(),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=12,
)


class DecoderFuzzTest(unittest.TestCase):
    """Messages of other builds: unknown kinds, more fields, other values, cut off."""

    @classmethod
    def setUpClass(cls):
        cls.server = PeerServer(None, dialect=Dialect())
        cls.server.register(Note, lambda message: message)
        cls.caller = type("Caller", (), {"protocol": UNNAMED})

    def handle(self, body):
        return self.server._answer_in_dialect(msgspec.Raw(body), self.caller)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.sampled_from(["Note", "Greeting", "Ping", "Other", ""]),
        st.lists(VALUES, max_size=5),
        st.integers(0, 3),
    )
    def test_any_message_is_answered(self, kind, fields, cut):
        body = msgspec.msgpack.encode([kind, *fields])
        answer = self.handle(body[: len(body) - cut])
        self.assertIsInstance(answer, Note | Greeting | Accepted | Refused)

    def test_unknown_fields_at_the_end_are_skipped(self):
        answer = self.handle(msgspec.msgpack.encode(["Greeting", 2, "b3", {"x": 1}]))
        self.assertIsInstance(answer, Greeting)

    def test_frame_with_unknown_fields_is_read(self):
        body = msgspec.msgpack.encode([7, False, ["Ping"], 3, "more"])
        self.assertEqual(msgspec.msgpack.decode(body, type=Frame).number, 7)
