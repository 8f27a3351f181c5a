import unittest
from unittest import mock

import eventlet

from boragedeck.connection import caller_connection
from boragedeck.connection.caller_ends import UnansweredReason
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    read_response,
    send_request,
)

CLOSED = "Connection closed without a whole answer."


class UnansweredTest(unittest.TestCase):
    def setUp(self):
        self.harness = RelayHarness()
        self.addCleanup(self.harness.close)
        self.harness.edge.on_unanswered = self.harness.metrics.note_unanswered

    def assert_closed(self, reason, handle=None, leave=False):
        if handle is not None:
            self.harness.edge.handle = handle
        with mock.patch.object(caller_connection._log, "write") as write:
            sock = self.harness.connect()
            send_request(sock)
            if leave:
                eventlet.sleep(0.1)
                sock.close()
                eventlet.sleep(0.1)
            else:
                self.assertFalse(read_response(sock).is_complete)
            eventlet.sleep(0.05)
        lines = [each for each in write.call_args_list if each.args[0] == CLOSED]
        self.assertEqual([each.kwargs["reason"] for each in lines], [reason.value])
        count = self.harness.metrics.unanswered.labels(reason.value)._value.get()
        self.assertEqual(count, 1)
        return lines[0].kwargs

    def test_end_without_an_answer_is_not_logged(self):
        self.assert_closed(
            UnansweredReason.NO_ANSWER, lambda raw, channel: channel.write(b"")
        )

    def test_end_of_a_begun_answer_is_not_logged(self):
        self.assert_closed(
            UnansweredReason.BROKEN_OFF, lambda raw, channel: channel.begin(200, [])
        )

    def test_exception_is_taken_for_a_caller_that_left(self):
        def fail(raw, channel):
            channel.request_id = "id-7"
            raise ConnectionResetError("of another connection")

        fields = self.assert_closed(UnansweredReason.DEFECT, fail)
        self.assertIn("another connection", fields["error"])
        self.assertEqual(fields["request"], "id-7")

    def test_caller_that_leaves_is_not_logged(self):
        self.assert_closed(
            UnansweredReason.CALLER_LEFT,
            lambda raw, channel: eventlet.sleep(1.0),
            leave=True,
        )

    def test_whole_answer_is_logged_as_an_end(self):
        self.harness.add(ScriptedReplica("one", answer()))
        with mock.patch.object(caller_connection._log, "write") as write:
            self.assertEqual(self.harness.fetch().status, 200)
            eventlet.sleep(0.05)
        write.assert_not_called()

    def test_caller_that_leaves_after_its_answer_ends_what_the_handler_still_does(self):
        done = []

        def handle(raw, channel):
            channel.respond(200, [], b"whole")
            eventlet.sleep(0.2)
            done.append(True)

        self.harness.edge.handle = handle
        with mock.patch.object(caller_connection._log, "write") as write:
            sock = self.harness.connect()
            send_request(sock)
            self.assertTrue(read_response(sock).is_complete)
            sock.close()
            with eventlet.Timeout(2.0):
                while self.harness.edge.active_requests():
                    eventlet.sleep(0.01)
        write.assert_not_called()
        self.assertEqual(done, [True])

    def test_ids_of_unanswered_requests_are_unknown(self):
        def wait(raw, channel):
            channel.request_id = dict(raw.headers)[b"Request-Id"].decode()
            eventlet.sleep(1.0)

        self.harness.edge.handle = wait
        for number in range(3):
            send_request(self.harness.connect(), name=b"id-%d" % number)
        eventlet.sleep(0.1)
        self.assertEqual(
            sorted(self.harness.edge.unanswered_ids(5)), ["id-0", "id-1", "id-2"]
        )
        self.assertEqual(len(self.harness.edge.unanswered_ids(2)), 2)
        self.harness.close()
        with eventlet.Timeout(2.0):
            while self.harness.edge.active_requests():
                eventlet.sleep(0.01)
