import unittest
from unittest import mock

import eventlet

from boragedeck.request.stream_evidence import StreamEvidence
from boragedeck.version.routing import CallKind
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    events,
    stream_rule,
)


class UnexpectedExceptionTest(unittest.TestCase):
    """Attempts that end by an exception which nothing expects."""

    def check(self, rule, method):
        """Return how often a failing method is called for one request."""
        harness = RelayHarness(rule)
        self.addCleanup(harness.close)
        calls = []

        def fail(*args):
            calls.append(args)
            if len(calls) > 50:
                # The loop never lets another green thread run.
                eventlet.sleep(0.2)
            raise ZeroDivisionError("test")

        setattr(harness.parts.protocol, method, fail)
        for name in ("one", "two"):
            harness.add(ScriptedReplica(name, answer()))
        harness.fetch(ms=1000)
        missed = [harness.registry.get(name).missed_at for name in ("one", "two")]
        self.assertEqual(missed, [float("-inf")] * 2)
        return len(calls)

    def test_calls_attempts_restart_without_a_bound(self):
        self.assertEqual(self.check(call_rule(max_attempts=3), "message"), 3)

    def test_streams_attempts_restart_without_a_bound(self):
        self.assertEqual(self.check(stream_rule(max_attempts=3), "message"), 3)

    def test_calls_attempts_restart_without_a_bound_after_an_answer(self):
        self.assertEqual(self.check(call_rule(max_attempts=3), "verdict"), 3)

    def test_streams_attempts_restart_without_a_bound_after_an_answer(self):
        self.assertEqual(self.check(stream_rule(max_attempts=3), "verdict"), 3)

    def test_call_that_may_have_run_is_sent_again_after_a_defect(self):
        rule = call_rule(CallKind.ONCE, max_attempts=3)
        self.assertEqual(self.check(rule, "verdict"), 1)

    def test_defect_is_logged_without_its_request(self):
        with mock.patch("boragedeck.request.relay_job.log.write") as write:
            self.check(call_rule(max_attempts=1), "message")
        failed = [c for c in write.call_args_list if c.args[0] == "Attempt failed."]
        self.assertEqual(len(failed), 1)
        self.assertEqual(failed[0].kwargs["request"], "id-1")
        self.assertIn("ZeroDivisionError", failed[0].kwargs["error"])


class RecordingDefectTest(unittest.TestCase):
    """Exceptions while the progress of an answer is only recorded."""

    def stream(self, method):
        """Return the response to a stream, and what was logged of recording."""
        harness = RelayHarness(stream_rule(is_resumable=False))
        self.addCleanup(harness.close)
        harness.add(ScriptedReplica("one", events(1, 2, 3)))
        defect = mock.Mock(side_effect=ZeroDivisionError("test"))
        with (
            mock.patch.object(StreamEvidence, method, defect),
            mock.patch("boragedeck.request.stream_attempt.log.write") as write,
        ):
            response = harness.fetch()
        defect.assert_called()
        logged = [c for c in write.call_args_list if c.args[0] == "Recording failed."]
        return response, logged

    def assert_whole(self, method):
        response, logged = self.stream(method)
        self.assertEqual((response.status, response.is_complete), (200, True))
        self.assertEqual(response.body, event(1) + event(2) + event(3))
        self.assertEqual(len(logged), 1)
        self.assertEqual(logged[0].kwargs["request"], "id-1")
        self.assertIn("ZeroDivisionError", logged[0].kwargs["error"])

    def test_defect_while_events_are_recorded_loses_a_stream(self):
        self.assert_whole("note_output")

    def test_defect_while_its_end_is_recorded_loses_a_stream(self):
        self.assert_whole("note_complete")


if __name__ == "__main__":
    unittest.main()
