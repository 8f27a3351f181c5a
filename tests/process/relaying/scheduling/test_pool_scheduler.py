import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from boragedeck.process.relaying.placing.place import AdmissionRequest, Place
from boragedeck.process.relaying.placing.placement import (
    PlacementRequest,
    choose_emptiest,
    choose_replica,
    most_free_tokens,
)
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.relaying.scheduling.pool_scheduler import (
    MAX_WAITING,
    PlaceSource,
    PoolScheduler,
)
from boragedeck.process.relaying.scheduling.waiter import QueueOutcome
from boragedeck.version.routing import EngineProfile, RelayPool
from tests.support.admission_plays import replica

PROFILE = EngineProfile(8, 1_000)
POOL = RelayPool("engines", 100, PROFILE)
LIMIT_TOKENS = 920
MEAN_SERVICE_S = 2.0


class Engines:
    """The places of some engines, and a scheduler that grants them."""

    def __init__(self, count=2):
        self.now = 100.0
        self.states = [
            ReplicaState(replica(f"e{number}", "engines", 8)) for number in range(count)
        ]
        self._rng = random.Random(1)
        self.scheduler = PoolScheduler(
            PlaceSource(
                grant=self._grant,
                states=lambda req: self.states,
                most_free_tokens=self._most_free_tokens,
                choose_claim=lambda req: choose_emptiest(
                    self.states, self._placement(req), self._rng
                ),
                mean_service_s=lambda: MEAN_SERVICE_S,
                note_change=lambda: None,
            )
        )
        self.placed = []
        self.waiting = []
        # How often all engines were looked at.
        self.looked = 0

    def request(self, tokens=200, priority=0, wait_s=10.0, **fields):
        return AdmissionRequest(
            pool=POOL,
            priority=priority,
            prompt_tokens=0,
            tokens=tokens,
            until=self.now + wait_s,
            goal_at=self.now + 5.0,
            has_priorities=True,
            **fields,
        )

    def add(self, **fields):
        """Add a request; return it with what is expected of it."""
        waiter = self.scheduler.make_waiter(self.request(**fields), self.now)
        forecast = self.scheduler.add(waiter, self.now)
        self.waiting.append(waiter)
        self._sort_out()
        return waiter, forecast

    def release(self, waiter):
        """End a request that has a place."""
        self.placed.remove(waiter)
        waiter.place.release(True)
        self.check()

    def check(self):
        """Grant what is free, as the admission does after each release."""
        self.scheduler.grant_places(self.now)
        self._sort_out()

    def expire(self):
        """End the waits whose time is over."""
        for waiter in self.waiting:
            if waiter.req.until <= self.now:
                self.scheduler.remove(waiter, QueueOutcome.EXPIRED, self.now)
        self._sort_out()

    def fits(self, waiter):
        """Return whether a request would get a place now."""
        return choose_replica(self.states, self._placement(waiter.req), self._rng)

    def loads(self):
        return [(state.own.running, state.own.tokens) for state in self.states]

    def _sort_out(self):
        self.placed += [each for each in self.waiting if each.place is not None]
        self.waiting = [each for each in self.waiting if each.outcome is None]

    def _grant(self, req):
        self.looked += 1
        state = choose_replica(self.states, self._placement(req), self._rng)
        if state is None:
            return None
        return Place(lambda pool, since, is_served: None, state, req, self.now)

    def _most_free_tokens(self, req):
        self.looked += 1
        return most_free_tokens(self.states, self._placement(req))

    def _placement(self, req):
        return PlacementRequest(tokens=req.tokens, now=self.now, engine=PROFILE)


steps = st.lists(
    st.one_of(
        st.builds(
            dict,
            tokens=st.integers(20, 900),
            priority=st.integers(0, 2),
            wait_s=st.floats(0.0, 20.0),
            organisation=st.sampled_from(["a", "b"]),
            has_begun=st.booleans(),
        ),
        st.floats(0.0, 3.0),
        st.integers(0, 100),
    ),
    max_size=60,
)


class PoolSchedulerTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(steps)
    def test_free_place_is_never_withheld_if_a_request_fits(self, played):
        """Guards against room that is idle while requests wait, and leaked claims."""
        engines = Engines()
        for step in played:
            match step:
                case dict():
                    engines.add(**step)
                case float():
                    engines.now += step
                    engines.expire()
                    engines.check()
                case int() if engines.placed:
                    engines.release(engines.placed[step % len(engines.placed)])
            for waiter in engines.waiting:
                self.assertIsNone(engines.fits(waiter))
        engines.now += 100.0
        engines.expire()
        for waiter in list(engines.placed):
            engines.release(waiter)
        self.assertEqual(engines.loads(), [(0, 0), (0, 0)])
        self.assertEqual(len(engines.scheduler), 0)

    @settings(max_examples=50, deadline=None)
    @given(
        st.lists(st.integers(0, 2), max_size=12),
        st.integers(0, 2),
        st.floats(0.1, 30.0),
        st.floats(0.0, 30.0),
    )
    def test_more_time_never_turns_a_request_away(self, ahead, priority, wait_s, more):
        """Guards against deadlines that count against the one who has them."""

        def may_wait(wait_s):
            engines = Engines()
            for each in [0] * 8 + ahead:
                engines.add(priority=each, wait_s=100.0)
            waiter, _ = engines.add(priority=priority, wait_s=wait_s)
            return waiter.outcome is not QueueOutcome.NO_TIME

        if may_wait(wait_s):
            self.assertTrue(may_wait(wait_s + more))

    def full(self, **fields):
        """Return engines that are full of requests of 200 tokens."""
        engines = Engines(**fields)
        for _ in range(4 * len(engines.states)):
            engines.add()
        self.assertEqual(len(engines.placed), 4 * len(engines.states))
        return engines

    def test_request_that_can_not_be_served_in_time_is_refused_at_once(self):
        engines = self.full()
        waiter, forecast = engines.add(wait_s=0.01)
        self.assertIs(waiter.outcome, QueueOutcome.NO_TIME)
        self.assertGreater(forecast.wait_s, 0.01)

    def test_answer_that_has_begun_waits_all_the_same(self):
        engines = self.full()
        waiter, _ = engines.add(wait_s=0.01, has_begun=True)
        self.assertIsNone(waiter.outcome)

    def test_new_request_does_not_overtake_a_more_urgent_one(self):
        """Guards against arrivals that take room which other routers have freed."""
        engines = self.full()
        urgent, _ = engines.add(priority=0)
        engines.states[0].own.tokens -= 200
        later, _ = engines.add(priority=2)
        self.assertIs(urgent.outcome, QueueOutcome.GRANTED)
        self.assertIsNone(later.outcome)

    def test_less_urgent_request_is_refused_for_those_that_lately_waited(self):
        """Guards against waits in vain behind urgent requests that keep coming."""

        def forecast(priority):
            engines = self.full()
            for _ in range(20):
                engines.now += 0.1
                engines.add(priority=0)
                engines.release(engines.placed[0])
            return engines.add(priority=priority)[1].wait_s

        self.assertGreater(forecast(2), 2.0 * forecast(0))

    def test_full_queue_refuses_what_costs_least(self):
        engines = self.full()
        for _ in range(MAX_WAITING):
            engines.add(priority=1, wait_s=10_000.0)
        least, _ = engines.add(priority=2, wait_s=10_000.0)
        self.assertIs(least.outcome, QueueOutcome.FULL)
        last = engines.waiting[-1]
        urgent, _ = engines.add(priority=0, wait_s=10_000.0)
        self.assertIsNone(urgent.outcome)
        self.assertIs(last.outcome, QueueOutcome.DISPLACED)
        self.assertEqual(len(engines.scheduler), MAX_WAITING)

    def play_small_requests(self, engines, until_s, on_step=lambda: None):
        """Keep engines full by small requests, one of which ends every 0.1 s."""
        while engines.now < 100.0 + until_s:
            engines.now += 0.1
            engines.expire()
            engines.add(tokens=200, wait_s=5.0)
            engines.release(engines.placed[0])
            on_step()

    def test_full_pool_is_not_looked_at_for_each_waiting_request(self):
        """Guards against an arrival that holds up the process in a large pool."""
        engines = self.full()
        for _ in range(MAX_WAITING):
            engines.add(wait_s=10_000.0)
        self.assertEqual(len(engines.waiting), MAX_WAITING)
        engines.looked = 0
        engines.add(wait_s=10_000.0)
        self.assertLess(engines.looked, 4)

    def test_large_request_does_not_block_smaller_ones(self):
        engines = self.full()
        large, _ = engines.add(tokens=800)
        small, _ = engines.add(tokens=200)
        engines.release(engines.placed[0])
        self.assertIs(small.outcome, QueueOutcome.GRANTED)
        self.assertIsNone(large.outcome)

    def test_large_request_is_not_starved_by_smaller_ones(self):
        """Guards against memory that small requests take as soon as it is freed."""
        engines = self.full()
        large, _ = engines.add(tokens=800, wait_s=20.0)
        self.play_small_requests(engines, 20.0)
        self.assertIs(large.outcome, QueueOutcome.GRANTED)

    def test_claimed_room_is_known_to_other_routers_and_given_back(self):
        engines = self.full()
        large, _ = engines.add(tokens=800, wait_s=20.0)
        loads = []
        self.play_small_requests(
            engines, 8.0, lambda: loads.append(max(engines.loads())[1])
        )
        self.assertGreater(max(loads), LIMIT_TOKENS)
        engines.scheduler.remove(large, QueueOutcome.LEFT, engines.now)
        self.assertLessEqual(max(engines.loads())[1], LIMIT_TOKENS)

    def test_claim_is_moved_if_its_engine_leaves(self):
        engines = self.full(count=3)
        engines.add(tokens=800, wait_s=40.0)

        def claimed():
            return [state for state in engines.states if state.own.tokens > 1_000]

        while not claimed():
            self.play_small_requests(engines, engines.now - 100.0 + 0.1)
        (before,) = claimed()
        before.is_removed = True
        engines.check()
        self.assertEqual(len(claimed()), 1)
        self.assertNotIn(before, claimed())
        placed = [each for each in engines.placed if each.place.state is before]
        self.assertEqual(before.own.tokens, sum(each.req.tokens for each in placed))
