import itertools
import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry

from boragedeck.connection.messages import FactTopic
from boragedeck.process.relaying.placing.admission import Admission
from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import (
    DEFAULT_HOLD_S,
    MAX_ABSENT_RUNS,
    MAX_HOLD_S,
    ReplicaRegistry,
)
from boragedeck.process.relaying.replicas.replica_notices import ReplicaNotices
from boragedeck.process.relaying.replicas.replica_state import RESUME_INTERVAL_S, Run
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import HoldOff, ReplicaNotice, ReplicaStage
from tests.process.relaying.placing.test_admission import POOL, replica
from tests.support.replicas import (
    FakeFactBoard,
    single_router_brittle,
    single_router_limits,
)

LEAVING = ReplicaNotice(is_leaving=True)


def hold(seconds):
    return ReplicaNotice(hold_off=HoldOff(seconds, str(seconds)))


class FakeUpstreamPool:
    """Records the addresses whose idle connections are closed."""

    def __init__(self):
        self.closed = []

    def forget(self, address):
        """See `UpstreamPool.forget`."""
        self.closed.append(address)


class Router:
    """The parts of one router that choose replicas."""

    def __init__(self, timers, name="r-1", shared=None):
        self.timers = timers
        self.registry = ReplicaRegistry(timers)
        self.admission = Admission(timers, self.registry, random.Random(1))
        self.upstreams = FakeUpstreamPool()
        self.board = FakeFactBoard(name, shared)
        self.metrics = RelayMetrics(CollectorRegistry())
        self.limits = single_router_limits(
            timers, self.registry, self.board, self.metrics
        )
        self.brittle = single_router_brittle(
            timers, self.registry, self.board, self.metrics
        )
        self.notices = ReplicaNotices(
            self.registry,
            self.board,
            self.upstreams,
            self.limits,
            self.brittle,
            self.metrics,
        )

    def handle(self, name, notice):
        """Handle a notice in an answer of a replica."""
        self.notices.handle(self.registry.get(name), notice)

    def place(self, wait_s=0.0, release=True):
        """Return the replica that a request is sent to now, or its refusal."""
        until = self.timers.now() + wait_s
        admission_request = AdmissionRequest(
            pool=POOL, priority=1, prompt_tokens=0, tokens=0, until=until
        )
        placed = self.admission.acquire(admission_request)
        if placed.is_err():
            return placed.err()
        if release:
            placed.ok().release()
        return placed.ok().state.replica.replica


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.router = Router(self.timers)
        self.router.registry.put(replica("one", born_ms=1))

    def test_leaving_replica_gets_no_request_though_the_list_says_ready(self):
        self.router.handle("one", LEAVING)
        self.assertNotEqual(self.router.place(), "one")
        again = replica("one", slots=2, born_ms=1)
        self.router.registry.put(again)
        self.assertNotEqual(self.router.place(), "one")

    def test_replica_still_leaves_after_its_entry_lapsed_and_returned(self):
        self.router.handle("one", LEAVING)
        self.router.registry.remove("one", "test")
        self.router.registry.put(replica("one", born_ms=1))
        self.assertNotEqual(self.router.place(), "one")

    def test_successor_at_the_address_serves_at_once(self):
        self.router.handle("one", LEAVING)
        successor = msgspec.structs.replace(
            replica("one", born_ms=1), replica="two", born_ms=2
        )
        self.router.registry.put(successor)
        self.assertEqual(self.router.place(), "two")

    def test_next_run_under_the_same_id_serves_at_once(self):
        self.router.handle("one", LEAVING)
        self.router.registry.put(replica("one", born_ms=2))
        self.assertEqual(self.router.place(), "one")

    def test_idle_connections_are_closed(self):
        self.router.handle("one", LEAVING)
        self.assertEqual(len(self.router.upstreams.closed), 1)

    def test_two_hundred_notices_publish_one_fact(self):
        for _ in range(200):
            self.router.handle("one", LEAVING)
        self.assertEqual(len(self.router.board.facts(FactTopic.LEAVING)), 1)
        self.assertEqual(self.router.metrics.leaving._value.get(), 1)

    def test_miss_of_a_leaving_replica_does_not_avoid_its_domain(self):
        for name in ("two", "three"):
            self.router.registry.put(replica(name, born_ms=1))
        states = [self.router.registry.get(name) for name in ("one", "two", "three")]
        for name in ("one", "two"):
            self.router.handle(name, LEAVING)
        for state in states[:2]:
            self.router.registry.note_miss(state)
        self.assertEqual(states[2].avoid_until, 0.0)

    def test_number_of_absent_runs_kept_is_bounded(self):
        registry = self.router.registry
        for number in range(MAX_ABSENT_RUNS + 10):
            registry.note_leaving(Run(f"gone-{number}", 1), "test")
        self.assertEqual(len(registry._absent_restraints), MAX_ABSENT_RUNS)


class TwoRoutersTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        shared = {}
        self.here = Router(self.timers, "r-1", shared)
        self.there = Router(self.timers, "r-2", shared)
        for router in (self.here, self.there):
            router.registry.put(replica("one", born_ms=1))

    def test_router_that_receives_the_fact_sends_nothing(self):
        self.here.handle("one", LEAVING)
        self.assertNotEqual(self.there.place(), "one")

    def test_router_that_received_the_fact_publishes_none(self):
        self.here.handle("one", LEAVING)
        self.there.handle("one", LEAVING)
        facts = self.here.board.facts(FactTopic.LEAVING)
        self.assertEqual([fact.origin for fact in facts], ["r-1"])

    def test_fact_may_arrive_before_the_replica_is_listed(self):
        self.there.registry.remove("one", "test")
        self.here.handle("one", LEAVING)
        self.there.registry.put(replica("one", born_ms=1))
        self.assertNotEqual(self.there.place(), "one")

    def test_hold_off_is_not_published(self):
        self.here.handle("one", hold(5.0))
        self.assertNotEqual(self.here.place(), "one")
        self.assertEqual(self.there.place(), "one")

    def test_unreadable_fact_changes_nothing(self):
        for key in ("replica/", "replica/x/one", "replica/-1/one", "vm/one"):
            self.here.board.publish(FactTopic.LEAVING, key, b"")
        self.assertEqual(self.there.place(), "one")


class HoldOffTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.router = Router(self.timers)
        self.router.registry.put(replica("one", slots=8))

    def test_request_goes_to_another_replica(self):
        self.router.registry.put(replica("two"))
        self.router.handle("one", hold(1.5))
        self.assertEqual(self.router.place(), "two")

    def test_request_that_can_not_wait_gets_a_retry_after(self):
        self.router.handle("one", hold(1.5))
        refused = self.router.place(wait_s=1.5)
        self.assertEqual(refused.code, "no_room")
        self.assertGreaterEqual(refused.retry_after_s, 1.5)
        self.assertLessEqual(refused.retry_after_s, 2.25)

    def test_request_that_can_wait_is_sent_after_the_hold(self):
        self.router.handle("one", hold(1.5))
        began = self.timers.now()
        sent = self.wait_all(1, 2.0)
        self.assertGreaterEqual(sent[0] - began, 1.5)
        self.assertLess(sent[0] - began, 1.6)

    def test_waiting_requests_are_sent_one_after_the_other(self):
        self.router.handle("one", hold(1.0))
        sent = self.wait_all(6, 3.0)
        self.assertEqual(len(sent), 6)
        pauses = [later - sooner for sooner, later in itertools.pairwise(sent)]
        self.assertGreaterEqual(min(pauses), 0.9 * RESUME_INTERVAL_S)

    def test_wait_ends_when_the_hold_is_extended(self):
        self.router.handle("one", hold(0.5))
        refused = []

        def wait():
            refused.append((self.router.place(wait_s=2.0), self.timers.now()))

        began = self.timers.now()
        self.timers.call_later(0.0, wait)
        self.timers.advance(0.2)
        self.router.handle("one", hold(30.0))
        self.timers.advance(0.2)
        self.assertEqual(len(refused), 1)
        self.assertGreaterEqual(refused[0][0].retry_after_s, 25.0)
        self.assertLess(refused[0][1] - began, 0.5)

    def test_hold_is_neither_a_failure_nor_a_miss(self):
        state = self.router.registry.get("one")
        self.router.handle("one", hold(1.0))
        self.assertEqual((state.failure_share, state.consecutive_misses), (0.0, 0))
        self.assertEqual(state.avoid_until, 0.0)
        state.note_answer(True, self.timers.now())
        self.assertNotEqual(self.router.place(), "one")

    def test_later_shorter_hold_does_not_shorten_the_first(self):
        self.router.handle("one", hold(2.0))
        self.router.handle("one", hold(0.1))
        self.timers.advance(1.0)
        self.assertNotEqual(self.router.place(), "one")

    def test_hold_is_bounded(self):
        for requested_s, max_hold_s in ((86_400.0, MAX_HOLD_S), (None, DEFAULT_HOLD_S)):
            self.setUp()
            self.router.handle("one", hold(requested_s))
            self.timers.advance(max_hold_s - 0.1)
            self.assertNotEqual(self.router.place(), "one")
            self.timers.advance(0.1)
            self.assertEqual(self.router.place(), "one")

    def test_hold_outlasts_a_lapse_of_the_entry(self):
        self.router.handle("one", hold(5.0))
        self.router.registry.remove("one", "test")
        self.router.registry.put(replica("one", slots=8))
        self.assertNotEqual(self.router.place(), "one")

    def test_restarted_router_knows_of_no_hold(self):
        self.router.handle("one", hold(5.0))
        router = Router(self.timers)
        router.registry.put(replica("one"))
        self.assertEqual(router.place(), "one")

    def wait_all(self, requests, wait_s):
        """Return when the waiting requests were sent, sorted."""
        sent = []

        def wait():
            if self.router.place(wait_s, release=False) == "one":
                sent.append(self.timers.now())

        for _ in range(requests):
            self.timers.call_later(0.0, wait)
        for _ in range(int(wait_s / 0.01)):
            self.timers.advance(0.01)
        return sorted(sent)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("leave"), st.sampled_from("abc")),
        st.tuples(st.just("hold"), st.sampled_from("abc"), st.floats(0.0, 3.0)),
        st.tuples(st.just("list"), st.sampled_from("abc")),
        st.tuples(st.just("lapse"), st.sampled_from("abc")),
        st.tuples(st.just("restart"), st.sampled_from("abc")),
        st.tuples(st.just("miss"), st.sampled_from("abc")),
        st.tuples(st.just("answer"), st.sampled_from("abc")),
        st.tuples(st.just("send")),
        st.tuples(st.just("wait"), st.floats(0.0, 1.5)),
    ),
    max_size=40,
)


class SequenceTest(unittest.TestCase):
    @given(STEPS)
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_nothing_is_sent_to_restrained_replicas(self, steps):
        timers = ManualTimers()
        router = Router(timers)
        born = dict.fromkeys("abc", 1)
        left, held = set(), {}
        for name in "abc":
            router.registry.put(replica(name, slots=100, born_ms=1))
        for step in steps:
            state = None if len(step) == 1 else router.registry.get(step[1])
            match step:
                case ("leave", name) if state is not None:
                    router.handle(name, LEAVING)
                    left.add((name, born[name]))
                case ("hold", name, seconds) if state is not None:
                    router.handle(name, hold(seconds))
                    until = timers.now() + seconds
                    held[name, born[name]] = max(
                        until, held.get((name, born[name]), 0.0)
                    )
                case ("list", name):
                    router.registry.put(replica(name, slots=100, born_ms=born[name]))
                case ("lapse", name):
                    router.registry.remove(name, "test")
                case ("restart", name):
                    born[name] += 1
                    router.registry.put(replica(name, slots=100, born_ms=born[name]))
                case ("miss", name) if state is not None:
                    router.registry.note_miss(state)
                case ("answer", name) if state is not None:
                    state.note_answer(True, timers.now())
                case ("wait", seconds):
                    timers.advance(seconds)
                case ("send",):
                    name = router.place()
                    if name in born:
                        run = name, born[name]
                        self.assertNotIn(run, left)
                        self.assertLessEqual(held.get(run, 0.0), timers.now())
                        state = router.registry.get(name)
                        self.assertIs(state.replica.stage, ReplicaStage.READY)
