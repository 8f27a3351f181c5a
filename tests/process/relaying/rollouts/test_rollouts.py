import random
import unittest

import msgspec
from result import Err, Ok

from boragedeck.connection.messages import FactTopic
from boragedeck.connection.store import Change, Changes, Table
from boragedeck.connection.store_version import store_version
from boragedeck.exceptions import StoreConflictError, StoreUnavailableError
from boragedeck.interfaces import Outcome, RunSample
from boragedeck.platform.routing import decode_rollout
from boragedeck.process.membership.fact_store import MAX_BODY_BYTES
from boragedeck.process.relaying.rollouts.rollout_plan import (
    TRIAL_UNTIL,
    Doubt,
    usual_trial_share,
)
from boragedeck.process.relaying.rollouts.rollout_results import PublishedRollout
from boragedeck.process.relaying.rollouts.rollout_strata import stratum_of
from boragedeck.process.relaying.rollouts.rollouts import RelayRollouts
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import ManualTimers
from boragedeck.version.evidence import Evidence
from boragedeck.version.relay_rollouts import RolloutResult
from tests.process.relaying.placing.test_admission import replica
from tests.support.replicas import BOUNDS, FakeFactBoard

RUNNING, COMPLETED, ROLLED_BACK = RolloutResult
DURATION_S = 12.0
EXPOSURE_SLACK = 50.0
OLD = replica("old")
NEW = msgspec.structs.replace(replica("new"), version="v2")


class FakeBoard:
    """Stores the operators' row, which all routers of a test share."""

    def __init__(self):
        self.published = PublishedRollout(None, RUNNING, 0)
        self.history = []
        self.is_unavailable = False
        self.version = 100

    def read(self, pool):
        if self.is_unavailable:
            return Err(StoreUnavailableError("unavailable"))
        return Ok(self.published)

    def state(self, order, result, row_version):
        if self.is_unavailable:
            return Err(StoreUnavailableError("unavailable"))
        if row_version != self.published.row_version:
            return Err(StoreConflictError("412"))
        self.version += 1
        self.history.append(result)
        self.published = PublishedRollout(order.to, result, self.version)
        return Ok(self.version)


class RolloutCase(unittest.TestCase):
    """Three routers that share the operators' row."""

    def setUp(self):
        self.timers = ManualTimers()
        self.board = FakeBoard()
        self.shared = {}
        self.replicas = [OLD, NEW]
        self.mirrors = []
        self.routers = [self.router(number) for number in range(3)]
        self.rng = random.Random(9)

    def router(self, number):
        mirror = TableMirror(Table.ROUTING)
        self.mirrors.append(mirror)
        rollouts = RelayRollouts(
            self.timers,
            random.Random(number),
            mirror,
            "rollout/",
            decode_rollout,
            self.board,
            FakeFactBoard(f"r-{number}", self.shared),
            lambda: BOUNDS,
            lambda pool: self.replicas,
            lambda: 3,
        )
        rollouts.start()
        return rollouts

    def order(self, version=50, duration_s=12):
        order = {"service": "p", "to": "v2", "durationS": duration_s}
        body = msgspec.json.encode(order)
        row = Change("rollout/p", body, version)
        for mirror in self.mirrors:
            mirror.apply(Changes((row,), version))

    def request(self, router, bad_share=0.0, slow=1.0):
        """Serve one request; return whether it went to the new version, and failed."""
        allows = router.replica_filter("p")
        chosen = NEW if allows(NEW) else OLD
        is_bad = chosen is NEW and self.rng.random() < bad_share
        factor = slow if chosen is NEW else 1.0
        router.note(chosen, sample(chosen, is_bad, self.rng.uniform(0.8, 1.2) * factor))
        return chosen is NEW, is_bad

    def simulate(self, seconds, per_s=20, **fields):
        new, bad = 0, 0
        for _ in range(int(seconds * per_s)):
            is_new, is_bad = self.request(self.rng.choice(self.routers), **fields)
            new, bad = new + is_new, bad + is_bad
            self.timers.advance(1.0 / per_s)
        return new, bad


