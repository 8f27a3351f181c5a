import json
import os
import time
import unittest
from unittest import mock

import eventlet
import urllib3

from scripts.local_cluster import ORGANISATIONS, ClusterOptions, LocalCluster
from tests.support.uncontrolled_callers import CHUNK, CallerCrowd

MEMORY_MB = 112
MAX_FDS = 128
BODY_BYTES = 4 * 1024 * 1024
ANSWERED_BYTES = 500_000
BODIES = 30
IDLE = 200
SETTLE_S = 3.0
RETRY_S = 0.5
RECOVERED_S = 50.0
ANSWER_TIMEOUT_S = 30.0
SETTINGS = {
    "BORAGEDECK_MEMORY_MB": str(MEMORY_MB),
    "BORAGEDECK_MAX_FDS": str(MAX_FDS),
}


class UncontrolledApiCallersTest(unittest.TestCase):
    """Crowds of callers that make a stand-alone router hold memory or descriptors.

    They guard against a process that grows beyond its VM, or serves nobody else.
    """

    def setUp(self):
        self.cluster = LocalCluster(ClusterOptions(routers=1, engines=1, services=1))
        self.addCleanup(self.cluster.stop)
        with mock.patch.dict(os.environ, SETTINGS):
            self.cluster.start()
        self.router = self.cluster.routers[0]
        self.key = self.cluster.api_keys[ORGANISATIONS[0]]
        url = urllib3.util.parse_url(self.router.url)
        self.crowd = CallerCrowd((url.host, url.port), self.router.pid)
        self.addCleanup(self.crowd.close)

    def head(self, *headers):
        lines = ["POST /v1/completions HTTP/1.1", "Host: router", *headers]
        lines.append(f"Authorization: Bearer {self.key}")
        return "\r\n".join([*lines, "", ""]).encode()

    def ask(self, text="one"):
        """Return the status of one short generation; None if there is no answer."""
        body = {"model": "orders", "prompt": text, "max_tokens": 4}
        try:
            return urllib3.request(
                "POST",
                self.router.url + "/v1/completions",
                body=json.dumps(body),
                headers={"Authorization": f"Bearer {self.key}", "Connection": "close"},
                retries=False,
                timeout=ANSWER_TIMEOUT_S,
            ).status
        except urllib3.exceptions.HTTPError:
            return None

    def assert_held(self):
        """The process lives, stayed within its bounds, and serves an ordinary one."""
        eventlet.sleep(SETTLE_S)
        until, status = time.monotonic() + RECOVERED_S, None
        while status != 200 and time.monotonic() < until:
            status = self.ask()
            eventlet.sleep(RETRY_S)
        self.assertEqual(status, 200)
        self.assertIsNone(self.router.popen.poll())
        self.assertLess(self.crowd.most_bytes, MEMORY_MB * 1024 * 1024)
        self.assertLess(self.crowd.most_files, MAX_FDS)

    def test_bodies_that_stop_just_short_of_their_end(self):
        head = self.head(f"Content-Length: {BODY_BYTES}")
        parts = [b"x" * CHUNK] * (BODY_BYTES // CHUNK - 1)
        self.crowd.send_all([head, *parts, b"x" * (CHUNK - 1)], BODIES)
        self.assert_held()

    def test_bodies_in_chunks_that_stop_just_short_of_their_end(self):
        chunk = b"%x\r\n%s\r\n" % (CHUNK, b"x" * CHUNK)
        head = self.head("Transfer-Encoding: chunked")
        self.crowd.send_all([head, *[chunk] * (BODY_BYTES // CHUNK)], BODIES)
        self.assert_held()

    def test_connections_that_stay_idle(self):
        for _ in range(IDLE):
            self.crowd.connect()
        self.assert_held()

    def test_single_long_requests_are_read_one_after_the_other(self):
        for _ in range(3):
            self.assertEqual(self.send("/svc/accounts/x", ANSWERED_BYTES), 200)
            # It is read whole, and only then found to be no valid JSON.
            self.assertEqual(self.send("/v1/completions", BODY_BYTES), 400)
        self.assertLess(self.crowd.most_bytes, MEMORY_MB * 1024 * 1024)

    def send(self, path, size):
        """Return the status of one request with a body of the given size."""
        return urllib3.request(
            "POST",
            self.router.url + path,
            body=b"x" * size,
            headers={"Authorization": f"Bearer {self.key}"},
            retries=False,
            timeout=ANSWER_TIMEOUT_S,
        ).status
