"""Requests that crash replicas, and differ from sound ones in their method or query."""

import itertools
import unittest

import eventlet
import msgspec

from tests.support.replicas import (
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    report_model,
)

CONTACT_S = 3.0
"""How long after its third crash a request may still reach replicas at will."""
MAX_LATE_RETRIES = 3
LATE_RETRIES = 6
CRASHES = 3
RETRY_S = 0.4
REPLICAS = 4
DOMAINS = 4


class DeadlyQueryTest(unittest.TestCase):
    def setUp(self):
        self.harness = RelayHarness(call_rule(max_attempts=2))
        self.addCleanup(self.harness.close)
        table = self.harness.table
        organisations = table.organisations | {"key-2": "org-1"}
        self.harness.table = msgspec.structs.replace(table, organisations=organisations)
        self.deadly = None
        self.runs, self.crashed_at = [], []
        self.names, self.numbers = itertools.count(), itertools.count()
        for _ in range(REPLICAS):
            self.add()

    def add(self):
        """Start a replica, in the place of one that has crashed."""
        number = next(self.numbers)
        replica = ScriptedReplica(f"one-{number}", None)
        replica._steps[0] = self.service(replica)
        self.harness.add(replica)
        self.harness.registry.put(replica.entry(domain=f"d{number % DOMAINS}"))

    def service(self, replica):
        def serve(sock, req):
            if b"request-id" not in req.headers:
                return report_model(sock, req)
            if not req.headers[b"request-id"].startswith(b"deadly"):
                return answer()(sock, req)
            self.runs.append((self.now(), req.headers[b"request-id"]))
            self.crashed_at.append(self.now())
            replica.stop()
            self.add()
            return False

        return serve

    def now(self):
        return self.harness.timers.now()

    def send_deadly(self, **fields):
        name = b"deadly-%d" % next(self.names)
        return self.harness.fetch(name=name, **fields).status

    def late_retries(self):
        if len(self.crashed_at) < CRASHES:
            return set()
        since = self.crashed_at[CRASHES - 1] + CONTACT_S
        return {name for at, name in self.runs if at > since}

    def play(self, deadly, sound):
        """Send deadly requests and sound ones in turn, until the deadly are late."""
        served, late = [], 0
        while late < LATE_RETRIES:
            status = self.send_deadly(**next(deadly))
            served.append(self.harness.fetch(name=b"sound", **next(sound)).status)
            eventlet.sleep(RETRY_S)
            enough = len(self.crashed_at) >= CRASHES
            late += enough and self.now() > self.crashed_at[CRASHES - 1] + CONTACT_S
        self.assertEqual(status, 500)
        self.assertEqual(set(served), {200})
        self.assertLessEqual(len(self.late_retries()), MAX_LATE_RETRIES)

    def test_deadly_query_beside_sound_queries_of_its_path_is_refused(self):
        # review/9: output of the sound requests cleared the deadly one.
        sound = ({"path": b"/r/x?account=%d" % n} for n in itertools.count(1000))
        self.play(itertools.repeat({"path": b"/r/x?account=666"}), sound)

    def test_deadly_method_beside_another_method_of_its_path_is_refused(self):
        # As review/9, with the method in the place of the query.
        deadly, sound = {"method": b"DELETE"}, {"method": b"GET"}
        self.play(itertools.repeat(deadly), itertools.repeat(sound))

    def test_deadly_request_with_another_query_each_time_is_refused(self):
        # The pages leave open whether a path has its query.
        deadly = ({"path": b"/r/x?try=%d" % n} for n in itertools.count())
        self.play(deadly, itertools.repeat({"path": b"/r/other"}))

    def test_deadly_request_with_several_keys_of_its_caller_is_refused(self):
        deadly = itertools.cycle([{"key": b"key-1"}, {"key": b"key-2"}])
        self.play(deadly, itertools.repeat({"path": b"/r/other"}))
