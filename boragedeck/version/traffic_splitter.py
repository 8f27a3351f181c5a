"""Splits a router's requests between the old and the new version."""

import math

import xxhash

from boragedeck.ids import RouterId
from boragedeck.version.rollout_row import RolloutRow

__all__ = ["TrafficSplitter"]


class TrafficSplitter:
    """Routes at most the new version's share of this router's requests to it.

    Parameters
    ----------
    row : RolloutRow
        The attempt, at the step whose requests are counted.
    own : RouterId
        This router.
    """

    def __init__(self, row: RolloutRow, own: RouterId):
        self._draw = _draw(f"{own}/{row.route}/{row.number}/{row.step}")
        self._credit = _draw(f"credit/{own}/{row.route}/{row.number}/{row.step}")
        self._step = row.step
        self._sent = 0

    def counts_step_of(self, row: RolloutRow) -> bool:
        """Return whether this splitter counts the requests of the row's step."""
        return self._step == row.step

    def routes_to_new(self, row: RolloutRow, share: float) -> bool:
        """Return whether the next request goes to the new version.

        Parameters
        ----------
        row : RolloutRow
            The latest row of the attempt.
        share : float
            Share of the requests that go to the new version, from 0 to 1.
        """
        self._credit = min(2.0, self._credit + share)
        if self._credit < 1.0 or self._sent + 1 > self._max_requests(row):
            return False
        self._credit -= 1.0
        self._sent += 1
        return True

    def _max_requests(self, row: RolloutRow) -> float:
        if row.allowance is None:
            return math.inf
        # If there are more routers than allowed requests, the pseudorandom draw selects
        # the routers that send one.
        return row.allowance / max(1, row.routers) + self._draw


def _draw(text: str) -> float:
    """Return a pseudorandom number from 0 to 1 that is derived from a text."""
    return xxhash.xxh64_intdigest(text.encode()) / 2**64
