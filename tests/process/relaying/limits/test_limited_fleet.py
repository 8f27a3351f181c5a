import unittest

import eventlet
import msgspec

from boragedeck.ids import Health
from boragedeck.process.relaying.limits.limit_grants import limit_task
from boragedeck.process.relaying.limits.limit_messages import ReturnSend
from tests.process.relaying.placing.test_admission import replica
from tests.support.limited_fleet import WINDOW_S, LimitedFleet, LimitedReplica

CONTACT_S = 3.0
REUSE_S = 2.0
"""Time after the end of a limit within which the replica is used as before."""


def allowed(per_s):
    """Return the requests that a limit allows in a window."""
    return 1.5 * per_s * WINDOW_S + 5


class FleetTest(unittest.TestCase):
    """Nine routers before a limited replica and another."""

    per_s = 2.0

    def setUp(self):
        self.limited = LimitedReplica("one", self.per_s)
        self.fleet = LimitedFleet(9, [self.limited, LimitedReplica("two")])
        self.started_at = self.now()

    def now(self):
        return self.fleet.timers.now()

    def router(self, name):
        return next(each for each in self.fleet.routers if each.name == name)

    def owner(self):
        return self.router(
            self.fleet.routers[0].owners.owner_of(limit_task("one")).router
        )

    def others(self, *routers):
        return [each for each in self.fleet.routers if each not in routers]

    def assert_kept(self, since=None, per_s=None, *, told_only=False):
        since = self.started_at + CONTACT_S if since is None else since
        most = self.limited.most_in_window(since, told_only=told_only)
        self.assertLessEqual(most, allowed(per_s or self.per_s))

    def assert_not_starved(self, since, until=None, share=0.7):
        until = self.now() if until is None else until
        used = self.limited.count(since, until) / (until - since)
        self.assertGreaterEqual(used, share * self.per_s)


class LimitedFleetTest(unittest.TestCase):
    def test_routers_together_exceed_a_limit_that_they_were_told(self):
        for per_s in (1.5, 2.0, 8.0):
            limited = LimitedReplica("one", per_s)
            fleet = LimitedFleet(9, [limited, LimitedReplica("two")])
            fleet.run(20.0, 40.0)
            since = fleet.timers.now() - 20.0 + CONTACT_S
            most = limited.most_in_window(since, told_only=True)
            self.assertLessEqual(most, allowed(per_s), per_s)

    def test_more_routers_send_more_to_a_limited_replica(self):
        limited = LimitedReplica("one", 1.5)
        fleet = LimitedFleet(80, [limited, LimitedReplica("two")])
        since = fleet.timers.now() + CONTACT_S
        fleet.run(10.0, 130.0)
        self.assertLessEqual(limited.most_in_window(since), allowed(1.5))
        self.assertGreaterEqual(limited.count(since), 0.7 * 1.5 * (10.0 - CONTACT_S))


class LimitTest(FleetTest):
    def test_limited_replica_is_starved_beside_another(self):
        self.fleet.run(15.0, 40.0)
        self.assert_not_starved(self.started_at + CONTACT_S)

    def test_request_is_refused_though_another_replica_has_room(self):
        self.fleet.run(15.0, 40.0)
        self.assertEqual(self.fleet.refused, [])

    def test_lowered_limit_is_exceeded_by_routers_that_know_the_old_one(self):
        self.fleet.run(6.0, 40.0)
        self.limited.per_s = 1.0
        changed_at = self.now()
        self.fleet.run(10.0, 40.0)
        self.assert_kept(changed_at + 1.0, per_s=1.0)

    def test_raised_limit_is_not_used(self):
        self.fleet.run(6.0, 40.0)
        self.limited.per_s = self.per_s = 6.0
        changed_at = self.now()
        self.fleet.run(8.0, 40.0)
        self.assert_not_starved(changed_at + REUSE_S)

    def test_replica_without_its_limit_is_passed_over_for_longer(self):
        self.fleet.run(6.0, 40.0)
        self.limited.per_s = None
        lifted_at = self.now()
        self.fleet.run(6.0, 40.0)
        used = self.limited.count(lifted_at + REUSE_S)
        self.assertGreaterEqual(used, 0.4 * 40.0 * (6.0 - REUSE_S))

    def test_end_of_a_limit_of_zero_is_never_noticed(self):
        self.limited.per_s = 0.0
        self.fleet.run(8.0, 40.0)
        self.assert_kept(per_s=1e-9)
        self.limited.per_s = None
        lifted_at = self.now()
        self.fleet.run(6.0, 40.0)
        used = self.limited.count(lifted_at + REUSE_S + 1.0)
        self.assertGreaterEqual(used, 0.4 * 40.0 * (6.0 - REUSE_S - 1.0))

    def test_next_run_of_a_replica_is_bound_by_the_limit_of_the_last(self):
        self.fleet.run(6.0, 40.0)
        self.limited.per_s = None
        for router in self.fleet.routers:
            router.registry.put(replica("one", slots=6, born_ms=2))
        started_at = self.now()
        self.fleet.run(3.0, 40.0)
        self.assertGreaterEqual(self.limited.count(started_at), 0.4 * 40.0 * 3.0)


