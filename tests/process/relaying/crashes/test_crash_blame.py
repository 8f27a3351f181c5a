import random
import unittest

import eventlet
import msgspec
from prometheus_client import CollectorRegistry

from boragedeck.process.relaying.crashes.crash_composition import make_crash_parts
from boragedeck.process.relaying.crashes.crash_identity import RequestTraits
from boragedeck.process.relaying.crashes.crash_messages import CrashSuspect
from boragedeck.process.relaying.crashes.crash_verdicts import BLAME_TTL_S
from boragedeck.process.relaying.crashes.judge_client import JUDGE_TASK
from boragedeck.process.relaying.fleet.fleet_size import FleetSize
from boragedeck.process.relaying.fleet.hubs import Hubs
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.relaying.replicas.restraint import Reason
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.loads.test_load_exchange import Members, Network, Server
from tests.process.relaying.placing.test_admission import replica
from tests.support.crash_fleet import PoolVersions
from tests.support.replicas import FakeFactBoard

DOMAINS = 5
CONTACT_S = 3.0
"""Shortest bound on the time until all routers know of a crashing request."""


class CountedFacts(FakeFactBoard):
    """A fact board that counts the published facts."""

    published = 0

    def publish(self, *args, **kwargs):
        """See `FakeFactBoard.publish`."""
        CountedFacts.published += 1
        return super().publish(*args, **kwargs)


def traits(request):
    return RequestTraits("p", request)


class CrashBlameTestCase(unittest.TestCase):
    routers = 2

    def setUp(self):
        CountedFacts.published = 0
        self.timers, self.net = ManualTimers(), Network()
        names = [f"r{number}" for number in range(self.routers)]
        shared, self.owners = {}, []
        self.blames = [self.make_blame(name, names, shared) for name in names]
        self.here, self.there = self.blames[0], self.blames[-1]

    def make_blame(self, name, names, shared):
        members = Members(names, name, DOMAINS)
        size = FleetSize(self.timers, members.routers)
        owners = TaskOwners(self.timers, members, Hubs(self.timers, members), size)
        self.owners.append(owners)
        return make_crash_parts(
            self.timers,
            random.Random(1),
            PoolVersions(),
            owners,
            self.net,
            Server(self.net, name),
            CountedFacts(name, shared),
            RelayMetrics(CollectorRegistry()),
        ).blame

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.timers.advance(0.1)
            eventlet.sleep(0)

    def state(self, name, domain="a"):
        entry = msgspec.structs.replace(replica(name), failure_domain=domain)
        return ReplicaState(entry)

    def lose(self, name, request="bad", *, domain="a", blame=None, has_begun=False):
        state = self.state(name, domain)
        suspect = CrashSuspect(request, (), has_begun)
        state.note_miss(self.timers.now())
        (blame or self.here).note_broken(suspect, state)
        return state

    def crash(self, name, **fields):
        self.lose(name, **fields)
        self.advance(2.0)


