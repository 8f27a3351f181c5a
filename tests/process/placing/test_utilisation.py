import unittest

from boragedeck.process.placing.load import LoadReport
from boragedeck.process.placing.upstreams import UpstreamRegistry
from boragedeck.process.placing.utilisation import PoolUtilisation
from boragedeck.process.timers import ManualTimers
from boragedeck.version.tables import Pool, Upstream


class PoolUtilisationTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.registry = UpstreamRegistry()
        upstreams = tuple(
            Upstream(f"u{i}", f"http://u{i}", "fd", version)
            for i, version in enumerate(("old", "old", "new"))
        )
        self.pool = Pool("p", upstreams=upstreams)
        self.registry.apply_pool(self.pool, self.timers.now())
        self.pool_utilisation = PoolUtilisation(self.registry, self.timers)
        for state in self.registry.pool("p"):
            state.limit.value = 10.0

    def load(self, *running):
        now = self.timers.now()
        for state, count in zip(self.registry.pool("p"), running, strict=True):
            state.apply_report(LoadReport(count, 0), now, now)
            state.limit.value = 10.0

    def test_utilisation_without_samples_is_one(self):
        self.assertEqual(self.pool_utilisation(self.pool), 1.0)

    def test_idle_new_version_does_not_hide_a_full_old_one(self):
        self.load(5, 5, 0)
        self.timers.advance(1.0)
        self.assertAlmostEqual(self.pool_utilisation(self.pool), 0.65)

    def test_peak_decays_slowly(self):
        self.load(5, 5, 0)
        self.timers.advance(1.0)
        self.load(0, 0, 0)
        self.timers.advance(10.0)
        self.assertGreater(self.pool_utilisation(self.pool), 0.5)
        self.timers.advance(300.0)
        self.assertAlmostEqual(self.pool_utilisation(self.pool), 0.1)
