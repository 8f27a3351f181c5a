import random
import unittest
import zlib
from unittest import mock

import eventlet

from boragedeck.connection.answer_shortage import NO_DEMAND
from boragedeck.connection.peer import Address
from boragedeck.process.relaying.placing.admission import (
    NO_REPLICA_RETRY_S,
    RECHECK_INTERVAL_S,
    SHARED_CHECK_WAITING,
    Admission,
    LoadSource,
    expected_wait_s,
)
from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.relaying.replicas.restraint import Reason
from boragedeck.process.relaying.scheduling.pool_scheduler import MAX_WAITING
from boragedeck.process.relaying.scheduling.waiter import QueueOutcome
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import Replica, ReplicaStage
from boragedeck.version.routing import EngineProfile, RelayPool
from tests.support.admission_plays import play

POOL = RelayPool("p", 100)
MANY_WAITING = SHARED_CHECK_WAITING + 30
CHECKS = 10


def replica(name, slots=1, **fields):
    values = {"stage": ReplicaStage.READY} | fields
    return Replica(
        replica=name,
        pool="p",
        address=Address("127.0.0.1", zlib.crc32(name.encode()) % 60_000 + 1),
        failure_domain="a",
        version="v1",
        slots=slots,
        **values,
    )


class OtherRouters(LoadSource):
    """Loads of other routers, which are set when they are refreshed."""

    def __init__(self, state):
        self._state = state
        self.load = Load()

    def refresh(self, pool):
        """See `LoadSource.refresh`."""
        self._state.peers = self.load


