import unittest

from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    events,
    stream_rule,
)

NAME = "vič840"


class OtherLettersTest(unittest.TestCase):
    def harness(self, rule):
        harness = RelayHarness(rule)
        self.addCleanup(harness.close)
        harness.table.organisations["key-1"] = NAME
        return harness

    def test_call_of_an_organisation_that_is_not_latin_1_is_never_sent(self):
        harness = self.harness(call_rule())
        one = ScriptedReplica("one", answer())
        harness.add(one)
        self.assertEqual(harness.fetch().status, 200)
        self.assertEqual(one.received[0].headers[b"tenant"], NAME.encode())

    def test_stream_of_an_organisation_that_is_not_latin_1_is_never_sent(self):
        harness = self.harness(stream_rule())
        one = ScriptedReplica("one", events(1))
        harness.add(one)
        self.assertTrue(harness.fetch().is_complete)
        self.assertEqual(one.received[0].headers[b"tenant"], NAME.encode())

    def test_replica_whose_id_is_not_latin_1_gets_no_request(self):
        harness = self.harness(call_rule())
        one = ScriptedReplica("ič", answer())
        harness.add(one)
        self.assertEqual(harness.fetch().status, 200)
        self.assertEqual(one.received[0].headers[b"expect-instance"], "ič".encode())

    def test_key_that_is_not_latin_1_is_unknown(self):
        harness = self.harness(call_rule())
        harness.add(ScriptedReplica("one", answer()))
        harness.table.organisations["ključ"] = harness.table.organisations.pop("key-1")
        sock = harness.connect()
        lines = b"Host: Here.example", "Api-Key: ključ".encode(), b"Request-Id: id-1"
        sock.sendall(b"GET /r/x HTTP/1.1\r\n" + b"\r\n".join(lines) + b"\r\n\r\n")
        self.assertIn(b" 200 ", sock.recv(100))


if __name__ == "__main__":
    unittest.main()
