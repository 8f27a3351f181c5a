"""Calls that may run once, at replicas that reject some and repeat answers late."""

import random
import unittest
from collections import Counter

import eventlet
import msgspec

from boragedeck.version.routing import CallKind
from standins.late_answers import with_share
from tests.support.cut_fleet import Cut, CutFleet
from tests.support.replicas import ScriptedReplica, answer, call_rule, head_of

REPEATED_SHARE = 0.2
KEPT_ANSWERS = 3
CALLERS = 6
CALLS_PER_CALLER = 25
WORK_S = 0.002
REJECTIONS = (429, 503, 503)
MOVED_SHARE = 0.05
REJECTED_SHARE = 0.3
PROMISES = (408, 421, 429, 503)
"""Status codes which say that the request hasn't run and won't."""


class RejectingReplica(ScriptedReplica):
    """Rejects some requests, says of others that it has another id, and runs the rest.

    Attributes
    ----------
    runs : Counter
        How often each request has run.
    """

    def __init__(self, name, rng):
        self._rng = rng
        self.runs = Counter()
        may_repeat = with_share(REPEATED_SHARE, rng)
        super().__init__(
            name, self._serve_one, may_repeat=may_repeat, kept=KEPT_ANSWERS
        )

    def _serve_one(self, sock, req):
        draw = self._rng.random()
        if draw < MOVED_SHARE:
            lines = b"Instance-Id: other", b"Content-Length: 0"
            sock.sendall(head_of(req, 421, *lines) + b"\r\n")
            return True
        if draw < MOVED_SHARE + REJECTED_SHARE:
            lines = b"Not-Executed: 1", b"Content-Length: 0"
            status = self._rng.choice(REJECTIONS)
            sock.sendall(head_of(req, status, *lines) + b"\r\n")
            return True
        self.runs[req.headers[b"request-id"]] += 1
        eventlet.sleep(WORK_S)
        return answer()(sock, req)


class LateAnswerMixTest(unittest.TestCase):
    def play(self, seed, cut=None):
        """Send calls to two routers; return what ran and the answers by id."""
        rng = random.Random(seed)
        replicas = [RejectingReplica(f"replica-{number}", rng) for number in range(2)]
        rule = call_rule(CallKind.ONCE, max_attempts=3)
        fleet = CutFleet(2, replicas, rule=rule)
        self.addCleanup(fleet.close)
        if cut is not None:
            fleet.cut(cut, 0)
        statuses = {}

        def call(caller):
            router = fleet.routers[caller % 2]
            sock = router.connect()
            for number in range(CALLS_PER_CALLER):
                name = b"%d-%d" % (caller, number)
                self.list_again(router, replicas)
                statuses[name] = router.fetch(sock=sock, name=name).status

        callers = [eventlet.spawn(call, number) for number in range(CALLERS)]
        for thread in callers:
            thread.wait()
        return sum((each.runs for each in replicas), Counter()), statuses

    def list_again(self, router, replicas):
        """List the replicas that an answer 421 has removed."""
        for replica in replicas:
            if router.registry.get(replica.name) is None:
                entry = msgspec.structs.replace(replica.entry(), failure_domain="b")
                router.registry.put(entry)

    def check(self, runs, statuses):
        """Check that no call ran twice, or ran though its answer denies it."""
        twice = [name for name, count in runs.items() if count > 1]
        denied = [name for name in runs if statuses[name] in PROMISES]
        self.assertEqual((twice, denied), ([], []))
        served = sum(status == 200 for status in statuses.values())
        self.assertGreater(served, len(statuses) / 2)

    def test_call_runs_twice_or_is_refused_after_it_ran(self):
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                self.check(*self.play(seed))

    def test_call_through_a_gateway_runs_twice_or_is_refused_after_it_ran(self):
        for seed in range(4, 7):
            with self.subTest(seed=seed):
                self.check(*self.play(seed, Cut.REFUSE))