class SlowEngineTest(unittest.TestCase):
    def test_own_output_counts_at_a_slow_engine(self):
        registry = ReplicaRegistry(ManualTimers())
        for name in ("slow", "busy"):
            registry.put(replica(name))
        registry.get("slow").speed = 0.5
        registry.get("busy").peers = Load(1, 8_000, 9_000)
        admission = Admission(ManualTimers(), registry, random.Random(1))
        engines = RelayPool("p", 100, EngineProfile(24, 88_000))
        req = AdmissionRequest(
            pool=engines, priority=1, prompt_tokens=1_000, tokens=1_500, until=10.0
        )

        def chosen(output_token_cost):
            admission.output_token_cost = lambda pool: output_token_cost
            place = admission.acquire(req).ok()
            place.release()
            return place.state.replica.replica

        # The output takes as long as reading 500 or 20,000 prompt tokens.
        self.assertEqual(chosen(1.0), "slow")
        self.assertEqual(chosen(40.0), "busy")


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.registry = ReplicaRegistry(self.timers)
        self.admission = Admission(self.timers, self.registry, random.Random(1))

    def admission_request(self, wait_s=10.0, priority=1, **fields):
        return AdmissionRequest(
            pool=POOL,
            priority=priority,
            prompt_tokens=0,
            tokens=0,
            until=self.timers.now() + wait_s,
            **fields,
        )

    def wait(self, order, name, **fields):
        def run():
            place = self.admission.acquire(self.admission_request(**fields))
            order.append((name, place.is_ok()))
            if place.is_ok():
                place.ok().release()

        eventlet.spawn(run)
        eventlet.sleep(0)

    def test_free_place_is_granted_at_once(self):
        self.registry.put(replica("one"))
        self.assertTrue(self.admission.acquire(self.admission_request()).is_ok())

    def test_urgent_requests_go_first_and_others_in_order(self):
        self.registry.put(replica("one"))
        held = self.admission.acquire(self.admission_request()).ok()
        order = []
        for name, priority in (("a", 5), ("b", 5), ("c", 0)):
            self.wait(order, name, priority=priority)
        held.release()
        self.timers.advance(0.0)
        self.assertEqual([name for name, _ in order], ["c", "a", "b"])

    def test_wait_that_can_not_end_in_time_is_refused_at_once(self):
        self.registry.put(replica("one"))
        self.admission.acquire(self.admission_request()).ok()
        refused = self.admission.acquire(self.admission_request(wait_s=0.01)).err()
        self.assertEqual((refused.status, refused.code), (503, "no_room"))
        self.assertGreater(refused.retry_after_s, 0.0)

    def test_wait_that_times_out_is_refused(self):
        order = []
        self.wait(order, "a", wait_s=1.0)
        self.timers.advance(1.1)
        self.assertEqual(order, [("a", False)])
        self.assertEqual(self.admission.waiting(), 1)
        self.admission.grant_waiting()
        self.assertEqual(self.admission.waiting(), 0)

    def test_request_that_no_longer_waits_does_not_count_as_ahead(self):
        self.registry.put(replica("one"))
        self.admission.acquire(self.admission_request()).ok()
        before_s = self.admission.expected_wait_s(self.admission_request())
        self.wait([], "a", wait_s=1.0)
        self.timers.advance(1.1)
        after_s = self.admission.expected_wait_s(self.admission_request())
        self.assertEqual(after_s, before_s)

    def test_new_replica_serves_waiting_requests(self):
        order = []
        self.wait(order, "a")
        self.registry.put(replica("one"))
        self.timers.advance(0.0)
        self.assertEqual(order, [("a", True)])

    def test_place_released_by_another_router_serves_waiting_requests(self):
        self.registry.put(replica("one"))
        others = OtherRouters(self.registry.get("one"))
        others.load = Load(1, 0, 0)
        rng = random.Random(1)
        self.admission = Admission(self.timers, self.registry, rng, others)
        order = []
        self.wait(order, "a", wait_s=2.0)
        self.assertEqual(order, [])
        others.load = Load()
        self.timers.advance(RECHECK_INTERVAL_S)
        eventlet.sleep(0.01)
        self.assertEqual(order, [("a", True)])

    def test_demand_names_waiting_requests_and_own_places(self):
        self.registry.put(replica("one"))
        self.registry.get("one").peers = Load(1)
        self.assertEqual(self.admission.place_demand("p"), NO_DEMAND)
        self.registry.get("one").peers = Load()
        held = self.admission.acquire(self.admission_request()).ok()
        self.wait([], "a")
        found = self.admission.place_demand("p")
        self.assertEqual((found.waiting, found.running), (1, 1))
        held.release()
        self.timers.advance(0.1)
        self.assertEqual(self.admission.place_demand("p"), NO_DEMAND)

    def test_many_waiting_requests_check_for_places_together(self):
        """Guards against work that grows with the square of the waiting requests."""
        self.registry.put(replica("one"))
        self.admission.acquire(self.admission_request()).ok()
        for number in range(MANY_WAITING):
            self.wait([], number)
        looks = mock.Mock(wraps=self.registry.of_pool)
        with mock.patch.object(self.registry, "of_pool", looks):
            for _ in range(CHECKS):
                self.timers.advance(RECHECK_INTERVAL_S)
                eventlet.sleep(0)
        # Each check may look once for a place, and is made twice an interval at most.
        self.assertGreaterEqual(looks.call_count, CHECKS)
        self.assertLessEqual(looks.call_count, 2 * CHECKS)

    def test_leaving_replica_gets_no_request(self):
        self.registry.put(replica("one", stage=ReplicaStage.DRAINING))
        self.assertTrue(
            self.admission.acquire(self.admission_request(wait_s=0.0)).is_err()
        )

    def test_abandoned_wait_releases_its_place(self):
        self.registry.put(replica("one"))
        held = self.admission.acquire(self.admission_request()).ok()
        waiter = eventlet.spawn(self.admission.acquire, self.admission_request())
        eventlet.sleep(0)
        held.release()
        waiter.kill()
        eventlet.sleep(0)
        self.assertEqual(self.registry.get("one").own.running, 0)

    def test_loads_return_to_zero(self):
        self.registry.put(replica("one"))
        self.registry.put(replica("two"))
        place = self.admission.acquire(self.admission_request()).ok()
        other = self.registry.get("two")
        place.reserve_copy(other)
        place.note_first_output()
        place.release()
        place.release()
        for state in self.registry.all():
            load = state.own
            self.assertEqual((load.running, load.tokens, load.unread_tokens), (0, 0, 0))

    def test_replica_that_is_not_held_ends_the_check_for_holds(self):
        """Guards against many waiting requests that check a large pool all the time."""
        checked = []
        request = self.admission_request(allows=lambda each: not checked.append(each))
        for number in range(50):
            self.registry.put(replica(f"r{number}"))
        self.assertEqual(self.admission.hold_remaining_s(request), 0.0)
        self.assertEqual(len(checked), 1)
        for state in self.registry.all():
            state.restraints.extend(Reason.HELD_OFF, self.timers.now() + 2.0)
        self.registry.get("r7").restraints.extend(
            Reason.HELD_OFF, self.timers.now() + 3.0
        )
        self.assertAlmostEqual(self.admission.hold_remaining_s(request), 2.0)

    def test_wait_grows_with_the_queue(self):
        self.assertEqual(expected_wait_s(0, 10, 1.0), 0.1)
        self.assertEqual(expected_wait_s(19, 10, 1.0), 2.0)


