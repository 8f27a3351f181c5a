import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.relaying.scheduling.service_order import (
    MAX_TIMES_PASSED_OVER,
    ServiceOrder,
)
from boragedeck.process.relaying.scheduling.waiter import Waiter
from boragedeck.version.routing import RelayPool

NOW = 100.0
POOL = RelayPool("p", 100)


def waiter(sequence, priority=0, goal_in_s=5.0, work=1.0, until_s=20.0, **fields):
    req = AdmissionRequest(
        pool=POOL,
        priority=priority,
        prompt_tokens=0,
        tokens=0,
        until=NOW + until_s,
        goal_at=NOW + goal_in_s,
        has_priorities=True,
        **fields,
    )
    return Waiter(req=req, since=NOW, sequence=sequence, work=work)


def serve(order, waiting, count):
    """Grant places in order, and return the requests that got them."""
    served = []
    for _ in range(count):
        granted = order.ordered(waiting, NOW)[0]
        waiting.remove(granted)
        order.note_granted(granted, waiting, NOW)
        served.append(granted)
    return served


waiters = st.lists(
    st.builds(
        dict,
        priority=st.integers(0, 3),
        goal_in_s=st.floats(-1.0, 5.0),
        work=st.floats(0.01, 1.0),
        organisation=st.sampled_from(["a", "b", None]),
        has_begun=st.booleans(),
        is_resumed=st.booleans(),
    ),
    max_size=12,
).map(lambda all_fields: [waiter(i, **each) for i, each in enumerate(all_fields)])


