import unittest

import eventlet
from eventlet import patcher
from eventlet.green import socket

from boragedeck.version.routing import CallKind
from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    events,
    send_request,
    stream_rule,
)

# Green threads run during a patched sleep.
stand_still = patcher.original("time").sleep

CALLERS = 12
STANDSTILL_S = 1.1
"""How long the router reads nothing; callers leave after 1 s."""
SETTLED_AFTER_S = 0.3
LARGE_BODY = b"x" * 30_000


class UnreadCallerTest(unittest.TestCase):
    """Callers that leave a router which hasn't read their requests."""

    def harness(self, rule, step):
        harness = RelayHarness(rule)
        self.addCleanup(harness.close)
        replica = ScriptedReplica("one", step)
        harness.add(replica)
        return harness, replica

    def leave_unread(self, harness, connect, body=b""):
        """Send requests and leave, while the router stands still."""
        socks = [connect() for _ in range(CALLERS)]
        for number, sock in enumerate(socks):
            send_request(sock, body=body, name=b"left-%d" % number)
        stand_still(STANDSTILL_S)
        for sock in socks:
            sock.close()
        eventlet.sleep(SETTLED_AFTER_S)

    def check_unsent(self, harness, replica):
        self.assertEqual(len(replica.relayed()), 0)
        self.assertEqual(harness.edge.active_requests(), 0)
        self.assertEqual(harness.fetch(name=b"next").status, 200)
        self.assertEqual(len(replica.relayed()), 1)

    def kept(self, harness):
        """Return a connection that has carried a request."""
        sock = harness.connect()
        self.assertEqual(harness.fetch(sock=sock, name=b"before").status, 200)
        return sock

    def test_call_of_a_caller_that_left_before_it_was_accepted_runs(self):
        for kind in (CallKind.ONCE, CallKind.IDEMPOTENT):
            for body in (b"", LARGE_BODY):
                with self.subTest(kind=kind, size=len(body)):
                    harness, replica = self.harness(call_rule(kind), answer())
                    self.leave_unread(harness, harness.connect, body)
                    self.check_unsent(harness, replica)

    def test_stream_of_a_caller_that_left_before_it_was_accepted_runs(self):
        harness, replica = self.harness(stream_rule(), events(1, 2))
        self.leave_unread(harness, harness.connect)
        self.check_unsent(harness, replica)

    def test_call_of_a_caller_that_left_its_kept_connection_runs(self):
        harness, replica = self.harness(call_rule(), answer())
        socks = [self.kept(harness) for _ in range(CALLERS)]
        replica.received.clear()
        self.leave_unread(harness, socks.pop)
        self.check_unsent(harness, replica)

    def test_call_of_a_caller_that_reset_its_connection_runs(self):
        harness, replica = self.harness(call_rule(), answer())

        def connect():
            sock = harness.connect()
            option = socket.SOL_SOCKET, socket.SO_LINGER
            sock.setsockopt(*option, b"\x01\0\0\0\0\0\0\0")
            return sock

        self.leave_unread(harness, connect)
        self.check_unsent(harness, replica)
