import random
import unittest
from unittest import mock

import eventlet
from prometheus_client import CollectorRegistry
from result import Err

from boragedeck.connection.store import Put, Table
from boragedeck.exceptions import StoreUnknownOutcomeError
from boragedeck.process.relaying.crashes.crash_composition import make_crash_parts
from boragedeck.process.relaying.crashes.crash_identity import RequestTraits
from boragedeck.process.relaying.crashes.crash_messages import (
    CrashSuspect,
    ReportCrash,
    ReportSound,
    request_signature,
)
from boragedeck.process.relaying.crashes.crash_row import ROW_KEY, decode_row
from boragedeck.process.relaying.crashes.crash_store import MAX_RETRY_S
from boragedeck.process.relaying.crashes.crash_trials import TRIAL_AFTER_S
from boragedeck.process.relaying.crashes.crash_verdicts import BLAME_TTL_S
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.timers import ManualTimers
from standins.memory import MemoryPlatform
from tests.support.crash_fleet import PoolVersions
from tests.support.replicas import FakeFactBoard, NoPeers, single_router_owners

DEADLY = RequestTraits("p", "deadly")
SIGNATURE = request_signature("p", "deadly")


class JumpingTimers(ManualTimers):
    """Timers whose time of day may differ from the monotonic one."""

    jump_s = 0.0

    def wall(self):
        """See `TimerService.wall`."""
        return self.now() + self.jump_s


class LateStore(MemoryPlatform):
    """A store that may carry out a write later, after it gave no answer."""

    is_late = False
    held = ()

    def commit(self, writes):
        """See `TableStore.commit`."""
        if not self.is_late:
            return super().commit(writes)
        self.is_late = False
        self.held = writes
        return Err(StoreUnknownOutcomeError("no answer", step="commit"))

    def carry_out(self):
        """Carry out the write that was held back; return whether it succeeded."""
        return super().commit(self.held).is_ok()


class Router:
    """The parts of one router that is alone, and so the judge."""

    def __init__(self, timers, store, *, is_judge=True):
        self.timers, self.runs = timers, 0
        self.owners = single_router_owners(timers)
        if not is_judge:
            other = mock.Mock(router="other", address="other")
            self.owners.owner_of = lambda task: other
        parts = make_crash_parts(
            timers,
            random.Random(1),
            PoolVersions(),
            self.owners,
            NoPeers(),
            NoPeers(),
            FakeFactBoard(),
            RelayMetrics(CollectorRegistry()),
            store=store,
        )
        self.judge, self.verdicts = parts.judge, parts.verdicts
        self.blame, self.store = parts.blame, parts.store
        self.store.start()
        self.run(0.1)

    def run(self, seconds):
        """Let time pass."""
        for _ in range(max(1, round(seconds / 0.1))):
            self.timers.advance(0.1)
            eventlet.sleep(0)

    def crash(self, *names, wait_s=2.0):
        """Report the crash of another replica."""
        self.runs += 1
        run = Run(f"{id(self)}-{self.runs}", 1)
        suspects = tuple(CrashSuspect(name) for name in names or ("deadly",))
        domain = f"d{self.runs}"
        report = ReportCrash(run, "p", domain, "v1", True, 0.0, suspects)
        self.judge.note_crash(report)
        self.run(wait_s)

    def is_blamed(self):
        """Return whether the deadly request is refused."""
        return self.blame.is_blamed(DEADLY)

    def until_trial_s(self):
        """Return the time until the next trial of the deadly request."""
        return self.verdicts.get(SIGNATURE).trial_at - self.timers.now()


