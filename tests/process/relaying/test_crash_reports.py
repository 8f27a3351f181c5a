import unittest

import eventlet
import msgspec

from boragedeck.process.relaying.crash_blame import CrashBlame
from boragedeck.process.relaying.crash_reports import CrashReports
from boragedeck.process.relaying.hubs import Hubs
from boragedeck.process.relaying.replica_state import ReplicaState
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.test_admission import replica
from tests.process.relaying.test_load_exchange import Members, Network, Server
from tests.support.replicas import FakeFactBoard

ROUTERS = 100
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


class CrashReportsTest(unittest.TestCase):
    def setUp(self):
        CountedFacts.published = 0
        self.timers, self.net = ManualTimers(), Network()
        names = [f"r{number}" for number in range(ROUTERS)]
        shared = {}
        self.crash_blames = []
        for name in names:
            members = Members(names, name, DOMAINS)
            hubs = Hubs(self.timers, members)
            server = Server(self.net, name)
            reports = CrashReports(self.timers, hubs, members.own, self.net, server)
            facts = CountedFacts(name, shared)
            self.crash_blames.append(CrashBlame(self.timers, facts, reports))

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.timers.advance(0.1)
            eventlet.sleep(0)

    def lose(self, crash_blame, name, domain, request):
        entry = msgspec.structs.replace(replica(name), failure_domain=domain)
        state = ReplicaState(entry)
        crash_blame.note_broken(request, state)
        state.note_miss(self.timers.now())

    def test_loss_of_a_domain_under_many_routers_blames_no_stream(self):
        for outage in range(5):
            for number, crash_blame in enumerate(self.crash_blames[:30]):
                engine = f"engine-{outage}-{number}"
                self.lose(crash_blame, engine, f"d{outage}", f"stream-{number}")
            self.advance(6.0)
        blamed = [
            number
            for number in range(30)
            if self.crash_blames[-1].is_blamed(f"stream-{number}")
        ]
        self.assertEqual(blamed, [])
        self.assertEqual(CountedFacts.published, 0)

    def test_request_that_crashes_three_replicas_is_known_to_all_in_time(self):
        for number, crash_blame in enumerate(self.crash_blames[:3]):
            self.lose(crash_blame, f"engine-{number}", f"d{number}", "bad")
            self.advance(CONTACT_S)
        self.assertTrue(
            all(crash_blame.is_blamed("bad") for crash_blame in self.crash_blames)
        )
        self.assertFalse(self.crash_blames[0].is_blamed("good"))

    def test_two_crashes_are_not_published(self):
        for number, crash_blame in enumerate(self.crash_blames[:2]):
            self.lose(crash_blame, f"engine-{number}", f"d{number}", "bad")
            self.advance(CONTACT_S)
        self.assertEqual(CountedFacts.published, 0)
        self.assertLessEqual(self.net.sent["ReportCrash"], 2)
