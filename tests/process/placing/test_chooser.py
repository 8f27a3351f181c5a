import random
import unittest
from collections import Counter

import eventlet
import msgspec

from boragedeck.interfaces import Outcome
from boragedeck.process.placing.chooser import PoolChooser
from boragedeck.process.placing.load import LoadReport
from boragedeck.process.timers import ManualTimers
from boragedeck.version.tables import Route, RouteLimits
from tests.process.policy_fakes import (
    FakeBoards,
    make_config,
    make_pool,
    make_slot_request,
)
from tests.support.config import FakeConfigSource


class PoolChooserTest(unittest.TestCase):
    def make_chooser(self, pool):
        self.pool = pool
        self.timers = ManualTimers()
        self.cfg_source = FakeConfigSource(make_config(pool))
        board = FakeBoards().board("r1")
        rng = random.Random(1)
        self.chooser = PoolChooser(self.timers, self.cfg_source, board, "d0", rng)
        return self.chooser

    def acquire(self, **fields):
        """Return the result of a request that is served or refused without waiting."""
        results = []
        self.chooser.submit(make_slot_request(self.pool, **fields), results.append)
        return results[0]

    def set_limits(self, limit):
        for state in self.chooser.registry.all():
            state.limit.value = limit

    def test_spreads_requests_of_different_prefixes(self):
        self.make_chooser(make_pool(3))
        names = Counter(
            self.acquire(prefix_hash=i).ok().upstream.name for i in range(30)
        )
        self.assertEqual(len(names), 3)
        self.assertLessEqual(max(names.values()), 14)

    def test_one_prefix_keeps_to_one_upstream_until_it_is_loaded(self):
        self.make_chooser(make_pool(3))
        slots = []
        for _ in range(3):
            slots.append(self.acquire(prompt_tokens=2000).ok())
            slots[-1].first_token()
        self.assertEqual(len({slot.upstream.name for slot in slots}), 1)
        more = [self.acquire(prompt_tokens=2000).ok() for _ in range(30)]
        self.assertGreater(len({slot.upstream.name for slot in more}), 1)

    def test_crashed_upstream_gets_no_requests_before_probation(self):
        self.make_chooser(make_pool(2))
        self.set_limits(32)
        slot = self.acquire().ok()
        slot.finish(Outcome.CRASHED)
        lost = slot.upstream.name
        others = {self.acquire(prefix_hash=i).ok().upstream.name for i in range(10)}
        self.assertNotIn(lost, others)
        self.timers.advance(0.6)
        later = [self.acquire(prefix_hash=i).ok() for i in range(12)]
        self.assertLessEqual(sum(s.upstream.name == lost for s in later), 1)

    def test_stopping_upstream_gets_no_new_requests(self):
        pool = make_pool(2)
        self.make_chooser(pool)
        first = msgspec.structs.replace(pool.upstreams[0], leaving=True)
        changed = msgspec.structs.replace(pool, upstreams=(first, pool.upstreams[1]))
        self.cfg_source.put(make_config(changed))
        names = {self.acquire(prefix_hash=i).ok().upstream.name for i in range(10)}
        self.assertEqual(names, {"u1"})

    def test_resume_gets_the_next_free_slot_before_earlier_new_requests(self):
        self.make_chooser(make_pool(1))
        self.set_limits(1)
        held = self.acquire().ok()
        order = []
        for name, is_resume in (("new", False), ("resume", True)):
            request = make_slot_request(self.pool, is_resume=is_resume)
            self.chooser.submit(request, lambda result, name=name: order.append(name))
        held.finish(Outcome.CANCELLED)
        self.assertEqual(order, ["resume"])

    def test_queue_timeout_returns_a_refusal_of_a_request_that_did_not_run(self):
        self.make_chooser(make_pool(1))
        self.set_limits(1)
        self.acquire()
        route = Route("chat", self.pool.name, limits=RouteLimits(queue_s=2.0))
        waiting = eventlet.spawn(
            self.chooser.acquire, make_slot_request(self.pool, route=route)
        )
        self.timers.advance(2.1)
        refusal = waiting.wait().err()
        self.assertEqual((refusal.status, refusal.ran.value), (503, "no"))
        self.assertGreaterEqual(refusal.retry_after_s, 1.0)
        self.assertEqual(self.chooser.queued(self.pool.name), 0)

    def test_request_is_refused_at_once_if_its_expected_wait_is_too_long(self):
        self.make_chooser(make_pool(1))
        self.set_limits(2)
        held = [self.acquire().ok(), self.acquire().ok()]
        results = []
        for _ in range(20):
            self.timers.advance(0.5)
            self.chooser.submit(make_slot_request(self.pool), results.append)
            held.pop(0).finish(Outcome.COMPLETED)
            held.append(results[-1].ok())
        for _ in range(100):
            self.chooser.submit(make_slot_request(self.pool), results.append)
        refused = [result.err() for result in results if result.is_err()]
        self.assertGreater(len(refused), 60)
        self.assertEqual(refused[0].code, "overloaded")
        self.assertGreaterEqual(refused[0].retry_after_s, 7.0)

    def test_killed_waiter_leaves_no_request_in_flight(self):
        self.make_chooser(make_pool(1))
        self.set_limits(1)
        held = self.acquire().ok()
        waiting = eventlet.spawn(self.chooser.acquire, make_slot_request(self.pool))
        self.timers.advance(0.1)
        waiting.kill()
        self.timers.advance(0.1)
        held.finish(Outcome.COMPLETED)
        self.assertEqual(self.chooser.registry.all()[0].load.own_in_flight, 0)

    def test_excluded_upstream_is_used_only_when_no_other_is_left(self):
        self.make_chooser(make_pool(2))
        slot = self.acquire(excluded=frozenset({"u0"})).ok()
        self.assertEqual(slot.upstream.name, "u1")
        slot.finish(Outcome.CRASHED)
        again = self.acquire(excluded=frozenset({"u1"}), is_resume=True).ok()
        self.assertEqual(again.upstream.name, "u0")

    def test_request_runs_only_on_an_upstream_of_its_version(self):
        self.make_chooser(make_pool(2))
        refusal = self.acquire(version="v2").err()
        self.assertEqual(refusal.code, "no_upstream")
        self.chooser.registry.all()[1].versions = frozenset({"v1", "v2"})
        self.assertEqual(self.acquire(version="v2").ok().upstream.name, "u1")

    def test_reported_queue_lowers_the_limit_to_the_batch_size(self):
        self.make_chooser(make_pool(1))
        (state,) = self.chooser.registry.all()
        state.limit.value = 32.0
        state.apply_report(LoadReport(16, 5), self.timers.now(), self.timers.now())
        self.assertEqual(state.limit.value, 17)

    def test_routers_divide_the_room_shown_by_one_report(self):
        self.make_chooser(make_pool(1))
        (state,) = self.chooser.registry.all()
        state.limit.value = 32.0
        state.routers = 9
        now = self.timers.now()
        state.apply_report(LoadReport(14, 0), now, now, rounding=0.5)
        taken = []
        for _ in range(20):
            self.chooser.submit(make_slot_request(self.pool), taken.append)
        self.assertEqual(len(taken), 3)