class CrashStoreTest(unittest.TestCase):
    def setUp(self):
        self.timers = JumpingTimers()
        self.platform = LateStore(self.timers.sleep)

    def router(self, **fields):
        return Router(self.timers, self.platform, **fields)

    def blame(self, router=None):
        router = router or self.router()
        for _ in range(3):
            router.crash()
        self.assertTrue(router.is_blamed())
        return router

    def stored(self):
        return decode_row(self.platform.get(Table.CRASHES, ROW_KEY).ok().value).ok()

    def test_next_router_knows_the_verdict_and_the_time_of_its_trial(self):
        self.blame().run(10.0)
        after = self.router()
        self.assertTrue(after.is_blamed())
        self.assertLess(after.until_trial_s(), TRIAL_AFTER_S[0] - 10.0)
        self.assertGreater(after.until_trial_s(), TRIAL_AFTER_S[0] - 14.0)

    def test_crashes_of_before_count_with_one_more(self):
        before = self.router()
        before.crash()
        before.crash()
        after = self.router()
        self.assertFalse(after.is_blamed())
        after.crash()
        self.assertTrue(after.is_blamed())

    def test_three_crashes_without_a_verdict_are_judged_after_the_start(self):
        before = self.router()
        before.crash()
        before.crash()
        with mock.patch.object(before.judge, "review"):
            before.crash()
        after = self.router()
        after.run(1.0)
        self.assertTrue(after.is_blamed())

    def test_old_crashes_and_verdicts_do_not_come_back(self):
        before = self.blame()
        self.timers.advance(BLAME_TTL_S)
        after = self.router()
        self.assertFalse(after.is_blamed())
        after.crash()
        after.crash()
        self.assertFalse(after.is_blamed())
        self.assertFalse(before.is_blamed())

    def test_cleared_verdict_does_not_come_back(self):
        before = self.blame()
        before.judge.note_sound(ReportSound(SIGNATURE, 0.0))
        before.run(1.0)
        self.assertEqual(self.stored().verdicts, ())
        self.assertFalse(self.router().is_blamed())

    def test_write_whose_answer_is_lost_is_read_back(self):
        router = self.router()
        self.platform.faults.lose_answers = 1
        router.crash(wait_s=5.0)
        self.assertEqual(len(self.stored().crashes), 1)
        commits = self.platform.calls["commit"]
        router.run(20.0)
        self.assertEqual((commits, self.platform.calls["commit"]), (1, 1))
        self.blame(router)
        self.assertTrue(self.router().is_blamed())

    def test_write_that_is_lost_is_repeated(self):
        router = self.router()
        self.platform.faults.lose_requests = 2
        router.crash(wait_s=10.0)
        self.assertEqual(len(self.stored().crashes), 1)

    def test_write_that_arrives_late_has_no_effect(self):
        router = self.blame()
        self.platform.is_late = True
        router.judge.note_sound(ReportSound(SIGNATURE, 0.0))
        router.run(5.0)
        self.assertEqual(self.stored().verdicts, ())
        self.assertFalse(self.platform.carry_out())
        self.assertEqual(self.stored().verdicts, ())

    def test_store_that_is_away_is_called_with_pauses(self):
        router = self.router()
        self.platform.faults.down = True
        before = sum(self.platform.calls.values())
        self.blame(router)
        router.run(120.0)
        calls = sum(self.platform.calls.values()) - before
        self.assertLessEqual(calls, 8 + 120.0 / (0.8 * MAX_RETRY_S))
        self.platform.faults.down = False
        router.run(1.2 * MAX_RETRY_S + 1.0)
        self.assertTrue(self.router().is_blamed())

    def test_two_judges_join_what_they_know(self):
        one, two = self.router(), self.router()
        one.crash()
        two.crash(wait_s=5.0)
        one.crash(wait_s=5.0)
        self.assertEqual(len(self.stored().crashes), 3)
        two.crash(wait_s=5.0)
        self.assertTrue(two.is_blamed())

    def test_router_that_is_not_the_judge_writes_nothing(self):
        router = self.router(is_judge=False)
        for _ in range(3):
            router.crash()
        self.assertEqual(self.platform.calls["commit"], 0)

    def test_restored_store_gets_what_is_known(self):
        router = self.blame()
        row = self.platform.get(Table.CRASHES, ROW_KEY).ok()
        empty = Put(Table.CRASHES, ROW_KEY, b'{"verdicts":[],"crashes":[]}')
        self.platform.commit([empty])
        router.store.note_restored()
        router.run(2.0)
        self.assertEqual(self.stored().verdicts, decode_row(row.value).ok().verdicts)

    def test_restored_store_does_not_return_a_cleared_verdict(self):
        router = self.blame()
        row = self.platform.get(Table.CRASHES, ROW_KEY).ok()
        router.judge.note_sound(ReportSound(SIGNATURE, 0.0))
        router.run(2.0)
        self.platform.commit([Put(Table.CRASHES, ROW_KEY, row.value)])
        router.store.note_restored()
        router.crash("other", wait_s=5.0)
        self.assertFalse(router.is_blamed())
        self.assertEqual(self.stored().verdicts, ())

    def test_row_of_another_writer_is_replaced(self):
        self.platform.commit([Put(Table.CRASHES, ROW_KEY, b"not a row")])
        self.blame()
        self.assertTrue(self.router().is_blamed())

    def test_clock_that_was_set_back_delays_a_trial_by_its_time_at_most(self):
        self.blame()
        self.timers.jump_s = -1000.0
        after = self.router()
        self.assertTrue(after.is_blamed())
        self.assertLessEqual(after.until_trial_s(), TRIAL_AFTER_S[0])

    def test_clock_that_was_set_forward_leaves_the_verdict(self):
        self.blame()
        self.timers.jump_s = 5.0
        after = self.router()
        self.assertTrue(after.is_blamed())

    def test_suspect_with_output_is_not_written(self):
        router = self.router()
        router.crash("sound", "deadly", wait_s=0.1)
        router.judge.note_sound(ReportSound(request_signature("p", "sound"), 0.0))
        router.run(3.0)
        (crash,) = self.stored().crashes
        self.assertEqual([each.fingerprint for each in crash.suspects], ["deadly"])
