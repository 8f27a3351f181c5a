import unittest

from boragedeck.process.shares import OrganisationShares
from boragedeck.process.timers import ManualTimers
from boragedeck.version.tables import Organisation
from tests.process.policy_fakes import FakeBoards, FakeConfig, make_config, make_pool


class OrganisationSharesTest(unittest.TestCase):
    def setUp(self):
        boards = FakeBoards()
        cfg = make_config(
            make_pool(), organisations=(Organisation("a"), Organisation("b"))
        )
        self.timers = ManualTimers()
        self.routers = [
            OrganisationShares(self.timers, FakeConfig(cfg), boards.board(name))
            for name in ("r1", "r2")
        ]

    def test_flood_through_another_router_counts(self):
        first, second = self.routers
        for _ in range(40):
            second.start("a")
        first.start("a")
        first.start("b")
        self.assertFalse(first.is_over_share("a"))
        self.timers.advance(2.5)
        self.assertTrue(first.is_over_share("a"))
        self.assertLess(first.weight("a"), first.weight("b"))

    def test_lone_organisation_may_use_all(self):
        first, _ = self.routers
        for _ in range(40):
            first.start("a")
        self.assertFalse(first.is_over_share("a"))
        self.assertEqual(first.weight("a"), 1.0)

    def test_ended_requests_count_no_more(self):
        first, second = self.routers
        for _ in range(10):
            second.start("a")
        first.start("b")
        self.timers.advance(2.5)
        for _ in range(10):
            second.end("a")
        self.timers.advance(2.5)
        self.assertFalse(first.is_over_share("a"))