class RolloutTest(RolloutCase):
    def test_good_version_is_completed_before_its_time_limit(self):
        self.order()
        self.simulate(DURATION_S)
        self.assertEqual(self.board.history, [RUNNING, COMPLETED])
        for router in self.routers:
            self.assertTrue(router.replica_filter("p")(NEW))
            self.assertFalse(router.replica_filter("p")(OLD))

    def test_failing_version_is_rolled_back_within_its_exposure(self):
        self.order()
        new, bad = self.simulate(DURATION_S, bad_share=0.5)
        self.assertEqual(self.board.history, [RUNNING, ROLLED_BACK])
        total = DURATION_S * 20
        bound = BOUNDS.exposure_share * total + EXPOSURE_SLACK
        self.assertLessEqual(new, bound)
        self.assertLess(bad, 50)

    def test_slow_version_is_rolled_back(self):
        self.order()
        self.simulate(DURATION_S, slow=6.0)
        self.assertEqual(self.board.history[-1], ROLLED_BACK)

    def test_version_of_a_small_pool_that_fails_every_request_is_completed(self):
        for per_s, duration_s in ((1, 12), (2, 6), (5, 6)):
            for seed in range(20):
                self.setUp()
                self.rng.seed(seed)
                self.simulate(10.0, per_s=per_s)
                self.order(duration_s=duration_s)
                self.simulate(duration_s, per_s=per_s, bad_share=1.0)
                with self.subTest(per_s=per_s, seed=seed):
                    self.assertEqual(self.board.history[-1], ROLLED_BACK)

    def test_version_that_is_slower_only_by_its_load_is_completed(self):
        self.replicas = [OLD] * 30 + [NEW]
        self.order()
        self.simulate(DURATION_S, slow=2.0)
        self.assertEqual(self.board.history, [RUNNING, COMPLETED])

    def test_stop_takes_effect_while_the_store_is_unreachable(self):
        self.order()
        self.simulate(1.0)
        self.board.is_unavailable = True
        self.simulate(DURATION_S / 2, bad_share=1.0)
        new, _ = self.simulate(2.0, bad_share=1.0)
        self.assertEqual(new, 0)
        self.board.is_unavailable = False
        self.simulate(1.0)
        self.assertEqual(self.board.history, [RUNNING, ROLLED_BACK])

    def test_completed_version_without_replicas_gets_no_request_on_their_return(self):
        self.order()
        self.simulate(DURATION_S)
        self.assertEqual(self.board.history[-1], COMPLETED)
        self.replicas = []
        self.assertTrue(self.routers[0].replica_filter("p")(NEW))

    def test_evidence_that_exceeds_the_size_of_a_fact_ends_the_judgement(self):
        self.order()
        router = self.routers[0]
        for number in range(32):
            stratum = stratum_of(f"domain-{number % 4}", f"a-route-of-some-{number:05}")
            for bucket in range(24):
                for chosen in (OLD, NEW):
                    took_s = 0.01 * 2 ** (bucket / 4)
                    router.note(chosen, sample(chosen, False, took_s, stratum))
                    router.note(chosen, sample(chosen, False, None, stratum, took_s))
        router.tick()
        facts = router._exchange._facts.facts(FactTopic.ROLLOUT_EVIDENCE)
        own = next(fact for fact in facts if fact.origin == router._exchange._facts.own)
        self.assertLessEqual(len(own.body), MAX_BODY_BYTES)
        shown = msgspec.msgpack.decode(own.body, type=Evidence)
        self.assertEqual(shown.total(is_new=True).trials, 32 * 24)

    def test_stop_that_comes_after_the_completion_takes_the_version_back(self):
        self.order()
        self.simulate(DURATION_S)
        late = FakeFactBoard("r-9", self.shared)
        late.publish(FactTopic.ROLLOUT_STOP, "p/50", b"")
        self.assertTrue(self.routers[0].replica_filter("p")(NEW))

    def test_first_result_holds_for_all(self):
        self.order()
        self.simulate(1.0)
        self.board.published = PublishedRollout("v2", ROLLED_BACK, 300)
        self.simulate(DURATION_S)
        self.assertEqual(self.board.history, [RUNNING])
        self.assertFalse(self.routers[0].replica_filter("p")(NEW))

    def test_later_order_starts_a_new_rollout(self):
        self.order()
        self.simulate(DURATION_S, bad_share=0.5)
        self.order(version=500)
        self.simulate(DURATION_S)
        self.assertEqual(self.board.history[-1], COMPLETED)

    def test_request_waits_for_a_version_whose_replicas_have_not_started(self):
        self.replicas = [OLD]
        self.order()
        new, _ = self.simulate(1.0, per_s=200)
        self.assertEqual(new, 0)
        self.replicas = [OLD, NEW]
        new, _ = self.simulate(1.0, per_s=200)
        self.assertGreater(new, 0)

    def drawn_requests(self, count=200):
        """Return the predicates of requests that began at the old and new version."""
        drawn = [self.routers[0].replica_filter("p") for _ in range(count)]
        return [a for a in drawn if a(OLD)], [a for a in drawn if a(NEW)]

    def check_all(self, filters, *, old, new):
        self.assertTrue(filters)
        self.assertEqual({(a(OLD), a(NEW)) for a in filters}, {(old, new)})

    def test_request_of_the_old_version_is_lost_when_the_rollout_is_completed(self):
        self.order()
        self.simulate(DURATION_S / 4)
        old, new = self.drawn_requests()
        self.check_all(old, old=True, new=False)
        self.check_all(new, old=False, new=True)
        self.simulate(DURATION_S)
        self.assertEqual(self.board.history[-1], COMPLETED)
        self.check_all(old + new, old=False, new=True)

    def test_request_of_the_new_version_is_lost_when_it_is_rolled_back(self):
        self.order()
        self.simulate(DURATION_S / 4)
        old, new = self.drawn_requests()
        self.simulate(DURATION_S, bad_share=0.5)
        self.assertEqual(self.board.history[-1], ROLLED_BACK)
        self.check_all(old + new, old=True, new=False)

    def test_request_is_lost_when_a_second_rollout_follows_its_own(self):
        self.order()
        self.simulate(DURATION_S / 4)
        old, new = self.drawn_requests()
        self.simulate(DURATION_S, bad_share=0.5)
        self.order(version=500)
        self.check_all(old + new, old=True, new=False)
        self.simulate(DURATION_S)
        self.assertEqual(self.board.history[-1], COMPLETED)
        self.check_all(old + new, old=False, new=True)

    def test_request_before_an_order_is_lost_when_the_rollout_is_completed(self):
        allows = self.routers[0].replica_filter("p")
        self.order()
        self.assertTrue(allows(OLD) and allows(NEW))
        self.simulate(DURATION_S)
        self.check_all([allows], old=False, new=True)

    def test_pool_without_an_order_uses_all_versions(self):
        allows = self.routers[0].replica_filter("q")
        self.assertTrue(allows(NEW) and allows(OLD))


