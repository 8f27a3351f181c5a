"""A router as a process, before crowds of callers that nobody controls."""

import tempfile
import unittest
from pathlib import Path

import eventlet
import urllib3

from scripts.platform_cluster import ROUTE_HEADERS, PlatformCluster
from tests.support.uncontrolled_callers import (
    CHUNK,
    CallerCrowd,
    LargeAnswers,
    LongStreams,
    stream_event,
)

__all__ = ["BODY_BYTES", "MB", "STREAM_BYTES", "CrowdCase", "request_head"]

MB = 1024 * 1024
BODY_BYTES = 4 * MB
EVENTS = 2_500
EVENT_BYTES = 8_000
STREAM_BYTES = sum(
    len(stream_event(number, EVENT_BYTES)) for number in range(1, EVENTS + 1)
)
ANSWER_TIMEOUT_S = 30.0
RETRY_S = 0.5
RECOVERED_S = 20.0


def request_head(path: str, *headers: str, timeout_ms: int = 10_000) -> bytes:
    """Return the head of a request of the crowd."""
    lines = [f"POST {path} HTTP/1.1", "Request-Id: crowd", "Token-Counts: 100,40"]
    own = ROUTE_HEADERS | {"Deadline-Ms": str(timeout_ms)}
    lines += [f"{name}: {value}" for name, value in own.items()]
    return "\r\n".join([*lines, *headers, "", ""]).encode()


class CrowdCase(unittest.TestCase):
    """One router as a process, replicas of two services, and a crowd.

    Attributes
    ----------
    memory_mb, max_fds : int
        The limits of the router's VM.
    replicas : int
        The number of replicas of each service.
    slots : int
        How many calls each replica serves at the same time.
    stream_slots : int
        How many streams each engine serves at the same time.
    call_timeout_ms : int
        How long a call may take.
    settle_s : float
        How long the crowd stays before the ordinary request, in seconds.
    """

    memory_mb = 88
    max_fds = 128
    replicas = 1
    slots = 8
    stream_slots = 64
    call_timeout_ms = 20_000
    settle_s = 3.0

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = PlatformCluster(Path(directory.name))
        self.addCleanup(self.cluster.stop)
        self.put_routes()
        for number in range(1, self.replicas + 1):
            calls = LargeAnswers(f"kiosk-{number}", BODY_BYTES, self.slots)
            self.cluster.add_replica(calls, "kiosks", "a")
            streams = LongStreams(f"engine-{number}", EVENTS, EVENT_BYTES)
            self.cluster.add_replica(streams, "engines", "a")
        limits = {"memoryMb": self.memory_mb, "maxFds": self.max_fds}
        self.url = self.cluster.add_router("a", limits)
        self.pid = self.cluster.routers[0].pid
        self.crowd = CallerCrowd(self.cluster.front(0), self.pid)
        self.addCleanup(self.crowd.close)

    def put_routes(self):
        route = {"host": "demo.example", "timeoutMs": self.call_timeout_ms}
        calls = {"name": "calls", "prefix": "/calls/", "kind": "idempotent"}
        streams = {"name": "streams", "prefix": "/streams/", "kind": "streaming"}
        engine = {
            "slots": self.stream_slots,
            "kvCapacity": 880_000,
            "models": [{"name": "m"}],
        }
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

    def assert_held(self, path="/calls/x", size=CHUNK):
        """The process lives, stayed within its bounds, and serves a request whole."""
        eventlet.sleep(self.settle_s)
        self.assert_served(path, size)
        self.assert_within_bounds()

    def assert_within_bounds(self):
        """The process lives and stayed within its memory and descriptors."""
        self.assertIsNone(self.cluster.routers[0].poll())
        self.assertLess(self.crowd.most_bytes, self.memory_mb * MB)
        self.assertLess(self.crowd.most_files, self.max_fds)

    def assert_served(self, path="/calls/x", size=CHUNK):
        """An ordinary request is answered whole, though perhaps not at once."""
        answer = None
        with eventlet.Timeout(RECOVERED_S + ANSWER_TIMEOUT_S, False):
            while answer != (200, size):
                answer = self.call(path=path)
                eventlet.sleep(RETRY_S)
        self.assertEqual(answer, (200, size))
