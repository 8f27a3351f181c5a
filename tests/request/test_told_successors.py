import unittest

import eventlet

from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    FakeFactBoard,
    RelayHarness,
    ScriptedReplica,
    event,
    events,
    head_of,
    moved,
    read_response,
    report_model,
    send_chunk,
    send_request,
    stream_rule,
)

TOKENS = b"Token-Counts: 1000,100"
POOL = RelayPool("engines", 100, ENGINE)


def answer_as_other(sock, req):
    """Answer as the replica "other", which has the address now."""
    match req.headers.get(b"expect-instance"):
        case None:
            return report_model(sock, req)
        case b"other":
            return events(1)(sock, req)
    return moved(sock, req)


class ToldSuccessorTest(unittest.TestCase):
    def setUp(self):
        shared = {}
        self.harnesses = [
            RelayHarness(
                stream_rule(), pool=POOL, facts=FakeFactBoard(f"r-{number}", shared)
            )
            for number in range(3)
        ]
        for harness in self.harnesses:
            self.addCleanup(harness.close)

    def start(self, step):
        """Add a replica to all routers, and return it."""
        replica = ScriptedReplica("one", step)
        for harness in self.harnesses:
            harness.add(replica, born_ms=5)
        return replica

    def test_each_router_sends_a_request_to_the_replica_that_is_gone(self):
        replica = self.start(answer_as_other)
        for harness in self.harnesses:
            self.assertEqual(harness.fetch(TOKENS).body, event(1))
        expected = [req.headers[b"expect-instance"] for req in replica.relayed()]
        self.assertEqual(expected, [b"one", b"other", b"other", b"other"])

    def test_wrong_word_of_another_router_cuts_a_stream_that_runs(self):
        def step(sock, req):
            if b"request-id" not in req.headers:
                return report_model(sock, req)
            sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
            for number in (1, 2, 3):
                send_chunk(sock, event(number))
                eventlet.sleep(0.1)
            sock.sendall(b"0\r\n\r\n")
            return True

        self.start(step)
        finder, other = self.harnesses[:2]
        sock = other.connect()
        send_request(sock, TOKENS, name=b"id-0")
        eventlet.sleep(0.05)
        state = finder.registry.get("one")
        finder.parts.successors.note_moved(state, "other", lambda: frozenset({"m"}))
        self.assertIsNotNone(other.registry.get("other"))
        response = read_response(sock)
        self.assertTrue(response.is_complete)
        self.assertEqual(response.body, event(1) + event(2) + event(3))


if __name__ == "__main__":
    unittest.main()
