"""Room for a new version: upstreams that can carry its share."""

from collections.abc import Callable
from typing import Protocol

from boragedeck.ids import Version
from boragedeck.interfaces import ConfigSource
from boragedeck.version.rollout_row import RolloutRow
from boragedeck.version.tables import Pool

__all__ = ["DeclaredRoom", "RoomSource"]


class RoomSource(Protocol):
    """Says whether upstreams can carry a share of a route's traffic."""

    def lack(self, row: RolloutRow, share: float) -> str | None:
        """Return why they can't; None where they can."""


class DeclaredRoom:
    """Room by the weights that the pool declares.

    Parameters
    ----------
    config : ConfigSource
        The configuration in force.
    utilisation : callable, optional
        Returns how much of a pool's old weight the running traffic needs, from 0 to
        1; all of it where nothing is known.
    """

    def __init__(
        self,
        config: ConfigSource,
        utilisation: Callable[[Pool], float] | None = None,
    ):
        self._config = config
        self._utilisation = utilisation or (lambda pool: 1.0)

    def lack(self, row: RolloutRow, share: float) -> str | None:
        """Return why a share can't be carried; see `RoomSource.lack`."""
        pool = self._config.current().pool(row.pool)
        if pool is None:
            return f"pool {row.pool} does not exist"
        new, old = _weight(pool, row.new), _old_weight(pool, row)
        if new <= 0.0:
            return (
                f"no upstream of pool {row.pool} serves {row.new}, or all are leaving"
            )
        needed = share * self._utilisation(pool) * old
        if new + 1e-9 < needed:
            return (
                f"the upstreams of {row.new} have weight {new:g} in pool {row.pool}, "
                f"the running traffic needs {needed:g}"
            )
        return None


def _weight(pool: Pool, version: Version | None) -> float:
    return sum(
        upstream.weight
        for upstream in pool.upstreams
        if upstream.version == version and not upstream.leaving
    )


def _old_weight(pool: Pool, row: RolloutRow) -> float:
    if row.old is None:
        return 0.0
    return _weight(pool, row.old)
