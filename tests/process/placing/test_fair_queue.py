import unittest
from collections import Counter

from boragedeck.process.placing.fair_queue import FairQueue, Ticket
from boragedeck.version.tables import Priority, Route, RouteKind
from tests.process.policy_fakes import make_pool, make_slot_request

POOL = make_pool()


def push(queue, organisation="a", **fields):
    request = make_slot_request(POOL, organisation, **fields)
    ticket = Ticket(request, 1e9, lambda result: None)
    queue.push(ticket)
    return ticket


def serve(queue):
    ticket = next(queue.ordered())
    queue.remove(ticket, is_served=True)
    return ticket


class FairQueueTest(unittest.TestCase):
    def test_flood_of_one_organisation_does_not_delay_others(self):
        queue = FairQueue(lambda organisation: 1.0)
        for _ in range(100):
            push(queue, "flood")
        for name in ("a", "b", "c"):
            push(queue, name)
        self.assertEqual(len({serve(queue).request.organisation for _ in range(4)}), 4)

    def test_slots_follow_weights(self):
        weights = {"a": 3.0, "b": 1.0}
        queue = FairQueue(weights.__getitem__)
        for _ in range(100):
            push(queue, "a")
            push(queue, "b")
        served = Counter(serve(queue).request.organisation for _ in range(40))
        self.assertAlmostEqual(served["a"], 30, delta=1)

    def test_idle_organisation_accumulates_no_credit(self):
        queue = FairQueue(lambda organisation: 1.0)
        for _ in range(50):
            push(queue, "a")
        for _ in range(20):
            serve(queue)
        for _ in range(20):
            push(queue, "late")
        served = Counter(serve(queue).request.organisation for _ in range(20))
        self.assertAlmostEqual(served["late"], 10, delta=1)

    def test_resumes_are_ordered_by_priority_then_deadline(self):
        queue = FairQueue(lambda organisation: 1.0)
        batch = Route("b", POOL.name, priority=Priority.BATCH)
        order = [
            push(queue, is_resume=True, deadline=5.0, route=batch),
            push(queue, is_resume=True, deadline=9.0),
            push(queue, is_resume=True, deadline=7.0),
        ]
        self.assertEqual([serve(queue) for _ in order], [order[2], order[1], order[0]])

    def test_resumes_are_served_first_without_starving_others(self):
        queue = FairQueue(lambda organisation: 1.0)
        new = push(queue)
        for _ in range(50):
            push(queue, is_resume=True)
        served = [serve(queue) for _ in range(20)]
        self.assertIsNot(served[0], new)
        self.assertLess(served.index(new), 10)

    def test_calls_are_served_before_generations(self):
        queue = FairQueue(lambda organisation: 1.0)
        for _ in range(10):
            push(queue)
        call = push(queue, route=Route("kiosk", POOL.name, kind=RouteKind.CALL))
        self.assertIs(serve(queue), call)

    def test_count_ahead_of_follows_fair_queueing(self):
        queue = FairQueue(lambda organisation: 1.0)
        for _ in range(100):
            push(queue, "flood")
        self.assertEqual(queue.count_ahead_of(make_slot_request(POOL, "a")), 1.0)
        self.assertEqual(queue.count_ahead_of(make_slot_request(POOL, "flood")), 100.0)
