import unittest

import eventlet
import urllib3

from standins.service import ServiceApp
from standins.web import base_url, listen, serve


class ServiceTest(unittest.TestCase):
    def test_each_request_runs_once_and_is_listed(self):
        listener = listen()
        server = eventlet.spawn(serve, ServiceApp(), listener)
        self.addCleanup(server.kill)
        http = urllib3.PoolManager(retries=False)
        for expected in (1, 2):
            answer = http.request(
                "POST",
                base_url(listener) + "/dispense",
                body=b"250 ml",
                headers={"Idempotency-Key": "k1"},
            )
            self.assertEqual(
                answer.json(),
                {"run": expected, "path": "/dispense", "key": "k1", "body": "250 ml"},
            )
        runs = http.request("GET", base_url(listener) + "/_runs").json()
        self.assertEqual(
            runs, [{"key": "k1", "path": "/dispense", "method": "POST"}] * 2
        )
