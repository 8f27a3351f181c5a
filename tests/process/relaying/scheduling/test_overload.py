"""Plays overloads on a model, and checks what callers get, before and after."""

import unittest

from tests.support.overload_model import (
    BURST_BESIDE_LOSS,
    LARGE_AMONG_USUAL,
    URGENT_AFTER_LEAST,
    OverloadModel,
)

SEEDS = (1, 2, 3, 4, 5, 6)


class Sum:
    """What callers have got in several plays."""

    def __init__(self, models):
        self.by_route = self._add(model.by_route for model in models)
        self.by_organisation = self._add(model.by_organisation for model in models)
        self.by_size = self._add(model.by_size for model in models)
        routes = self.by_route.values()
        self.worth = sum(each.value for each in routes) / sum(
            each.best for each in routes
        )
        self.served_share = sum(each.served for each in routes) / sum(
            each.asked for each in routes
        )

    def _add(self, tables):
        total = {}
        for table in tables:
            for name, served in table.items():
                if name not in total:
                    total[name] = type(served)()
                for field in served.__struct_fields__:
                    value = getattr(total[name], field) + getattr(served, field)
                    setattr(total[name], field, value)
        return total


def play(scenario, **fields):
    models = [OverloadModel(scenario, seed, **fields) for seed in SEEDS]
    for model in models:
        model.play()
    return Sum(models)


class PriorityOverloadTest(unittest.TestCase):
    def assert_served_fairly(self, after):
        """Check that no kind of request starves."""
        for table in (after.by_route, after.by_organisation):
            for name, served in table.items():
                share = served.served_share
                self.assertGreaterEqual(share, after.served_share / 4.0, name)
        worths = [each.worth for each in after.by_route.values()]
        self.assertEqual(max(worths), worths[0])

    def test_urgent_burst_after_one_of_the_least_urgent(self):
        """Guards against urgent requests that come late behind a backlog of others."""
        before = play(URGENT_AFTER_LEAST, has_priorities=False)
        after = play(URGENT_AFTER_LEAST, has_priorities=True)
        self.assertGreater(after.worth, before.worth + 0.03)
        urgent = after.by_route["urgent"].worth
        self.assertGreater(urgent, before.by_route["urgent"].worth + 0.05)
        self.assert_served_fairly(after)

    def test_bursts_beside_lost_engines(self):
        """Guards against urgent requests that are lost while engines are down."""
        before = play(BURST_BESIDE_LOSS, has_priorities=False)
        after = play(BURST_BESIDE_LOSS, has_priorities=True)
        self.assertGreater(after.worth, before.worth + 0.03)
        urgent = after.by_route["urgent"].worth
        self.assertGreater(urgent, before.by_route["urgent"].worth + 0.05)
        self.assert_served_fairly(after)

    def test_large_requests_among_usual_ones(self):
        """Guards against large requests and organisations that are starved."""
        after = play(LARGE_AMONG_USUAL, has_priorities=True)
        self.assert_served_fairly(after)
        large, usual = (after.by_size[each].served_share for each in ("large", "usual"))
        self.assertGreaterEqual(large, usual / 2.0)
