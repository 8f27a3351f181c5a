import contextlib
import io
from unittest import mock

import eventlet
from eventlet import patcher

from boragedeck.process.relaying import draining
from tests.request.test_stops import GRACE_S, TOKENS, StopCase, stream_slowly
from tests.support.replicas import answer, send_request, stay_silent

HALF = b"POST /r/x HTTP/1.1\r\nHost: here.example\r\nContent-Length: 9\r\n\r\nbody"
INVALID = (
    b"POST /r/x HTTP/1.1\r\nHost: here.example\r\n"
    b"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\nbody"
)


def statuses(sock):
    """Return the statuses of all answers until the connection ends."""
    data = b""
    with eventlet.Timeout(5.0):
        while part := sock.recv(65_536):
            data += part
    return [int(text[:3]) for text in data.split(b"HTTP/1.1 ")[1:]]


class BehindTheLastTest(StopCase):
    """A request comes to its turn when the stop has ended the one before it."""

    def start_short_calls(self):
        self.start_calls(stay_silent)
        for _ in range(30):
            self.harness.parts.durations.note("engines", 0.001)

    def test_request_behind_one_that_is_given_up_is_cut(self):
        self.start_short_calls()
        sock = self.send()
        send_request(sock, name=b"id-2")
        self.stop()
        self.assertEqual(statuses(sock), [502, 503])
        self.assertEqual(len(self.replica.relayed()), 1)

    def test_incomplete_request_behind_one_that_is_given_up_is_cut(self):
        self.start_short_calls()
        sock = self.send()
        sock.sendall(HALF)
        self.stop()
        self.assertEqual(statuses(sock), [502, 503])


class StandstillTest(StopCase):
    def test_request_is_cut_by_a_process_that_stood_still_until_the_stop_ends(self):
        self.start_calls(stay_silent)
        sock = self.send()
        self.begin_stop()
        # It stops this process, too, unlike the patched one.
        patcher.original("time").sleep(GRACE_S)
        self.assert_may_have_run(sock)


class RejectedTest(StopCase):
    def test_end_of_the_stop_fails_at_a_request_that_is_rejected_already(self):
        self.start_calls(answer())
        sock = self.harness.connect()
        sock.sendall(INVALID)
        eventlet.sleep(0.05)
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            self.harness.edge.refuse_incomplete()
            eventlet.sleep(0.05)
        self.assertEqual(errors.getvalue(), "")
        sock.close()

    def test_rejected_request_is_logged_as_unanswered(self):
        self.start_calls(answer())
        sock = self.harness.connect()
        sock.sendall(INVALID)
        eventlet.sleep(0.05)
        self.assertEqual(self.drained(), 0)
        sock.close()

    def test_incomplete_request_that_is_refused_is_logged_as_unanswered(self):
        self.start_calls(answer())
        sock = self.harness.connect()
        sock.sendall(HALF)
        eventlet.sleep(0.05)
        self.assertEqual(self.drained(), 0)
        sock.close()

    def test_begun_stream_is_logged_as_answered(self):
        self.start_streams(stream_slowly)
        self.send(TOKENS)
        self.assertEqual(self.drained(), 1)

    def drained(self):
        """Stop, and return the logged number of unanswered requests."""
        with mock.patch.object(draining._log, "write") as write:
            self.stop()
        last = write.call_args
        self.assertEqual(last.args, ("Drained.",))
        return last.kwargs["unanswered"]
