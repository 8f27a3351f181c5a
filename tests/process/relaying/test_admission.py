import random
import unittest
import zlib

import eventlet

from boragedeck.connection.peer import Address
from boragedeck.process.relaying.admission import (
    RECHECK_S,
    Admission,
    Ask,
    LoadSource,
    expected_wait_s,
)
from boragedeck.process.relaying.registry import ReplicaRegistry
from boragedeck.process.relaying.replica_state import Load
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import Replica, ReplicaStage
from boragedeck.version.routing import RelayPool

POOL = RelayPool("p", 100)


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
    """Loads of other routers, which are told when they are asked for."""

    def __init__(self, state):
        self._state = state
        self.load = Load()

    def refresh(self, pool):
        """See `LoadSource.refresh`."""
        self._state.peers = self.load


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.registry = ReplicaRegistry(self.timers)
        self.admission = Admission(self.timers, self.registry, random.Random(1))

    def ask(self, wait_s=10.0, priority=1, **fields):
        return Ask(
            pool=POOL,
            priority=priority,
            prompt_tokens=0,
            tokens=0,
            until=self.timers.now() + wait_s,
            **fields,
        )

    def wait(self, order, name, **fields):
        def run():
            place = self.admission.acquire(self.ask(**fields))
            order.append((name, place.is_ok()))
            if place.is_ok():
                place.ok().release()

        eventlet.spawn(run)
        eventlet.sleep(0)

    def test_place_is_given_at_once(self):
        self.registry.put(replica("one"))
        self.assertTrue(self.admission.acquire(self.ask()).is_ok())

    def test_urgent_requests_go_first_and_others_in_order(self):
        self.registry.put(replica("one"))
        held = self.admission.acquire(self.ask()).ok()
        order = []
        for name, priority in (("a", 5), ("b", 5), ("c", 0)):
            self.wait(order, name, priority=priority)
        held.release()
        self.timers.advance(0.0)
        self.assertEqual([name for name, _ in order], ["c", "a", "b"])

    def test_wait_that_can_not_end_in_time_is_refused_at_once(self):
        self.registry.put(replica("one"))
        self.admission.acquire(self.ask()).ok()
        refused = self.admission.acquire(self.ask(wait_s=0.01)).err()
        self.assertEqual((refused.status, refused.code), (503, "no_room"))
        self.assertGreater(refused.retry_after_s, 0.0)

    def test_waiting_ends_in_a_refusal(self):
        order = []
        self.wait(order, "a", wait_s=1.0)
        self.timers.advance(1.1)
        self.assertEqual(order, [("a", False)])
        self.assertEqual(self.admission.waiting(), 1)
        self.admission.grant_waiting()
        self.assertEqual(self.admission.waiting(), 0)

    def test_new_replica_serves_those_that_wait(self):
        order = []
        self.wait(order, "a")
        self.registry.put(replica("one"))
        self.timers.advance(0.0)
        self.assertEqual(order, [("a", True)])

    def test_place_that_another_router_gives_back_serves_those_that_wait(self):
        self.registry.put(replica("one"))
        others = OtherRouters(self.registry.get("one"))
        others.load = Load(1, 0, 0)
        rng = random.Random(1)
        self.admission = Admission(self.timers, self.registry, rng, others)
        order = []
        self.wait(order, "a", wait_s=2.0)
        self.assertEqual(order, [])
        others.load = Load()
        self.timers.advance(RECHECK_S)
        eventlet.sleep(0.01)
        self.assertEqual(order, [("a", True)])

    def test_leaving_replica_gets_no_request(self):
        self.registry.put(replica("one", stage=ReplicaStage.DRAINING))
        self.assertTrue(self.admission.acquire(self.ask(wait_s=0.0)).is_err())

    def test_abandoned_wait_gives_its_place_back(self):
        self.registry.put(replica("one"))
        held = self.admission.acquire(self.ask()).ok()
        waiter = eventlet.spawn(self.admission.acquire, self.ask())
        eventlet.sleep(0)
        held.release()
        waiter.kill()
        eventlet.sleep(0)
        self.assertEqual(self.registry.get("one").own.running, 0)

    def test_loads_come_back_to_zero(self):
        self.registry.put(replica("one"))
        self.registry.put(replica("two"))
        place = self.admission.acquire(self.ask()).ok()
        other = self.registry.get("two")
        place.keep_copy(other)
        place.first_output()
        place.release()
        place.release()
        for state in self.registry.all():
            load = state.own
            self.assertEqual((load.running, load.tokens, load.unread_tokens), (0, 0, 0))

    def test_wait_grows_with_the_queue(self):
        self.assertEqual(expected_wait_s(0, 10, 1.0), 0.1)
        self.assertEqual(expected_wait_s(19, 10, 1.0), 2.0)


class OverloadTest(unittest.TestCase):
    """Plays callers that come half as often again as the replica can serve.

    Each caller has little time and comes back once, when it is told to. The plain
    baseline is a queue in which all wait till their time is over.
    """

    SLOTS = 6
    SERVICE_S = 0.03
    PATIENCE_S = 0.6
    WAIT_SHARE = 0.4
    STEP_S = 0.005
    LENGTH_S = 3.0
    RATE_PER_S = 300.0

    def play(self, may_refuse):
        timers = ManualTimers()
        registry = ReplicaRegistry(timers)
        registry.put(replica("one", slots=self.SLOTS))
        admission = Admission(timers, registry, random.Random(1))
        rng = random.Random(2)
        served, given_up = [], []

        def caller():
            began = timers.now()
            for _ in range(2):
                wait_s = self.PATIENCE_S * (self.WAIT_SHARE if may_refuse else 1.0)
                left_s = began + self.PATIENCE_S - timers.now()
                ask = Ask(
                    pool=POOL,
                    priority=1,
                    prompt_tokens=0,
                    tokens=0,
                    until=timers.now() + min(wait_s, left_s),
                )
                placed = admission.acquire(ask)
                if placed.is_ok():
                    timers.sleep(self.SERVICE_S)
                    placed.ok().release(True)
                    if timers.now() <= began + self.PATIENCE_S + self.STEP_S:
                        served.append(timers.now() - began)
                        return
                    break
                if not may_refuse:
                    break
                timers.sleep(min(placed.err().retry_after_s, left_s / 3.0))
            given_up.append(timers.now() - began)

        due = 0.0
        for _ in range(int((self.LENGTH_S + 2 * self.PATIENCE_S) / self.STEP_S)):
            due += self.STEP_S * self.RATE_PER_S
            while due >= 1.0 and timers.now() < 1_000_000.0 + self.LENGTH_S:
                due -= rng.uniform(0.5, 1.5)
                eventlet.spawn_n(caller)
            timers.advance(self.STEP_S)
        return served, given_up

    def test_as_many_are_served_and_the_others_hear_sooner(self):
        served, given_up = self.play(may_refuse=True)
        plain_served, plain_given_up = self.play(may_refuse=False)
        self.assertGreaterEqual(len(served), 0.95 * len(plain_served))
        self.assertLess(mean(given_up), 0.85 * mean(plain_given_up))
        self.assertLess(mean(served), mean(plain_served) + 0.05)


def mean(values):
    return sum(values) / max(1, len(values))
