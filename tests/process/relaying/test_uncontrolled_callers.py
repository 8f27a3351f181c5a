import tempfile
import unittest
from pathlib import Path

import eventlet
import urllib3

from scripts.platform_cluster import ROUTE_HEADERS, PlatformCluster
from tests.support.uncontrolled_callers import (
    CHUNK,
    SLOW_RECEIVE_BYTES,
    CallerCrowd,
    LargeAnswers,
    LongStreams,
)

MEMORY_MB = 88
MAX_FDS = 128
BODY_BYTES = 4 * 1024 * 1024
FILLER_BYTES = 7_500
"""A header line; the stand-in of a replica takes no line of over 8 KB."""
BODIES = 30
ANSWERS = 30
STREAMS = 30
EVENTS = 2_500
EVENT_BYTES = 8_000
IDLE = 200
PIPELINED = 16
REQUESTS_AHEAD = 300
SETTLE_S = 3.0
"""How long the crowd stays before the ordinary request."""
ANSWER_TIMEOUT_S = 30.0
RETRY_S = 0.5
RECOVERED_S = 20.0
CALL_TIMEOUT_MS = 20_000


def request_head(path, *headers):
    lines = [f"POST {path} HTTP/1.1", "Request-Id: crowd", "Token-Counts: 100,40"]
    lines += [f"{name}: {value}" for name, value in ROUTE_HEADERS.items()]
    return "\r\n".join([*lines, *headers, "", ""]).encode()


def unfinished_body():
    """Return a body with its length, without its last byte."""
    head = request_head("/calls/x", f"Content-Length: {BODY_BYTES}")
    return [head, *[b"x" * CHUNK] * (BODY_BYTES // CHUNK - 1), b"x" * (CHUNK - 1)]


def unfinished_chunks():
    """Return a body in chunks, without the last one."""
    head = request_head("/calls/x", "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (CHUNK, b"x" * CHUNK)
    return [head, *[chunk] * (BODY_BYTES // CHUNK)]


class UncontrolledCallersTest(unittest.TestCase):
    """Crowds of callers that make a router hold memory or descriptors for them.

    They guard against a process that grows beyond its VM, or serves nobody else.
    """

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = PlatformCluster(Path(directory.name))
        self.addCleanup(self.cluster.stop)
        self.put_routes()
        self.cluster.add_replica(LargeAnswers("kiosk-1", BODY_BYTES), "kiosks", "a")
        self.cluster.add_replica(
            LongStreams("engine-1", EVENTS, EVENT_BYTES), "engines", "a"
        )
        limits = {"memoryMb": MEMORY_MB, "maxFds": MAX_FDS}
        self.url = self.cluster.add_router("a", limits)
        self.pid = self.cluster.routers[0].pid
        self.crowd = CallerCrowd(self.cluster.front(0), self.pid)
        self.addCleanup(self.crowd.close)

    def put_routes(self):
        route = {"host": "demo.example", "timeoutMs": CALL_TIMEOUT_MS}
        calls = {"name": "calls", "prefix": "/calls/", "kind": "idempotent"}
        streams = {"name": "streams", "prefix": "/streams/", "kind": "streaming"}
        engine = {"slots": 64, "kvCapacity": 880_000, "models": [{"name": "m"}]}
        self.cluster.put_document(
            {
                "version": 1,
                "routes": [
                    route | calls | {"service": "kiosks", "latencyGoalMs": 2_000},
                    route | streams | {"service": "engines", "latencyGoalMs": 2_000},
                ],
                "services": [
                    {"name": "kiosks"},
                    {"name": "engines", "engine": engine},
                ],
                "tenants": [{"name": "demo", "apiKeys": ["demo-key"]}],
            }
        )

    def call(self, body=b"", path="/calls/x", headers=None):
        """Return the status and length of the answer to one request; None if none."""
        try:
            answer = urllib3.request(
                "POST",
                self.url + path,
                body=body,
                headers=ROUTE_HEADERS
                | {"Request-Id": "ordinary", "Connection": "close"}
                | (headers or {}),
                retries=False,
                timeout=ANSWER_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return None
        return answer.status, len(answer.data)

    def assert_held(self):
        """The process lives, stayed within its bounds, and serves an ordinary call."""
        eventlet.sleep(SETTLE_S)
        self.assert_served()
        self.assertIsNone(self.cluster.routers[0].poll())
        self.assertLess(self.crowd.most_bytes, MEMORY_MB * 1024 * 1024)
        self.assertLess(self.crowd.most_files, MAX_FDS)

    def assert_served(self):
        answer = None
        with eventlet.Timeout(RECOVERED_S + ANSWER_TIMEOUT_S, False):
            while answer != (200, CHUNK):
                answer = self.call()
                eventlet.sleep(RETRY_S)
        self.assertEqual(answer, (200, CHUNK))

    def test_bodies_that_stop_just_short_of_their_end(self):
        self.crowd.send_all(unfinished_body(), BODIES)
        self.assert_held()

    def test_bodies_in_chunks_that_stop_just_short_of_their_end(self):
        self.crowd.send_all(unfinished_chunks(), BODIES)
        self.assert_held()

    def test_large_answers_that_are_not_read(self):
        head = request_head("/calls/large", "Content-Length: 0")
        self.crowd.send_all([head], ANSWERS, SLOW_RECEIVE_BYTES)
        self.assert_held()

    def test_long_streams_that_are_not_read(self):
        head = request_head("/streams/x", "Content-Length: 0")
        self.crowd.send_all([head], STREAMS, SLOW_RECEIVE_BYTES)
        self.assert_held()

    def test_requests_sent_ahead_whose_answers_are_not_read(self):
        head = request_head("/calls/large", "Content-Length: 0")
        parts = [head] * REQUESTS_AHEAD
        self.crowd.send_all(parts, PIPELINED, SLOW_RECEIVE_BYTES)
        self.assert_held()

    def test_connections_that_stay_idle(self):
        for _ in range(IDLE):
            self.crowd.connect()
        self.assert_held()

    def test_single_requests_inside_the_limits_are_served_one_after_the_other(self):
        body = b"x" * BODY_BYTES
        for _ in range(4):
            self.assertEqual(self.call(body), (200, CHUNK))
            self.assertEqual(self.call(path="/calls/large"), (200, BODY_BYTES))
        long_head = {f"Filler-{number}": "x" * FILLER_BYTES for number in (1, 2)}
        self.assertEqual(self.call(headers=long_head), (200, CHUNK))
        self.assertLess(self.crowd.most_bytes, MEMORY_MB * 1024 * 1024)