class PriorityPoolTest(AdmissionTest):
    """The same promises in a pool whose requests have different priorities."""

    def admission_request(self, wait_s=10.0, priority=1, **fields):
        return super().admission_request(
            wait_s, priority, **{"has_priorities": True} | fields
        )

    def decisions(self):
        """Return the outcomes that the admission reports from now on."""
        outcomes = []
        self.admission.on_decision = lambda decision: outcomes.append(decision.outcome)
        return outcomes

    def test_wait_that_times_out_is_refused(self):
        order, outcomes = [], self.decisions()
        self.wait(order, "a", wait_s=1.0)
        self.timers.advance(1.1)
        self.assertEqual(order, [("a", False)])
        self.assertEqual(self.admission.waiting(), 0)
        self.assertEqual(outcomes, [None, QueueOutcome.EXPIRED])

    def test_request_that_no_longer_waits_does_not_count_as_ahead(self):
        """The estimate itself grows, since nothing was granted during the wait."""
        self.registry.put(replica("one"))
        self.admission.acquire(self.admission_request()).ok()
        self.wait([], "a", wait_s=1.0)
        self.timers.advance(1.1)
        decisions = []
        self.admission.on_decision = decisions.append
        self.wait([], "b")
        self.assertEqual([each.forecast.ahead for each in decisions], [0])

    def test_handler_that_ends_leaves_the_queue(self):
        outcomes = self.decisions()
        waiter = eventlet.spawn(self.admission.acquire, self.admission_request())
        eventlet.sleep(0)
        self.assertEqual(self.admission.waiting(), 1)
        waiter.kill()
        eventlet.sleep(0)
        self.assertEqual(self.admission.waiting(), 0)
        self.assertEqual(outcomes, [None, QueueOutcome.LEFT])

    def test_retry_time_is_at_most_a_third_of_the_time_that_is_left(self):
        """Guards against refusals whose retry time callers can't follow."""
        self.registry.put(replica("one"))
        held = self.admission.acquire(self.admission_request()).ok()
        self.timers.advance(20.0)
        held.release(True)
        self.admission.acquire(self.admission_request()).ok()
        fields = {"wait_s": 1.0, "deadline": self.timers.now() + 3.0}
        refused = self.admission.acquire(self.admission_request(**fields)).err()
        self.assertEqual((refused.status, refused.code), (503, "no_room"))
        self.assertAlmostEqual(refused.retry_after_s, 1.0)

    def fill_queue(self, priority=0):
        """Let as many requests wait as may; return what becomes of them."""
        order = []
        for _ in range(MAX_WAITING):
            self.wait(order, "waits", wait_s=1e6, priority=priority)
        self.assertEqual((order, self.admission.waiting()), ([], MAX_WAITING))
        return order

    def test_full_queue_without_replicas_is_not_asked_again_at_once(self):
        """Guards against a flood of retries while a pool has no replica."""
        self.fill_queue()
        refused = self.admission.acquire(self.admission_request(priority=1)).err()
        self.assertGreaterEqual(refused.retry_after_s, NO_REPLICA_RETRY_S)

    def test_request_that_replicas_hold_off_too_long_displaces_no_other(self):
        """Guards against two refusals for one request beyond a full queue."""
        self.registry.put(replica("one"))
        held = self.registry.get("one")
        held.restraints.extend(Reason.HELD_OFF, self.timers.now() + 30.0)
        order = self.fill_queue(priority=1)
        self.wait(order, "urgent", wait_s=20.0, priority=0)
        self.timers.advance(0.0)
        self.assertEqual(order, [("urgent", False)])
        self.assertEqual(self.admission.waiting(), MAX_WAITING)

    def test_preview_names_the_refusal_by_a_full_queue(self):
        self.fill_queue()
        for priority in (0, 1):
            request = self.admission_request(wait_s=1e6, priority=priority)
            found = self.admission.preview(request)
            self.assertIsNotNone(found.refusal)
            self.assertIsNone(found.choice)
            self.assertTrue(self.admission.acquire(request).is_err())

    def test_preview_waits_if_the_full_queue_loses_another_request(self):
        order = self.fill_queue(priority=1)
        found = self.admission.preview(self.admission_request(priority=0))
        self.assertIsNone(found.refusal)
        self.assertEqual((order, self.admission.waiting()), ([], MAX_WAITING))
        self.wait(order, "urgent", priority=0)
        self.timers.advance(0.0)
        self.assertEqual(order, [("waits", False)])

    def test_preview_leaves_a_free_place_to_the_request_whose_turn_it_is(self):
        """Guards against a choice that is named although another takes the place."""
        self.registry.put(replica("one"))
        others = OtherRouters(self.registry.get("one"))
        others.load = Load(1, 0, 0)
        rng = random.Random(1)
        self.admission = Admission(self.timers, self.registry, rng, others)
        order = []
        self.wait(order, "waits", wait_s=2.0)
        others.load = Load()
        for priority, choice in ((0, "one"), (1, None), (2, None)):
            found = self.admission.preview(self.admission_request(priority=priority))
            chosen = found.choice and found.choice.replica.replica
            self.assertEqual(chosen, choice)
            self.assertIsNone(found.refusal)
        self.assertEqual(self.registry.get("one").own.running, 0)
        self.assertEqual(order, [])

    def test_request_without_time_takes_a_free_place_only(self):
        self.registry.put(replica("one"))
        request = self.admission_request(wait_s=0.0)
        self.assertTrue(self.admission.acquire(request).is_ok())
        self.assertTrue(self.admission.acquire(request).is_err())

    def test_estimate_leaves_the_queue_as_it_is(self):
        self.registry.put(replica("one"))
        self.admission.acquire(self.admission_request()).ok()
        self.assertGreater(self.admission.expected_wait_s(self.admission_request()), 0)
        self.assertEqual(self.admission.waiting(), 0)

    def test_estimate_is_that_of_the_request_long_after_others_waited(self):
        """Guards against requests that are explained as refused, but would wait."""
        self.registry.put(replica("one"))
        self.admission.acquire(self.admission_request()).ok()
        for _ in range(3):
            self.wait([], "urgent", wait_s=5.0, priority=0)
        self.timers.advance(1_000.0)
        request = self.admission_request()
        estimate_s = self.admission.expected_wait_s(request)
        decisions = []
        self.admission.on_decision = decisions.append
        self.wait([], "later")
        self.assertAlmostEqual(decisions[0].forecast.wait_s, estimate_s)

    def test_requests_of_both_kinds_wait_beside_each_other(self):
        """A table that changes while requests wait gives a pool priorities, or none."""
        self.registry.put(replica("one"))
        held = self.admission.acquire(self.admission_request()).ok()
        order = []
        self.wait(order, "before", has_priorities=False)
        self.wait(order, "after")
        held.release()
        self.timers.advance(0.1)
        self.assertCountEqual(order, [("before", True), ("after", True)])


