"""Learns for each route how long an answer should go on without a reader."""

import random
from collections import OrderedDict

from boragedeck.ids import RouteName
from boragedeck.interfaces import ConfigSource

__all__ = ["LearnedGrace"]

BUCKET_FACTOR = 1.25
FIRST_BUCKET_S = 0.25
BUCKETS = 24
LOST_CALLER_COST_S = 100.0
"""Seconds of generation that keeping one caller's answer is worth."""
EXPLORING_SHARE = 0.05
MIN_RETURNS = 30.0
MAX_RETURNS = 2000.0
FIRST_GRACE_S = 5.0
MAX_ROUTES = 1024


class _RouteReturns:
    """How soon readers of one route came back, in buckets of growing width."""

    def __init__(self):
        self.returns = [0.0] * BUCKETS
        self.given_up = 0.0

    def add(self, after_s: float, weight: float) -> None:
        self.returns[_bucket(after_s)] += weight
        self._forget()

    def give_up(self) -> None:
        self.given_up += 1.0
        self._forget()

    def total(self) -> float:
        return sum(self.returns)

    def best_grace_s(self) -> float:
        """Return the grace whose kept callers are worth most above its cost."""
        best_s, best_worth = 0.0, 0.0
        kept = away_s = 0.0
        waiting = self.total() + self.given_up
        for index, count in enumerate(self.returns):
            end_s = _end_s(index)
            kept += count
            away_s += count * end_s
            waiting -= count
            worth = LOST_CALLER_COST_S * kept - away_s - waiting * end_s
            if worth > best_worth:
                best_s, best_worth = end_s, worth
        return best_s

    def _forget(self) -> None:
        # Halving makes recent behaviour count more and bounds the counts.
        if self.total() + self.given_up > MAX_RETURNS:
            self.returns = [count / 2.0 for count in self.returns]
            self.given_up /= 2.0


class LearnedGrace:
    """Implements `boragedeck.request.abandonment.GracePolicy`.

    Parameters
    ----------
    cfg_source : ConfigSource
        Declares the longest grace of each route.
    rng : random.Random
        Decides which answers are kept for the longest grace.

    Notes
    -----
    The grace is the one at which the callers kept are worth most above the generation
    that nobody reads: each is worth `LOST_CALLER_COST_S` of it. Who comes back after
    the grace is not seen, so one answer in twenty is kept for the longest grace, and
    late returns count twentyfold. State: `BUCKETS` numbers for each of `MAX_ROUTES`
    routes.
    """

    def __init__(self, cfg_source: ConfigSource, rng: random.Random):
        self._cfg_source = cfg_source
        self._rng = rng
        self._routes: OrderedDict[RouteName, _RouteReturns] = OrderedDict()

    def grace_s(self, route: RouteName) -> float:
        """Return for how long one answer goes on without a reader, in seconds."""
        if self._rng.random() < EXPLORING_SHARE:
            return self._longest_s(route)
        return self.learned_s(route)

    def learned_s(self, route: RouteName) -> float:
        """Return the learned grace, in seconds."""
        longest_s = self._longest_s(route)
        returns = self._returns(route)
        seen = returns.total() + returns.given_up
        if seen < MIN_RETURNS:
            return min(longest_s, FIRST_GRACE_S)
        return min(longest_s, max(FIRST_BUCKET_S, returns.best_grace_s()))

    def returned(self, route: RouteName, after_s: float) -> None:
        """Note that a reader came back."""
        is_explored = after_s > self.learned_s(route)
        weight = 1.0 / EXPLORING_SHARE if is_explored else 1.0
        self._returns(route).add(after_s, weight)

    def gave_up(self, route: RouteName) -> None:
        """Note that no reader came back in time."""
        self._returns(route).give_up()

    def _returns(self, route: RouteName) -> _RouteReturns:
        if route not in self._routes:
            self._routes[route] = _RouteReturns()
            if len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        return self._routes[route]

    def _longest_s(self, name: RouteName) -> float:
        route = self._cfg_source.current().route(name)
        return FIRST_GRACE_S if route is None else route.limits.grace_s


def _bucket(after_s: float) -> int:
    for index in range(BUCKETS - 1):
        if after_s <= _end_s(index):
            return index
    return BUCKETS - 1


def _end_s(index: int) -> float:
    return FIRST_BUCKET_S * BUCKET_FACTOR**index