class RestoredRolloutTest(RolloutCase):
    """The store returns from an older copy of itself in the middle of a rollout."""

    def restore(self, rows=(), number=10):
        """Return from a copy with these rows, which has no published result."""
        version = store_version(2, number)
        for mirror in self.mirrors:
            mirror.apply(Changes(tuple(rows), version, True))
        self.board.published = PublishedRollout(None, RUNNING, 0)
        self.board.version = store_version(2, number + 50)
        self.board.history.clear()

    def order_row(self, era, number, to="v2"):
        order = {"service": "p", "to": to, "durationS": 12}
        body = msgspec.json.encode(order)
        return Change("rollout/p", body, store_version(era, number))

    def write(self, row):
        for mirror in self.mirrors:
            mirror.apply(Changes((row,), row.version))

    def test_published_result_that_was_lost_is_published_again(self):
        self.write(self.order_row(1, 50))
        self.simulate(DURATION_S)
        self.assertEqual(self.board.history[-1], COMPLETED)
        self.restore([self.order_row(2, 9)])
        self.simulate(2.0)
        self.assertEqual(self.board.history, [COMPLETED])

    def test_rolled_back_version_is_not_tried_again(self):
        self.write(self.order_row(1, 50))
        self.simulate(DURATION_S, bad_share=0.5)
        self.restore()
        self.write(self.order_row(2, 13))
        new, _ = self.simulate(DURATION_S, bad_share=0.5)
        self.assertEqual(new, 0)
        self.assertEqual(self.board.history, [ROLLED_BACK])

    def test_router_started_after_the_return_learns_that_a_version_is_rolled_back(self):
        self.write(self.order_row(1, 50))
        self.simulate(DURATION_S, bad_share=0.5)
        self.restore()
        self.write(self.order_row(2, 13))
        started = self.router(3)
        self.mirrors[-1].apply(Changes((self.order_row(2, 13),), store_version(2, 13)))
        self.simulate(2.0)
        self.assertFalse(started.replica_filter("p")(NEW))

    def test_rollout_keeps_its_time_limit_over_the_return(self):
        self.write(self.order_row(1, 50))
        self.simulate(DURATION_S / 2)
        self.restore()
        self.write(self.order_row(2, 13))
        self.simulate(DURATION_S / 2)
        self.assertEqual(self.board.history[-1], COMPLETED)

    def test_order_that_a_later_one_replaced_does_not_start_again(self):
        self.write(self.order_row(1, 50, to="v0"))
        self.simulate(1.0)
        self.write(self.order_row(1, 60))
        self.simulate(DURATION_S)
        self.restore([self.order_row(2, 50, to="v0")], number=55)
        self.simulate(1.0)
        self.assertTrue(self.routers[0].replica_filter("p")(NEW))
        self.write(self.order_row(2, 56))
        self.simulate(2.0)
        self.assertEqual(self.board.published.result, COMPLETED)
        self.assertEqual(self.board.published.to, "v2")


