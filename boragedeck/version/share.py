"""A router's part of the requests that go to a new version."""

import math

import xxhash

from boragedeck.ids import RouterId
from boragedeck.version.rollout_row import RolloutRow

__all__ = ["Share"]


class Share:
    """Hands out the new version's share of this router, and no more.

    Parameters
    ----------
    row : RolloutRow
        The attempt, at the step that is counted.
    own : RouterId
        This router.
    """

    def __init__(self, row: RolloutRow, own: RouterId):
        self._draw = _draw(f"{own}/{row.route}/{row.number}/{row.step}")
        self._credit = _draw(f"credit/{own}/{row.route}/{row.number}/{row.step}")
        self._step = row.step
        self._sent = 0

    def is_of(self, row: RolloutRow) -> bool:
        """Return whether this counts the row's step."""
        return self._step == row.step

    def take(self, row: RolloutRow, share: float) -> bool:
        """Return whether the next request goes to the new version.

        Parameters
        ----------
        row : RolloutRow
            The attempt's latest row.
        share : float
            The share to keep, from 0 to 1.
        """
        self._credit = min(2.0, self._credit + share)
        if self._credit < 1.0 or self._sent + 1 > self._allowed(row):
            return False
        self._credit -= 1.0
        self._sent += 1
        return True

    def _allowed(self, row: RolloutRow) -> float:
        if row.allowance is None:
            return math.inf
        # Where routers outnumber the requests, the draw picks those that take part.
        return row.allowance / max(1, row.routers) + self._draw


def _draw(text: str) -> float:
    """Return a number from 0 to 1 that depends on a text."""
    return xxhash.xxh64_intdigest(text.encode()) / 2**64