class ServiceOrderTest(unittest.TestCase):
    def names(self, *waiting, order=None):
        return [
            each.sequence for each in (order or ServiceOrder()).ordered(waiting, NOW)
        ]

    def test_begun_answer_then_priority_then_objective(self):
        late_urgent = waiter(1, 0, goal_in_s=-1.0)
        urgent = waiter(2, 0)
        less_urgent = waiter(3, 1)
        begun = waiter(4, 3, has_begun=True)
        names = self.names(late_urgent, urgent, less_urgent, begun)
        self.assertEqual(names, [4, 2, 1, 3])

    def test_objective_counts_the_time_that_is_needed(self):
        too_late = waiter(1, goal_in_s=2.0, needed_s=2.5)
        in_time = waiter(2, goal_in_s=3.0, needed_s=2.5)
        self.assertEqual(self.names(too_late, in_time), [2, 1])

    def test_resumed_stream_and_then_earliest_objective_and_least_work(self):
        last = waiter(1, goal_in_s=5.0, work=0.5)
        small = waiter(2, goal_in_s=5.0, work=0.1)
        early = waiter(3, goal_in_s=4.0)
        resumed = waiter(4, goal_in_s=5.0, is_resumed=True)
        self.assertEqual(self.names(last, small, early, resumed), [4, 3, 2, 1])

    def test_late_requests_of_a_priority_are_served_as_they_came(self):
        first = waiter(1, goal_in_s=-1.0, work=1.0)
        second = waiter(2, goal_in_s=-2.0, work=0.1)
        self.assertEqual(self.names(second, first), [1, 2])

    @given(waiters, st.integers(0, 11), st.floats(0.0, 5.0))
    def test_earlier_objective_is_never_served_later(self, waiting, index, sooner_s):
        """Guards against deadlines that count against the one who has them."""
        if index >= len(waiting):
            return
        before = waiting[index]
        goal_in_s = before.req.goal_at - NOW
        sooner = waiter(
            before.sequence,
            before.req.priority,
            goal_in_s=goal_in_s - min(sooner_s, max(0.0, goal_in_s)),
            work=before.work,
            organisation=before.req.organisation,
            has_begun=before.req.has_begun,
            is_resumed=before.req.is_resumed,
        )
        changed = [*waiting[:index], sooner, *waiting[index + 1 :]]
        position = ServiceOrder().ordered(waiting, NOW).index(before)
        self.assertLessEqual(
            ServiceOrder().ordered(changed, NOW).index(sooner), position
        )

    @given(waiters)
    def test_each_request_is_ordered_once(self, waiting):
        ordered = ServiceOrder().ordered(waiting, NOW)
        self.assertCountEqual(map(id, ordered), map(id, waiting))

    @settings(max_examples=50)
    @given(
        st.lists(st.tuples(st.integers(0, 9), st.booleans()), min_size=1, max_size=20),
        st.integers(0, 9),
        st.booleans(),
    )
    def test_request_that_waits_is_served_in_bounded_time(
        self, kinds, priority, is_starved_late
    ):
        """Guards against starvation of a route under a lasting urgent burst."""
        order, sequence = ServiceOrder(), 0
        goal_in_s = -1.0 if is_starved_late else 5.0
        starved = waiter(0, priority, goal_in_s=goal_in_s, organisation="x")
        waiting = [starved]
        # Each of 10 priorities may be due before its own, at every other place, and
        # late requests get an eighth of the places of their priority.
        turns = MAX_TIMES_PASSED_OVER + 1 if is_starved_late else 2
        bound = turns * (MAX_TIMES_PASSED_OVER + 1 + 2 * 10)
        for _ in range(bound):
            while len(waiting) < 30:
                sequence += 1
                other, is_late = kinds[sequence % len(kinds)]
                goal_in_s = -1.0 if is_late else 5.0
                waiting.append(waiter(sequence, other, goal_in_s=goal_in_s))
            if serve(order, waiting, 1)[0] is starved:
                return
        self.fail(f"not served in {bound} turns")

    def test_most_urgent_lane_gets_every_other_place_beside_many_lanes(self):
        """Guards against many lanes that are due and leave the urgent one nothing."""
        order, waiting = ServiceOrder(), []
        for sequence in range(400):
            waiting.append(waiter(sequence, sequence % 20))
        served = serve(order, waiting, 40)
        self.assertGreaterEqual(sum(not each.req.priority for each in served), 20)

    @given(st.integers(1, 40))
    def test_inversion_of_priorities_is_bounded(self, turns):
        """Guards against aged requests that take all places in an urgent burst."""
        order, waiting = ServiceOrder(), []
        for sequence in range(80):
            waiting.append(waiter(sequence, priority=2))
        for sequence in range(80, 160):
            waiting.append(waiter(sequence, priority=0))
        served = serve(order, waiting, turns)
        inverted = sum(each.req.priority == 2 for each in served)
        self.assertLessEqual(inverted, turns // (MAX_TIMES_PASSED_OVER + 1))

    @given(st.integers(1, 30), st.floats(0.1, 3.0))
    def test_large_organisation_gets_no_more_than_its_turns(self, flood, work):
        """Guards against a queue that one organisation fills before all others."""
        order = ServiceOrder()
        waiting = [waiter(n, work=work, organisation="large") for n in range(flood)]
        waiting += [waiter(100 + n, organisation="small") for n in range(3)]
        served = serve(order, waiting, len(waiting))
        third = next(i for i, each in enumerate(served) if each.sequence == 102)
        before = sum(each.work for each in served[:third] if each.sequence < 100)
        self.assertLessEqual(before, 2.0 + 2.0 * work)

    def test_what_an_organisation_holds_counts_when_a_wait_begins(self):
        order = ServiceOrder()
        order.shares.begin({"holds": 0.5})
        first = waiter(1, organisation="holds")
        second = waiter(2, organisation="none")
        self.assertEqual(self.names(first, second, order=order), [2, 1])

    def test_full_queue_loses_the_least_urgent_late_and_large_request(self):
        begun = waiter(1, 9, has_begun=True)
        late = waiter(2, 2, goal_in_s=-1.0, work=0.1)
        large = waiter(3, 2, work=0.9)
        urgent = waiter(4, 0, work=0.9)
        waiting = [begun, late, large, urgent]
        order, lost = ServiceOrder(), []
        while waiting:
            lost.append(order.first_to_refuse(waiting, NOW))
            waiting.remove(lost[-1])
        self.assertEqual([each.sequence for each in lost], [2, 3, 4, 1])
