import random
import unittest

from boragedeck.process.answering.grace import LearnedGrace
from boragedeck.version.tables import Route, RouteLimits
from tests.process.policy_fakes import make_config, make_pool
from tests.support.config import FakeConfigSource


class LearnedGraceTest(unittest.TestCase):
    def setUp(self):
        pool = make_pool()
        route = Route("chat", pool.name, limits=RouteLimits(grace_s=20.0))
        self.rng = random.Random(3)
        cfg_source = FakeConfigSource(make_config(pool, route))
        self.grace = LearnedGrace(cfg_source, random.Random(4))

    def simulate(self, count, return_share, mean_s):
        lost = came_back = 0
        for _ in range(count):
            grace_s = self.grace.grace_s("chat")
            self.assertLessEqual(grace_s, 20.0)
            if self.rng.random() >= return_share:
                self.grace.note_no_return("chat")
                continue
            after_s = self.rng.expovariate(1.0 / mean_s)
            came_back += 1
            if after_s <= grace_s:
                self.grace.note_return("chat", after_s)
            else:
                lost += 1
                self.grace.note_no_return("chat")
        return lost / max(1, came_back)

    def test_quick_returns_shorten_the_grace(self):
        self.simulate(3000, 0.3, 0.5)
        self.assertLess(self.grace.learned_s("chat"), 5.0)
        self.assertLess(self.simulate(3000, 0.3, 0.5), 0.05)

    def test_slow_returns_are_learned_although_a_short_grace_hides_them(self):
        self.simulate(2000, 0.3, 0.3)
        short = self.grace.learned_s("chat")
        self.simulate(6000, 0.3, 4.0)
        self.assertGreater(self.grace.learned_s("chat"), 3.0 * short)
        self.assertLess(self.simulate(3000, 0.3, 4.0), 0.1)

    def test_grace_is_short_if_nobody_returns(self):
        self.simulate(3000, 0.0, 1.0)
        self.assertLess(self.grace.learned_s("chat"), 1.0)

    def test_grace_never_exceeds_the_limit_of_the_route(self):
        self.simulate(3000, 0.9, 100.0)
        self.assertLessEqual(self.grace.learned_s("chat"), 20.0)
