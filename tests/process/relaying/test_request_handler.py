import unittest
from unittest import mock

import eventlet

from boragedeck.process.relaying import request_handler
from boragedeck.process.relaying.request_handler import handle_request
from tests.support.replicas import RelayHarness


class RequestHandlerTest(unittest.TestCase):
    def fetch(self, relay_one):
        harness = RelayHarness()
        self.addCleanup(harness.close)
        harness.edge.handle = lambda raw, channel: handle_request(
            harness.parts, raw, channel, relay_one
        )
        with mock.patch.object(request_handler._log, "write") as write:
            response = harness.fetch()
        lines = [each for each in write.call_args_list if each.args[0] != "Refused."]
        self.assertEqual([each.args[0] for each in lines], ["Request failed."])
        self.assertEqual(lines[0].kwargs["request"], "id-1")
        return response, lines[0].kwargs

    def test_unexpected_exception_closes_the_connection_without_an_answer(self):
        for error in (ZeroDivisionError(), ConnectionResetError(), eventlet.Timeout()):
            with self.subTest(error=error):
                failing = mock.Mock(side_effect=error)
                response, fields = self.fetch(failing)
                self.assertEqual(response.status, 500)
                self.assertTrue(response.is_complete)
                self.assertNotIn(b"retry-after", response.headers)
                self.assertIn(type(error).__name__, fields["error"])

    def test_unexpected_exception_lets_a_begun_answer_look_complete(self):
        def fail(parts, req, channel):
            channel.begin(200, [])
            channel.write(b"part")
            raise ZeroDivisionError

        response, fields = self.fetch(fail)
        self.assertEqual((response.status, response.body), (200, b"part"))
        self.assertFalse(response.is_complete)
        self.assertTrue(fields["has_begun"])

    def test_answer_whose_head_is_invalid_is_none(self):
        response, _ = self.fetch(
            lambda parts, req, channel: channel.respond(200, [(b"X", b"a\n")], b"")
        )
        self.assertEqual(response.status, 500)