class OnlyLimitedReplicasTest(FleetTest):
    """More calls than the limits of all replicas of a pool allow."""

    def setUp(self):
        super().setUp()
        self.fleet.replicas["two"].per_s = self.per_s
        self.fleet.run(15.0, 40.0)

    def test_request_that_cannot_be_served_waits_before_it_is_refused(self):
        self.assertGreater(len(self.fleet.refused), 300)
        longest = max(waited_s for waited_s, _ in self.fleet.refused)
        self.assertLessEqual(longest, 0.05)

    def test_retry_after_comes_before_the_next_turn(self):
        for _, retry_after_s in self.fleet.refused[100:]:
            self.assertGreaterEqual(retry_after_s, 0.5 / self.per_s)
            self.assertLessEqual(retry_after_s, 2.0)

    def test_limits_are_not_used_up_by_more_calls_than_they_allow(self):
        self.assert_kept()
        self.assert_not_starved(self.started_at + CONTACT_S, share=0.8)


class TurnsTest(FleetTest):
    """Fewer calls than the limits of all replicas of a pool allow."""

    per_s = 8.0

    def test_request_is_refused_though_its_turn_comes_in_time(self):
        self.fleet.replicas["two"].per_s = self.per_s
        self.fleet.run(15.0, 1.9 * self.per_s)
        self.assertLessEqual(len(self.fleet.refused), 0.02 * 15.0 * 1.9 * self.per_s)


class EndedRequestTest(FleetTest):
    """Requests end while they wait for their turns at the only replica."""

    WAITING = 6
    PATIENT_S = 20.0

    def setUp(self):
        super().setUp()
        for router in self.fleet.routers:
            router.registry.remove("two", "left")
        self.fleet.run(6.0, 40.0)
        self.fleet.run(1.0, 0.001)

    def wait_for_turns(self, router):
        """Return the threads of requests that have been granted turns."""
        threads = []
        for _ in range(self.WAITING):
            threads.append(eventlet.spawn(router.send, self.PATIENT_S))
            self.fleet.run(0.02, 0.001)
        return threads

    def turn_after(self, router, others):
        """Return how long a request waits if those of a router have ended."""
        for thread in self.wait_for_turns(router):
            thread.kill()
        self.fleet.run(0.05, 0.001)
        sent, since = self.limited.count(0.0), self.now()
        eventlet.spawn(others[0].send, self.PATIENT_S)
        while self.limited.count(0.0) == sent:
            self.fleet.run(0.02, 0.001)
        return self.now() - since

    def test_turns_of_requests_that_have_ended_stay_unused(self):
        router = self.others(self.owner())[0]
        waited_s = self.turn_after(router, self.others(self.owner(), router))
        self.assertLess(waited_s, 2.0 / self.per_s)

    def test_turns_of_the_owners_requests_that_have_ended_stay_unused(self):
        owner = self.owner()
        waited_s = self.turn_after(owner, self.others(owner))
        self.assertLess(waited_s, 2.0 / self.per_s)

    def test_owner_that_does_not_know_the_message_breaks_the_limit(self):
        owner = self.owner()
        self.fleet.net.unknown.add((owner.name, ReturnSend))
        router = self.others(owner)[0]
        waited_s = self.turn_after(router, self.others(owner, router))
        self.assertLess(waited_s, (self.WAITING + 2.0) / self.per_s)
        self.assert_kept()

    def test_returned_turns_exceed_the_limit(self):
        for seconds in range(12):
            router = self.others(self.owner())[seconds % 8]
            for thread in self.wait_for_turns(router)[::2]:
                thread.kill()
            self.fleet.run(1.0, 10.0)
        self.assert_kept()