class OlderBuildsTest(RolloutCase):
    """Some routers name rollouts without the store's era, as older builds do."""

    ERA = 3

    def setUp(self):
        super().setUp()
        self.older = FakeFactBoard("r-older", self.shared)
        self.board.version = store_version(self.ERA, 100)
        self.order(version=store_version(self.ERA, 50))
        self.timers.advance(1.0)

    def test_stop_of_a_build_without_eras_is_obeyed(self):
        self.older.publish(FactTopic.ROLLOUT_STOP, "p/50", b"")
        new, _ = self.simulate(DURATION_S)
        self.assertEqual(new, 0)
        self.assertEqual(self.board.history, [RUNNING, ROLLED_BACK])

    def test_build_without_eras_is_told_to_stop(self):
        self.simulate(DURATION_S / 2, bad_share=1.0)
        stops = {fact.key for fact in self.older.facts(FactTopic.ROLLOUT_STOP)}
        self.assertLessEqual({"p/50", f"p/{store_version(self.ERA, 50)}"}, stops)

    def test_evidence_of_a_build_without_eras_counts(self):
        evidence = Evidence()
        for _ in range(40):
            evidence.add(sample(OLD, False, 1.0), is_new=False, is_late=False)
            evidence.add(sample(NEW, True, None), is_new=True, is_late=False)
        body = msgspec.msgpack.encode(evidence)
        self.older.publish(FactTopic.ROLLOUT_EVIDENCE, "p/50", body)
        self.timers.advance(1.0)
        self.assertEqual(self.board.history[-1], ROLLED_BACK)

    def test_facts_about_another_order_of_the_pool_say_nothing(self):
        for number in (5, 51, store_version(self.ERA - 1, 50)):
            self.older.publish(FactTopic.ROLLOUT_STOP, f"p/{number}", b"")
        self.simulate(DURATION_S)
        self.assertEqual(self.board.history, [RUNNING, COMPLETED])


