import random
import re
import unittest

import eventlet
from eventlet.green import socket

from standins.late_answers import AnswerRepeater, never, with_share
from standins.relay_replica import RelayReplica
from standins.web import listen


def request(name):
    return b"GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n" % name


class RelayReplicaTest(unittest.TestCase):
    def ids(self, may_repeat):
        """Return the ids in the answers to three requests on one connection."""
        replica = RelayReplica("one", may_repeat=may_repeat)
        listener = listen()
        server = eventlet.spawn(replica.serve, listener)
        self.addCleanup(listener.close)
        self.addCleanup(server.kill)
        sock = socket.create_connection(listener.getsockname())
        self.addCleanup(sock.close)
        data = b""
        for name in (b"id-1", b"id-2", b"id-3"):
            sock.sendall(request(name))
            while not data.endswith(b"served by one") or name not in data:
                data += sock.recv(65_536)
        return re.findall(rb"Request-Id: (\S+)", data)

    def test_answer_is_repeated_before_the_next_one_on_its_connection(self):
        self.assertEqual(
            self.ids(lambda: True), [b"id-1", b"id-1", b"id-2", b"id-2", b"id-3"]
        )

    def test_no_answer_is_repeated_unless_that_is_asked_for(self):
        self.assertEqual(self.ids(never), [b"id-1", b"id-2", b"id-3"])

    def test_share_is_drawn_by_the_seed(self):
        draws = [with_share(0.5, random.Random(1)) for _ in range(2)]
        first, second = ([draw() for _ in range(20)] for draw in draws)
        self.assertEqual(first, second)
        self.assertEqual(set(first), {False, True})


class AnswerRepeaterTest(unittest.TestCase):
    def test_long_answer_is_not_kept(self):
        repeater = AnswerRepeater(lambda: True)
        for _ in range(100):
            repeater.note_sent(b"x" * 1000)
        self.assertEqual(repeater.begin_answer(), b"")
