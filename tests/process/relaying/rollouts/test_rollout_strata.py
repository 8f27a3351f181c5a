from boragedeck.interfaces import RunSample
from boragedeck.process.relaying.rollouts.rollout_strata import merge_routes, stratum_of
from boragedeck.version.evidence import Evidence
from boragedeck.version.judgement import SUSPICION_NATS, UpstreamCounts, group_score
from tests.process.relaying.rollouts.test_rollouts import RolloutCase

SLOW_RUNS = [
    ("a", "r1", 3, 1),
    ("d", "r1", 1, 2),
    ("d", "r2", 2, 1),
    ("c", "r3", 1, 3),
    ("a", "r2", 0, 2),
    ("b", "r3", 0, 4),
    ("c", "r1", 0, 4),
]
"""Domain, route, and the runs of the new and the old version there."""


def evidence():
    """Return evidence of a new version whose runs are slower than all old ones."""
    shown = Evidence()
    for domain, route, new, old in SLOW_RUNS:
        stratum = stratum_of(domain, route)
        for is_new, count, first_s in ((True, new, 3.5), (False, old, 1.1)):
            for _ in range(count):
                run = RunSample("r", "v", "u", stratum, None, first_s, None, 0)
                shown.add(run, is_new=is_new, is_late=False)
    return shown


class StrataTest(RolloutCase):
    def nats(self, score):
        return score.strongest_evidence()[1]

    def test_slow_runs_are_spread_too_thinly_over_routes_to_be_seen(self):
        self.order()
        router = self.routers[0]
        score = router._judge._score(router._rollouts["p"].order, evidence())
        self.assertGreaterEqual(self.nats(score), SUSPICION_NATS)
        by_route = group_score(evidence(), UpstreamCounts(1, 1))
        self.assertLess(self.nats(by_route), SUSPICION_NATS)

    def test_merge_of_routes_loses_runs(self):
        merged = merge_routes(evidence())
        self.assertEqual(set(merged.new), {"a", "c", "d"})
        for is_new in (True, False):
            before = evidence().total(is_new=is_new)
            self.assertEqual(merged.total(is_new=is_new), before)
