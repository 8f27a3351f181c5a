import unittest

from boragedeck.process.placing.shares import OrganisationShares
from boragedeck.process.timers import ManualTimers
from boragedeck.version.tables import Organisation
from tests.process.policy_fakes import FakeBoards, make_config, make_pool
from tests.support.config import FakeConfigSource


class OrganisationSharesTest(unittest.TestCase):
    def setUp(self):
        boards = FakeBoards()
        cfg = make_config(
            make_pool(), organisations=(Organisation("a"), Organisation("b"))
        )
        self.timers = ManualTimers()
        self.routers = [
            OrganisationShares(self.timers, FakeConfigSource(cfg), boards.board(name))
            for name in ("r1", "r2")
        ]

    def record_arrivals(self, router, **counts):
        for name, count in counts.items():
            for _ in range(count):
                router.record_arrival(name)

    def test_flood_at_another_router_limits_the_organisation(self):
        first, second = self.routers
        self.record_arrivals(second, a=80)
        self.record_arrivals(first, a=1, b=2, c=2, d=2, e=2, f=2, g=2, h=2)
        self.assertEqual(first.limit_share("a"), 1.0)
        self.timers.advance(2.5)
        self.assertEqual(first.limit_share("a"), 0.5)
        self.assertEqual(first.limit_share("b"), 1.0)

    def test_large_organisation_is_not_limited_as_a_flood(self):
        first, _ = self.routers
        self.record_arrivals(first, a=25, b=12, c=12, d=12, e=12, f=9, g=9, h=9)
        self.timers.advance(2.5)
        self.assertEqual(first.limit_share("a"), 1.0)

    def test_limit_is_lifted_after_a_flood_ends(self):
        first, _ = self.routers
        self.record_arrivals(first, a=200, b=2, c=2, d=2, e=2, f=2)
        self.timers.advance(60.0)
        self.record_arrivals(first, a=2, b=2, c=2, d=2, e=2, f=2)
        self.timers.advance(1.5)
        self.assertEqual(first.limit_share("a"), 1.0)

    def test_organisation_over_its_share_gets_a_lower_weight(self):
        first, second = self.routers
        for _ in range(40):
            second.record_start("a")
        first.record_start("b")
        self.timers.advance(2.5)
        self.assertLess(first.weight("a"), first.weight("b"))

    def test_only_organisation_may_use_the_whole_limit(self):
        first, _ = self.routers
        self.record_arrivals(first, a=40)
        self.assertEqual(first.limit_share("a"), 1.0)
        self.assertEqual(first.weight("a"), 1.0)

    def test_ended_requests_are_not_counted(self):
        first, second = self.routers
        for _ in range(10):
            second.record_start("a")
        first.record_start("b")
        self.timers.advance(2.5)
        for _ in range(10):
            second.record_end("a")
        self.timers.advance(2.5)
        self.assertEqual(first.weight("a"), 1.0)
