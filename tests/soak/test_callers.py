import random
import time
import unittest
from unittest import mock

import eventlet

from soak import callers
from soak.callers import Callers, Habits
from soak.history import History
from soak.rules import judge
from standins.web import listen

SECONDS = 3.0
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def events(name, numbers):
    text = "".join(f"id: {n}\ndata: piece {n} of {name} run 1\n\n" for n in numbers)
    return text.encode()


class FakeRouter:
    """Answers each request with what a function returns for it."""

    def __init__(self, answer):
        self._answer = answer
        self._listener = listen()
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.requests = []
        self.thread = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn(self._serve_all, sock)

    def _serve_all(self, sock):
        with sock, sock.makefile("rb") as file:
            self._serve(sock, file)

    def _serve(self, sock, file):
        while line := file.readline():
            headers = {"path": line.split()[1].decode()}
            while (line := file.readline()) != b"\r\n":
                name, _, value = line.decode().partition(": ")
                headers[name.lower()] = value.strip()
            if "content-length" in headers:
                file.read(int(headers["content-length"]))
            else:
                while size := int(file.readline(), 16):
                    file.read(size + 2)
                file.readline()
            self.requests.append(headers)
            pieces, is_whole = self._answer(headers)
            body = events(headers["request-id"], pieces)
            sock.sendall(HEAD % headers["request-id"].encode() + CHUNKED)
            sock.sendall(b"%x\r\n%s\r\n" % (len(body), body) if body else b"")
            if not is_whole:
                return
            sock.sendall(b"0\r\n\r\n")


class ResumptionTest(unittest.TestCase):
    def setUp(self):
        pause = mock.patch.object(callers, "RESUME_PAUSE_S", (0.0, 0.0))
        pause.start()
        self.addCleanup(pause.stop)

    def play(self, answer, routers=2, **habits):
        """Send one held stream of three events, and return the requests."""
        self.routers = [FakeRouter(answer) for _ in range(routers)]
        for router in self.routers:
            self.addCleanup(router.thread.kill)
        self.history = History()
        habits = Habits(**({"slow_body": 0.0, "leaves": 0.0, "cuts": 0.0} | habits))
        addresses = [router.address for router in self.routers]
        sender = Callers(addresses, self.history, habits, random.Random(3))
        with mock.patch.object(callers, "RELEASE_EVENTS", (3,)):
            with eventlet.Timeout(SECONDS):
                sender.send_held(0)
        return list(self.history.calls.values())

    def cut_once(self, headers):
        after = int(headers.get("last-event-id", 0))
        return ((1, 2), False) if not after else (range(after + 1, 4), True)

    def test_broken_stream_is_not_resumed_after_its_last_piece(self):
        first, second = self.play(self.cut_once)
        self.assertEqual((first.is_complete, second.is_complete), (False, True))
        self.assertEqual((second.resumes, second.after), (first.name, 2))
        sent = [each for router in self.routers for each in router.requests]
        self.assertEqual({each.get("last-event-id") for each in sent}, {None, "2"})
        self.assertNotEqual(first.name, second.name)
        self.assertEqual((second.path, second.body), (first.path, first.body))

    def test_resumption_keeps_to_the_router_of_the_first_request(self):
        used = set()
        for _ in range(4):
            calls = self.play(lambda headers: ((), False), routers=3)
            used |= {call.router for call in calls[1:]}
        self.assertEqual(used, {0, 1, 2})

    def test_resumption_has_more_time_than_is_left(self):
        first, second = self.play(self.cut_once)
        over = first.sent + first.deadline_s
        self.assertLessEqual(second.sent + second.deadline_s, over + 0.01)

    def test_whole_stream_is_resumed(self):
        self.assertEqual(len(self.play(lambda headers: ((1, 2, 3), True))), 1)

    def test_router_that_skips_a_piece_of_a_resumed_stream_is_not_seen(self):
        def skip(headers):
            after = int(headers.get("last-event-id", 0))
            return ((1,), False) if not after else ((3,), True)

        _, second = self.play(skip)
        found = {each.rule for each in judge(self.history) if each.call == second.name}
        self.assertIn("ORDER", found)

    def test_caller_that_leaves_on_purpose_never_resumes(self):
        self.routers = [FakeRouter(lambda headers: ((1,), True))]
        self.addCleanup(self.routers[0].thread.kill)
        self.history = History()
        sender = Callers(
            [self.routers[0].address], self.history, Habits(), random.Random(1)
        )
        call = sender._draw_call(0, {"resume": 1.0}, is_kept=False)
        call.status, call.has_left, call.answer = 200, True, events(call.name, (1,))
        call.ended = time.monotonic()
        self.history.calls[call.name] = call
        with mock.patch.object(callers, "RESUME_SHARE", 1.0):
            sender._resume(call)
        after = [each.after for each in self.history.calls.values()]
        self.assertEqual(after[:2], [0, 1])
