import contextlib
import random
from unittest import mock

import eventlet

from boragedeck.version.routing import CallKind
from tests.request.test_stops import TOKENS, StopCase
from tests.support.late_timers import CoreUse, LateTimers
from tests.support.replicas import (
    ScriptedReplica,
    answer,
    call_rule,
    event,
    head_of,
    read_response,
    send_chunk,
    stay_silent,
    stream_rule,
)

SEEDS = (1, 2, 3)
TIMEOUT_S = 0.8
ANSWER_DUE_S = TIMEOUT_S + 0.5
EVENTS = 12
ALL_EVENTS = b"".join(event(number) for number in range(1, EVENTS + 1))
INTERVAL_S = 0.05
WORK_S = 0.4
GRACE_S = 4.0
"""A time to stop whose last part isn't shorter than timers may be late."""


def steady_stream(sock, req):
    """Stream events at an even pace."""
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    for number in range(1, EVENTS + 1):
        send_chunk(sock, event(number))
        eventlet.sleep(INTERVAL_S)
    sock.sendall(b"0\r\n\r\n")
    return True


def work(sock, req):
    """Answer after a while."""
    eventlet.sleep(WORK_S)
    return answer()(sock, req)


class LateTimersTest(StopCase):
    def start(self, rule, pool=None):
        grace = mock.patch("tests.request.test_stops.GRACE_S", GRACE_S)
        grace.start()
        self.addCleanup(grace.stop)
        with mock.patch("tests.support.replicas.SteadyTimers", LateTimers):
            super().start(rule, pool)

    @contextlib.contextmanager
    def late(self, seed):
        """Use up the core at times."""
        with self.subTest(seed=seed):
            core = CoreUse(random.Random(seed))
            try:
                yield
            finally:
                core.stop()
                # The stop of this seed ends the connections of the current harness.
                self.doCleanups()
            self.assertGreater(core.uses, 0)

    def test_answer_is_later_than_the_timeout_allows(self):
        for seed in SEEDS:
            with self.late(seed):
                self.start(call_rule(timeout_s=TIMEOUT_S, max_attempts=2))
                self.harness.add(ScriptedReplica("one", stay_silent))
                begun_at = self.harness.timers.now()
                response = self.harness.fetch()
                self.assertLess(self.harness.timers.now() - begun_at, ANSWER_DUE_S)
                self.assertTrue(response.is_complete)
                self.assertGreaterEqual(response.status, 500)

    def test_stream_is_cut_or_sent_twice(self):
        for seed in SEEDS:
            with self.late(seed):
                self.start(stream_rule(is_resumable=False))
                replica = ScriptedReplica("one", steady_stream)
                self.harness.add(replica)
                self.harness.add(ScriptedReplica("two", steady_stream), domain="b")
                response = self.harness.fetch(TOKENS)
                self.assertEqual(
                    (response.body, response.is_complete), (ALL_EVENTS, True)
                )
                self.assertEqual(len(replica.relayed()), 1)

    def test_call_that_may_run_once_is_lost_or_sent_twice(self):
        for seed in SEEDS:
            with self.late(seed):
                self.start(call_rule(CallKind.ONCE, max_attempts=3))
                replicas = [ScriptedReplica(name, work) for name in ("one", "two")]
                self.harness.add(*replicas)
                self.assertEqual(self.harness.fetch().status, 200)
                self.assertEqual(sum(len(each.relayed()) for each in replicas), 1)

    def test_stop_cuts_a_call_that_ends_in_time(self):
        for seed in SEEDS:
            with self.late(seed):
                self.start_calls(work)
                sock = self.send()
                self.begin_stop()
                self.assertEqual(read_response(sock).status, 200)

    def test_stop_leaves_a_call_without_an_answer(self):
        for seed in SEEDS:
            with self.late(seed):
                self.start_calls(stay_silent)
                sock = self.send()
                self.begin_stop()
                self.assert_may_have_run(sock)
                self.assertLess(self.harness.timers.now() - self.begun, GRACE_S)