class CrashBlameTest(CrashBlameTestCase):
    def test_third_crash_blames_the_request_at_all_routers(self):
        for name in ("one", "two"):
            self.crash(name)
        self.assertFalse(self.there.is_blamed(traits("bad")))
        self.crash("three")
        self.assertTrue(self.here.is_blamed(traits("bad")))
        self.assertTrue(self.there.is_blamed(traits("bad")))
        self.assertFalse(self.here.is_blamed(traits("good")))

    def test_second_crash_of_a_begun_answer_blames_the_request_at_all_routers(self):
        self.crash("one", has_begun=True)
        self.assertFalse(self.there.is_blamed(traits("bad")))
        self.crash("two", has_begun=True)
        self.assertTrue(self.there.is_blamed(traits("bad")))

    def test_replicas_lost_together_blame_no_request(self):
        for turn in range(4):
            for number in range(3):
                request = "good" if number == 0 else f"other-{turn}-{number}"
                self.lose(f"{turn}-{number}", request)
            self.advance(6.0)
        self.assertFalse(self.here.is_blamed(traits("good")))

    def test_replica_that_keeps_running_blames_no_request(self):
        for name in ("one", "two", "three", "four"):
            state = self.lose(name, has_begun=True)
            state.note_answer(True, self.timers.now() + 0.1)
            self.advance(2.0)
        self.assertFalse(self.here.is_blamed(traits("bad")))

    def test_replica_that_sends_output_to_other_requests_blames_none(self):
        for name in ("one", "two", "three", "four"):
            state = self.lose(name, has_begun=True)
            self.advance(0.2)
            state.note_output(self.timers.now())
            self.advance(2.0)
        self.assertFalse(self.here.is_blamed(traits("bad")))

    def test_replica_that_leaves_blames_no_request(self):
        for name in ("one", "two", "three", "four"):
            state = self.lose(name, has_begun=True)
            state.restraints.extend(Reason.LEAVING, float("inf"))
            self.advance(2.0)
        self.assertFalse(self.here.is_blamed(traits("bad")))

    def test_refused_connection_shows_at_once_that_a_replica_crashed(self):
        self.crash("one", has_begun=True)
        self.here.note_lost(self.lose("two", domain="b", has_begun=True))
        self.advance(0.4)
        self.assertTrue(self.there.is_blamed(traits("bad")))

    def test_crashes_are_reported_again_to_a_judge_that_has_restarted(self):
        judge = self.owners[0].owner_of(JUDGE_TASK)
        names = [f"r{number}" for number in range(self.routers)]
        reporter = 1 - names.index(judge.router)
        blame = self.blames[reporter]
        self.crash("one", blame=blame)
        self.assertEqual(self.net.sent["ReportCrash"], 1)
        restarted = msgspec.structs.replace(judge, router="restarted")
        self.owners[reporter].owner_of = lambda task: restarted
        self.advance(5.0)
        self.assertEqual(self.net.sent["ReportCrash"], 2)

    def test_same_replica_counts_once(self):
        for _ in range(4):
            self.crash("one", has_begun=True)
        self.assertFalse(self.here.is_blamed(traits("bad")))

    def test_blame_expires(self):
        for name in ("one", "two", "three"):
            self.crash(name)
        self.assertTrue(self.here.is_blamed(traits("bad")))
        self.timers.advance(BLAME_TTL_S)
        self.assertFalse(self.here.is_blamed(traits("bad")))


class CrashBlameOfManyRoutersTest(CrashBlameTestCase):
    routers = 100

    def test_loss_of_a_domain_under_many_routers_blames_no_stream(self):
        for outage in range(5):
            for number, blame in enumerate(self.blames[:30]):
                engine = f"engine-{outage}-{number}"
                self.lose(engine, f"stream-{number}", domain=f"d{outage}", blame=blame)
            self.advance(6.0)
        blamed = [
            number
            for number in range(30)
            if self.there.is_blamed(traits(f"stream-{number}"))
        ]
        self.assertEqual(blamed, [])
        self.assertEqual(CountedFacts.published, 0)

    def test_request_that_crashes_three_replicas_is_known_to_all_in_time(self):
        for number, blame in enumerate(self.blames[:3]):
            self.lose(f"engine-{number}", domain=f"d{number}", blame=blame)
            self.advance(CONTACT_S)
        self.assertTrue(all(blame.is_blamed(traits("bad")) for blame in self.blames))
        self.assertFalse(self.here.is_blamed(traits("good")))

    def test_two_crashes_are_not_published(self):
        for number, blame in enumerate(self.blames[:2]):
            self.lose(f"engine-{number}", domain=f"d{number}", blame=blame)
            self.advance(CONTACT_S)
        self.assertEqual(CountedFacts.published, 0)
        self.assertLessEqual(self.net.sent["ReportCrash"], 2)
