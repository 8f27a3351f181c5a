import unittest

import eventlet
import msgspec

from boragedeck.interfaces import Outcome
from boragedeck.process.crashes.quarantine import Quarantine
from boragedeck.process.placing.upstreams import UpstreamKey
from boragedeck.version.tables import QuarantineLift
from tests.process.policy_fakes import (
    FakeRouters,
    make_config,
    make_pool,
    make_slot_request,
)

POOL = make_pool(12)


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.routers = FakeRouters(3, make_config(POOL))
        self.timers = self.routers.timers
        self.crashed = []

    def try_start(self, router, fingerprint, upstream, *, wait_s=0.0, **fields):
        """Return the guard of a started request, its refusal, or None if not placed."""
        quarantine = self.routers.quarantines[router]
        request = make_slot_request(POOL, fingerprint=fingerprint, **fields)
        until = self.timers.now() + wait_s
        admission = eventlet.spawn(quarantine.admit, request, until)
        self.timers.advance(wait_s + 1.0)
        result = admission.wait()
        if result.is_err():
            return result.err()
        guard = result.ok()
        key = UpstreamKey(POOL.name, upstream)
        if not quarantine.may_place(guard, key) or not quarantine.place(guard, key):
            quarantine.cancel(guard)
            return None
        return guard

    def finish_run(self, router, guard, outcome, *, generated=0, version="v1"):
        if outcome is Outcome.CRASHED:
            self.crashed.append(guard.upstream.upstream)
        quarantine = self.routers.quarantines[router]
        if generated:
            quarantine.note_tokens(guard, generated)
        quarantine.finish(guard, version, generated, outcome)
        self.timers.advance(0.1)

    def crash(self, router, fingerprint, upstream, **fields):
        guard = self.try_start(router, fingerprint, upstream)
        if hasattr(guard, "fingerprint"):
            self.finish_run(router, guard, Outcome.CRASHED, **fields)
        return guard

    def test_poison_resent_elsewhere_crashes_only_two_upstreams(self):
        for i in range(9):
            refusal = self.crash(i % 3, "poison", f"u{i}")
        self.assertEqual(len(self.crashed), 2)
        self.assertEqual((refusal.status, refusal.code), (422, "request_quarantined"))
        self.assertEqual(refusal.ran.value, "no")

    def test_limit_holds_before_gossip_has_spread_the_crash(self):
        self.routers.boards.is_connected = False
        for i in range(9):
            self.crash(i % 3, "poison", f"u{i}")
        self.assertEqual(len(self.crashed), 2)

    def test_limit_holds_for_concurrent_runs(self):
        guards = [self.try_start(i % 3, "poison", f"u{i}") for i in range(6)]
        running = [g for g in guards if hasattr(g, "fingerprint")]
        self.assertEqual(len(running), 2)
        self.assertIsNotNone(self.try_start(2, "poison", "u0"))
        for i, guard in enumerate(running):
            self.finish_run(i, guard, Outcome.CRASHED)
        for i in range(3):
            self.crash(i, "poison", f"u{i + 6}")
        self.assertEqual(len(self.crashed), 2)

    def test_limit_applies_to_each_side_of_a_partition(self):
        self.routers.partition(1)
        for i in range(9):
            self.crash(i % 3, "poison", f"u{i}")
        self.assertLessEqual(len(self.crashed), 4)

    def test_innocent_request_is_isolated_and_then_cleared(self):
        poison = self.try_start(0, "poison", "u0")
        innocent = self.try_start(1, "innocent", "u0")
        self.finish_run(0, poison, Outcome.CRASHED)
        self.finish_run(1, innocent, Outcome.CRASHED, generated=100)
        poison = self.try_start(0, "poison", "u1")
        self.assertIsNone(self.try_start(1, "innocent", "u1", is_resume=True))
        innocent = self.try_start(1, "innocent", "u2", is_resume=True)
        self.finish_run(0, poison, Outcome.CRASHED)
        self.finish_run(1, innocent, Outcome.COMPLETED, generated=20)
        for quarantine in self.routers.quarantines:
            self.assertEqual(set(quarantine.quarantined()), {"poison"})
            self.assertFalse(quarantine.is_suspect("innocent"))
            self.assertTrue(
                quarantine.was_crashed_by_quarantined(UpstreamKey(POOL.name, "u1"))
            )

    def test_isolation_ends_once_the_point_of_the_crash_is_passed(self):
        self.crash(0, "one", "u0", generated=500)
        self.crash(1, "two", "u0", generated=500)
        first = self.try_start(0, "one", "u1", is_resume=True)
        self.assertIsNone(self.try_start(1, "two", "u1", is_resume=True))
        self.routers.quarantines[0].note_tokens(first, 40)
        self.timers.advance(0.1)
        self.assertIsNotNone(self.try_start(1, "two", "u1", is_resume=True))
        self.assertTrue(self.routers.quarantines[0].is_suspect("one"))
        self.routers.quarantines[0].note_tokens(first, 540)
        self.assertFalse(self.routers.quarantines[0].is_suspect("one"))

    def test_lost_failure_domain_counts_against_no_request(self):
        guards = [self.try_start(i % 3, f"f{i}", f"u{i % 4}") for i in range(12)]
        for i, guard in enumerate(guards):
            quarantine = self.routers.quarantines[i % 3]
            quarantine.finish(guard, "v1", 50, Outcome.CRASHED)
        self.timers.advance(0.1)
        for i in range(12):
            self.assertFalse(self.routers.quarantines[0].is_suspect(f"f{i}"))
            again = self.try_start(i % 3, f"f{i}", "u9", is_resume=True)
            self.assertTrue(hasattr(again, "fingerprint"))

    def test_crashes_of_many_requests_are_blamed_on_the_version(self):
        for i in range(6):
            self.crash(i % 3, f"f{i}", f"u{i}", version="v2")
            self.timers.advance(10.0)
        quarantine = self.routers.quarantines[0]
        self.assertTrue(quarantine.is_version_blamed("v2"))
        self.assertFalse(quarantine.is_suspect("f5"))
        self.assertFalse(quarantine.is_version_blamed("v1"))

    def test_crashes_of_one_request_are_not_blamed_on_the_version(self):
        for i in range(9):
            self.crash(i % 3, "poison", f"u{i}")
        self.assertFalse(self.routers.quarantines[0].is_version_blamed("v1"))

    def test_quarantine_expires(self):
        for i in range(3):
            self.crash(i, "poison", f"u{i}")
        self.timers.advance(3700.0)
        self.assertTrue(hasattr(self.try_start(0, "poison", "u5"), "fingerprint"))

    def test_operator_lifts_a_quarantine_by_editing_the_route(self):
        for i in range(3):
            self.crash(i, "poison", f"u{i}")
        cfg = self.routers.cfg_source.current()
        lifts = (QuarantineLift("poison"),)
        route = msgspec.structs.replace(cfg.routes[0], quarantine_lifts=lifts)
        self.routers.cfg_source.put(msgspec.structs.replace(cfg, routes=(route,)))
        self.timers.advance(130.0)
        self.assertTrue(hasattr(self.try_start(0, "poison", "u5"), "fingerprint"))
        self.assertEqual(self.routers.quarantines[0].quarantined(), {})

    def test_common_request_runs_concurrently_once_proven_harmless(self):
        first = self.try_start(0, "greeting", "u0")
        self.finish_run(0, first, Outcome.COMPLETED, generated=10)
        copies = [self.try_start(i % 3, "greeting", f"u{i}") for i in range(9)]
        self.assertTrue(all(hasattr(guard, "fingerprint") for guard in copies))
        for i, guard in enumerate(copies[:2]):
            self.finish_run(i, guard, Outcome.CRASHED, generated=10)
        self.assertFalse(self.routers.quarantines[0].is_suspect("greeting"))

    def test_copies_that_fill_two_upstreams_overflow_after_a_wait(self):
        for i in range(2):
            self.try_start(i, "common", f"u{i}")
        quarantine = self.routers.quarantines[2]
        request = make_slot_request(POOL, fingerprint="common")
        admission = eventlet.spawn(quarantine.admit, request, self.timers.now())
        self.timers.advance(0.1)
        guard = admission.wait().ok()
        elsewhere = UpstreamKey(POOL.name, "u5")
        self.assertFalse(quarantine.may_place(guard, elsewhere))
        self.assertTrue(quarantine.may_place(guard, UpstreamKey(POOL.name, "u1")))
        self.timers.advance(5.0)
        self.assertTrue(quarantine.may_place(guard, elsewhere))
        self.assertTrue(quarantine.place(guard, elsewhere))

    def test_suspect_of_a_dead_router_runs_elsewhere_soon(self):
        self.crash(0, "innocent", "u0")
        self.assertIsNotNone(self.try_start(0, "innocent", "u1", is_resume=True))
        refused = self.try_start(1, "innocent", "u2", is_resume=True)
        self.assertEqual(refused.code, "request_suspect")
        self.routers.stop(0)
        self.timers.advance(2.0)
        taken = self.try_start(1, "innocent", "u2", is_resume=True)
        self.assertTrue(hasattr(taken, "fingerprint"))

    def test_router_that_joins_learns_of_quarantines(self):
        for i in range(3):
            self.crash(i, "poison", f"u{i}")
        facts = self.routers.boards.boards[0].facts
        joined_board = self.routers.boards.board("late")
        joined_board.facts = facts
        first = self.routers.quarantines[0]
        claims = first._isolation._claims
        joined = Quarantine(self.timers, joined_board, self.routers.cfg_source, claims)
        self.assertTrue(joined.is_quarantined("poison"))
