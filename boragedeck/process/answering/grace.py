"""Learned grace period of each route for answers without a reader."""

import random
from collections import OrderedDict

from boragedeck.ids import RouteName
from boragedeck.interfaces import ConfigSource

__all__ = ["LearnedGrace"]

BUCKET_WIDTH_FACTOR = 1.25
FIRST_BUCKET_S = 0.25
BUCKETS = 24
LOST_CALLER_COST_S = 100.0
"""Value of keeping the answer of a caller that returns, in seconds of generation."""
EXPLORATION_SHARE = 0.05
MIN_OBSERVATIONS = 30.0
MAX_OBSERVATIONS = 2000.0
INITIAL_GRACE_S = 5.0
MAX_ROUTES = 1024


class _ReturnHistogram:
    """Times until readers of one route returned, in buckets of growing width."""

    def __init__(self):
        self.return_counts = [0.0] * BUCKETS
        self.not_returned = 0.0

    def add_return(self, after_s: float, weight: float) -> None:
        self.return_counts[_bucket_index(after_s)] += weight
        self._halve_if_full()

    def add_not_returned(self) -> None:
        self.not_returned += 1.0
        self._halve_if_full()

    def total(self) -> float:
        return sum(self.return_counts)

    def best_grace_s(self) -> float:
        """Return the grace with the highest value of kept answers minus its cost."""
        best_s, best_value_s = 0.0, 0.0
        kept_answers = unread_s = 0.0
        waiting = self.total() + self.not_returned
        for index, count in enumerate(self.return_counts):
            end_s = _bucket_end_s(index)
            kept_answers += count
            unread_s += count * end_s
            waiting -= count
            value_s = LOST_CALLER_COST_S * kept_answers - unread_s - waiting * end_s
            if value_s > best_value_s:
                best_s, best_value_s = end_s, value_s
        return best_s

    def _halve_if_full(self) -> None:
        # Halving gives recent behaviour more weight and bounds the counts.
        if self.total() + self.not_returned > MAX_OBSERVATIONS:
            self.return_counts = [count / 2.0 for count in self.return_counts]
            self.not_returned /= 2.0


class LearnedGrace:
    """Learns the grace of each route from the times at which readers return.

    Implements `boragedeck.request.abandonment.GracePolicy`.

    Parameters
    ----------
    cfg_source : ConfigSource
        Declares the maximum grace of each route.
    rng : random.Random
        Selects the answers that are kept for the maximum grace.

    Notes
    -----
    The learned grace maximises the value of the kept answers minus the cost of
    generation without a reader. An answer whose caller returns is worth
    `LOST_CALLER_COST_S` seconds of generation. Returns after the grace can't be
    observed, so one answer in twenty is kept for the maximum grace, and returns after
    the learned grace are weighted by twenty. State: `BUCKETS` numbers for each of
    `MAX_ROUTES` routes.
    """

    def __init__(self, cfg_source: ConfigSource, rng: random.Random):
        self._cfg_source = cfg_source
        self._rng = rng
        self._routes: OrderedDict[RouteName, _ReturnHistogram] = OrderedDict()

    def grace_s(self, route: RouteName) -> float:
        """Return how long one answer continues without a reader, in seconds."""
        if self._rng.random() < EXPLORATION_SHARE:
            return self._max_grace_s(route)
        return self.learned_s(route)

    def learned_s(self, route: RouteName) -> float:
        """Return the learned grace, in seconds."""
        max_grace_s = self._max_grace_s(route)
        histogram = self._histogram(route)
        observations = histogram.total() + histogram.not_returned
        if observations < MIN_OBSERVATIONS:
            return min(max_grace_s, INITIAL_GRACE_S)
        return min(max_grace_s, max(FIRST_BUCKET_S, histogram.best_grace_s()))

    def note_return(self, route: RouteName, after_s: float) -> None:
        """Record that a reader returned."""
        is_explored = after_s > self.learned_s(route)
        weight = 1.0 / EXPLORATION_SHARE if is_explored else 1.0
        self._histogram(route).add_return(after_s, weight)

    def note_no_return(self, route: RouteName) -> None:
        """Record that no reader returned in time."""
        self._histogram(route).add_not_returned()

    def _histogram(self, route: RouteName) -> _ReturnHistogram:
        if route not in self._routes:
            self._routes[route] = _ReturnHistogram()
            if len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        return self._routes[route]

    def _max_grace_s(self, name: RouteName) -> float:
        route = self._cfg_source.current().route(name)
        return INITIAL_GRACE_S if route is None else route.limits.grace_s


def _bucket_index(after_s: float) -> int:
    for index in range(BUCKETS - 1):
        if after_s <= _bucket_end_s(index):
            return index
    return BUCKETS - 1


def _bucket_end_s(index: int) -> float:
    return FIRST_BUCKET_S * BUCKET_WIDTH_FACTOR**index