class StreamRolloutTest(RolloutCase):
    """Streams whose first output comes after a second, or after several."""

    duration_s = 15.0
    first_s = 1.1

    def setUp(self):
        super().setUp()
        self.replicas = [OLD]
        self.sent = {OLD: 0, NEW: 0}

    def order(self, version=50, duration_s=15):
        self.replicas = [OLD, NEW]
        super().order(version, duration_s)

    def stream(self, router, slow, patience_s=20.0, slow_gap=1.0):
        """Send one stream to a version; its caller waits for a time only."""
        is_new = router.replica_filter("p")(NEW) and NEW in self.replicas
        chosen = NEW if is_new else OLD
        self.sent[chosen] += 1
        took_s = self.first_s * self.rng.uniform(0.7, 1.6)
        took_s *= slow if chosen is NEW else 1.0
        domain = self.rng.choice("abcd")
        stratum = stratum_of(domain, self.rng.choice(["r1", "r2", "r3"]))
        run = router.begin(chosen, stratum)

        gap_s = 0.03 * self.rng.uniform(0.7, 1.6)
        gap_s *= slow_gap if chosen is NEW else 1.0
        gap = sample(chosen, False, None, stratum, gap_s)

        def end():
            router.end(run, has_outcome=took_s <= patience_s)
            if took_s <= patience_s:
                router.note(chosen, sample(chosen, False, took_s, stratum))
                self.timers.call_later(1.0, lambda: router.note(chosen, gap))

        self.timers.call_later(min(took_s, patience_s), end)

    def play(self, per_s, slow=1.0, **fields):
        self.order()
        self.simulate_streams(self.duration_s, per_s, slow=slow, **fields)

    def simulate_streams(self, seconds, per_s, **fields):
        for _ in range(int(seconds * per_s)):
            self.stream(self.rng.choice(self.routers), **fields)
            self.timers.advance(1.0 / per_s)

    def test_streams_that_wait_for_their_first_output_say_nothing(self):
        self.play(per_s=20, slow=7.0)
        self.assertEqual(self.board.history[-1], ROLLED_BACK)
        total = 20 * self.duration_s
        self.assertLessEqual(self.sent[NEW], BOUNDS.exposure_share * total)

    def test_streams_whose_callers_leave_before_the_first_output_say_nothing(self):
        self.play(per_s=20, slow=7.0, patience_s=2.5)
        self.assertEqual(self.board.history[-1], ROLLED_BACK)

    def test_slow_version_of_a_small_pool_gets_too_few_streams_to_be_seen(self):
        self.simulate_streams(10.0, per_s=3, slow=7.0)
        self.order()
        self.simulate_streams(TRIAL_UNTIL * 15.0, per_s=3, slow=7.0)
        self.assertGreaterEqual(self.sent[NEW], 6)

    def test_slow_version_of_a_small_pool_is_completed(self):
        for slow in (3.0, 7.0):
            for seed in range(20):
                self.setUp()
                self.rng.seed(seed)
                self.simulate_streams(10.0, per_s=3, slow=slow)
                self.play(per_s=3, slow=slow)
                self.assertEqual(self.board.history[-1], ROLLED_BACK, (slow, seed))

    def test_version_whose_events_follow_slowly_is_completed(self):
        for seed in range(10):
            self.setUp()
            self.rng.seed(seed)
            self.simulate_streams(10.0, per_s=3, slow=1.0)
            self.play(per_s=3, slow_gap=4.0)
            self.assertEqual(self.board.history[-1], ROLLED_BACK, seed)

    def test_good_version_of_a_small_pool_is_rolled_back(self):
        completed = 0
        for seed in range(20):
            self.setUp()
            self.rng.seed(seed)
            self.simulate_streams(10.0, per_s=3, slow=1.0)
            self.play(per_s=3)
            completed += self.board.history[-1] is COMPLETED
        self.assertGreaterEqual(completed, 19)

    def test_suspect_version_of_a_small_pool_gets_the_share_of_a_trial(self):
        self.simulate_streams(10.0, per_s=3, slow=1.0)
        self.order()
        router = self.routers[0]
        rollout = router._rollouts["p"]
        usual = usual_trial_share(BOUNDS)
        self.assertGreater(router._share(rollout), 2 * usual)
        rollout.doubt = Doubt("8 nats", is_suspicion=True)
        self.assertEqual(router._share(rollout), usual)

    def test_version_that_served_nothing_is_completed(self):
        self.order()
        self.replicas = [OLD]
        self.simulate_streams(self.duration_s, per_s=20, slow=1.0)
        self.assertEqual(self.board.history[-1], ROLLED_BACK)

    def test_good_version_is_rolled_back_because_streams_wait(self):
        self.play(per_s=20)
        self.assertEqual(self.board.history, [RUNNING, COMPLETED])


def sample(chosen, is_bad, took_s, stratum=None, gap_s=None):
    return RunSample(
        route="r",
        version=chosen.version,
        upstream=chosen.replica,
        failure_domain=stratum or chosen.failure_domain,
        outcome=_outcome(is_bad, gap_s),
        first_token_s=None if is_bad else took_s,
        gap_s=gap_s,
        tokens=0,
    )


def _outcome(is_bad, gap_s):
    if gap_s is not None:
        return None
    return Outcome.FAILED if is_bad else Outcome.COMPLETED