class FaultTest(FleetTest):
    def setUp(self):
        super().setUp()
        self.fleet.run(6.0, 40.0)
        self.failed_at = self.now()

    def lose(self, router):
        for each in self.others(router):
            each.members.suspect(router.name)

    def test_limit_is_exceeded_or_starved_after_the_owner_dies(self):
        owner = self.owner()
        self.fleet.net.frozen.add(owner.name)
        self.fleet.run(2.0, 40.0, self.others(owner))
        self.lose(owner)
        self.fleet.run(8.0, 40.0, self.others(owner))
        self.assert_kept()
        self.assert_not_starved(self.failed_at + 2.0)

    def test_owner_that_wakes_from_a_pause_doubles_the_limit(self):
        owner = self.owner()
        self.fleet.net.frozen.add(owner.name)
        self.lose(owner)
        self.fleet.run(4.0, 40.0, self.others(owner))
        self.fleet.net.frozen.clear()
        self.fleet.run(1.5, 40.0)
        for each in self.others(owner):
            each.members.health.clear()
        self.fleet.run(8.0, 40.0)
        self.assert_kept()

    def test_router_that_reaches_no_other_sends_to_the_limited_replica(self):
        router = self.others(self.owner())[0]
        self.fleet.net.cut.add(router.name)
        for each in self.others(router):
            router.members.suspect(each.name)
        self.fleet.run(10.0, 40.0, [router])
        since = self.failed_at + 1.0
        share = self.per_s / len(self.fleet.routers)
        self.assertLessEqual(self.limited.count(since), share * 9.0 + 1)
        self.assertEqual(self.fleet.refused, [])

    def test_both_sides_of_a_split_network_send_the_whole_limit(self):
        side, other_side = self.fleet.routers[:4], self.fleet.routers[4:]
        for each in side:
            each.members.health = {r.name: Health.SUSPECT for r in other_side}
        for each in other_side:
            each.members.health = {r.name: Health.SUSPECT for r in side}
        self.fleet.net.split = {each.name for each in side}
        self.fleet.run(12.0, 40.0)
        since = self.failed_at + 1.0
        self.assertLessEqual(self.limited.most_in_window(since), 1.3 * 4 * self.per_s)
        self.assert_not_starved(since)

    def test_new_router_that_becomes_the_owner_doubles_the_limit(self):
        while True:
            before = set(self.fleet.routers)
            router = self.fleet.start_router()
            for each in before:
                each.members.unknown.add(router.name)
            if router.owners.owner_of(limit_task("one")).router == router.name:
                break
        self.fleet.run(1.5, 40.0)
        for each in self.fleet.routers:
            each.members.unknown.clear()
        self.fleet.run(8.0, 40.0)
        # The new routers send freely until a replica has told them.
        self.assert_kept(told_only=True)
        self.assert_not_starved(self.failed_at, share=0.6)

    def test_leaving_owner_goes_on_granting_beside_its_successor(self):
        owner = self.owner()
        owner.members.own = msgspec.structs.replace(owner.member, health=Health.LEAVING)
        self.fleet.run(0.5, 40.0)
        for each in self.others(owner):
            each.members.health[owner.name] = Health.LEAVING
        self.fleet.run(8.0, 40.0)
        self.assert_kept()
        self.assert_not_starved(self.failed_at)

    def test_router_that_has_sent_nothing_knows_no_limit(self):
        idle = self.fleet.routers[0]
        self.limited.per_s = 1.0
        self.fleet.run(2.0, 40.0, self.others(idle))
        self.assertEqual(idle.state("one").limit.per_s, 1.0)
        self.limited.per_s = None
        self.fleet.run(2.0, 40.0, self.others(idle))
        self.assertFalse(idle.state("one").is_limited)