class EqualPrioritiesTest(unittest.TestCase):
    """Pools without priorities grant and refuse as before.

    The checksums are those of the events of commit ac4a82f, which had no such pools.
    """

    EARLIER = ((1, 235352444), (2, 1112073723), (3, 1751923131))

    def test_same_arrivals_get_the_same_places_and_refusals(self):
        for seed, checksum in self.EARLIER:
            events, _, _ = play(Admission, seed, self.fields)
            self.assertEqual(zlib.crc32(repr(events).encode()), checksum)

    def test_arrivals_of_pools_with_priorities_get_others(self):
        """Shows that the test above can fail."""
        for seed, checksum in self.EARLIER:
            events, admission, registry = play(
                Admission, seed, lambda number: {"has_priorities": True}
            )
            self.assertNotEqual(zlib.crc32(repr(events).encode()), checksum)
            self.assertEqual(admission.waiting(), 0)
            for state in registry.all():
                self.assertEqual((state.own.running, state.own.tokens), (0, 0))

    def fields(self, number):
        return {
            "organisation": str(number % 3),
            "goal_at": float(number),
            "needed_s": 0.1,
            "is_resumed": number % 7 == 0,
        }


class OverloadTest(unittest.TestCase):
    """Simulates callers that arrive at 1.5 times the rate that the replica can serve.

    Each caller has little time, and retries once after the refusal's retry time.
    In the baseline, all callers wait in a queue until they time out.
    """

    SLOTS = 6
    SERVICE_S = 0.03
    CALLER_TIMEOUT_S = 0.6
    WAIT_SHARE = 0.4
    STEP_S = 0.005
    ARRIVALS_S = 3.0
    RATE_PER_S = 300.0

    def simulate(self, may_refuse):
        timers = ManualTimers()
        registry = ReplicaRegistry(timers)
        registry.put(replica("one", slots=self.SLOTS))
        admission = Admission(timers, registry, random.Random(1))
        rng = random.Random(2)
        served, given_up = [], []

        def caller():
            began = timers.now()
            for _ in range(2):
                wait_s = self.CALLER_TIMEOUT_S * (
                    self.WAIT_SHARE if may_refuse else 1.0
                )
                left_s = began + self.CALLER_TIMEOUT_S - timers.now()
                admission_request = AdmissionRequest(
                    pool=POOL,
                    priority=1,
                    prompt_tokens=0,
                    tokens=0,
                    until=timers.now() + min(wait_s, left_s),
                )
                placed = admission.acquire(admission_request)
                if placed.is_ok():
                    timers.sleep(self.SERVICE_S)
                    placed.ok().release(True)
                    if timers.now() <= began + self.CALLER_TIMEOUT_S + self.STEP_S:
                        served.append(timers.now() - began)
                        return
                    break
                if not may_refuse:
                    break
                timers.sleep(min(placed.err().retry_after_s, left_s / 3.0))
            given_up.append(timers.now() - began)

        due = 0.0
        for _ in range(
            int((self.ARRIVALS_S + 2 * self.CALLER_TIMEOUT_S) / self.STEP_S)
        ):
            due += self.STEP_S * self.RATE_PER_S
            while due >= 1.0 and timers.now() < 1_000_000.0 + self.ARRIVALS_S:
                due -= rng.uniform(0.5, 1.5)
                eventlet.spawn_n(caller)
            timers.advance(self.STEP_S)
        return served, given_up

    def test_refusing_serves_as_many_and_answers_the_others_sooner(self):
        served, given_up = self.simulate(may_refuse=True)
        baseline_served, baseline_given_up = self.simulate(may_refuse=False)
        self.assertGreaterEqual(len(served), 0.95 * len(baseline_served))
        self.assertLess(mean(given_up), 0.85 * mean(baseline_given_up))
        self.assertLess(mean(served), mean(baseline_served) + 0.05)


def mean(values):
    return sum(values) / max(1, len(values))
