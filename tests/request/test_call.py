import unittest
from types import SimpleNamespace

import msgspec
from result import Ok

from boragedeck.process.placing.versioned_chooser import VersionedChooser
from boragedeck.process.timers import ManualTimers
from boragedeck.request.call import CallService
from boragedeck.request.calls import CallRequest, CallResponse
from tests.request.world import CONFIG


class CallServiceTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.forwarded_calls = []
        cfg = SimpleNamespace(current=lambda: CONFIG)
        runner = SimpleNamespace(run=self.forward)
        self.calls = CallService(cfg, runner, runner, self.timers)

    def forward(self, call):
        self.forwarded_calls.append(call)
        return Ok(CallResponse(200))

    def send_request(self, **changes):
        request = CallRequest("o", "pay", "POST", "/x?y", (), b"{}", "k")
        return self.calls.handle(msgspec.structs.replace(request, **changes))

    def test_malformed_requests_are_refused(self):
        for changes in (
            {"method": "TRACE"},
            {"target": "x"},
            {"target": "/a b"},
            {"target": "/a\r\nX: 1"},
            {"headers": (("X-A", "1\r\nX-B: 2"),)},
            {"headers": (("X A", "1"),)},
            {"idempotency_key": ""},
            {"idempotency_key": "k" * 256},
        ):
            with self.subTest(changes=changes):
                self.assertEqual(self.send_request(**changes).err().status, 400)
        self.assertEqual(self.send_request(route="nope").err().status, 404)
        self.assertEqual(self.forwarded_calls, [])

    def test_the_service_gets_the_key_and_not_the_api_key(self):
        headers = (
            ("Authorization", "Bearer secret"),
            ("Connection", "X-Hop"),
            ("X-Hop", "1"),
            ("Idempotency-Key", "other"),
            ("X-Kept", "1"),
        )
        answer = self.send_request(headers=headers).ok()
        self.assertIn(("X-Request-Id", "k"), answer.headers)
        sent = dict(self.forwarded_calls[0].request.headers)
        self.assertEqual((sent["Idempotency-Key"], sent["X-Kept"]), ("k", "1"))
        self.assertEqual(sent["X-Organisation"], "o")
        self.assertFalse({"Authorization", "X-Hop"} & sent.keys())

    def test_commands_of_the_same_content_are_spread_over_versions(self):
        keys = set()
        versions = SimpleNamespace(
            choose=lambda route, key: keys.add(key), observe=lambda sample: None
        )
        inner = SimpleNamespace(
            acquire=lambda slot_request: Ok(
                SimpleNamespace(finish=lambda outcome: None)
            )
        )
        chooser = VersionedChooser(inner, versions, self.timers)
        for number in range(10):
            self.send_request(idempotency_key=f"k{number}")
            chooser.acquire(self.forwarded_calls[-1].slot_request).ok()
        self.assertEqual(len(keys), 10)
