"""Capacity for a new version: whether its upstreams can carry its share."""

from collections.abc import Callable
from typing import Protocol

from boragedeck.ids import Version
from boragedeck.interfaces import ConfigSource
from boragedeck.version.rollout_row import RolloutRow
from boragedeck.version.tables import Pool, PoolKind

__all__ = ["DeclaredCapacity", "LoadedCapacity", "CapacitySource"]


class CapacitySource(Protocol):
    """Checks whether the new version's upstreams can carry a share of the traffic."""

    def declared_shortfall(self, row: RolloutRow, share: float) -> str | None:
        """Return why the declared upstreams can't carry the share; None if they can."""

    def current_shortfall(self, row: RolloutRow, share: float) -> str | None:
        """Return why the share can't be carried at present; None if it can."""


class DeclaredCapacity:
    """Capacity according to the weights that the pool declares.

    Parameters
    ----------
    config : ConfigSource
        The configuration in force.
    utilisation : callable, optional
        Returns the share of the old version's weight in a pool that the running
        traffic needs, from 0 to 1. The default is 1.
    """

    def __init__(
        self,
        config: ConfigSource,
        utilisation: Callable[[Pool], float] | None = None,
    ):
        self._config = config
        self._utilisation = utilisation or (lambda pool: 1.0)

    def declared_shortfall(self, row: RolloutRow, share: float) -> str | None:
        """See `CapacitySource.declared_shortfall`."""
        pool = self._config.current().pool(row.pool)
        if pool is None:
            return f"pool {row.pool} does not exist"
        new, old = _weight(pool, row.new), _old_version_weight(pool, row)
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

    def current_shortfall(self, row: RolloutRow, share: float) -> str | None:
        """See `CapacitySource.current_shortfall`."""
        return self.declared_shortfall(row, share)


class LoadedCapacity(DeclaredCapacity):
    """Capacity according to the engines that have loaded the version.

    Parameters
    ----------
    config : ConfigSource
        The configuration in force.
    loaded_weight : callable
        Returns the total weight of a pool's engines that have loaded a version; None
        if it is unknown.
    utilisation : callable, optional
        See `DeclaredCapacity`.
    """

    def __init__(
        self,
        config: ConfigSource,
        loaded_weight: Callable[[Pool, Version], float | None],
        utilisation: Callable[[Pool], float] | None = None,
    ):
        super().__init__(config, utilisation)
        self._loaded_weight = loaded_weight

    def current_shortfall(self, row: RolloutRow, share: float) -> str | None:
        """See `CapacitySource.current_shortfall`."""
        shortfall = self.declared_shortfall(row, share)
        pool = self._config.current().pool(row.pool)
        if shortfall is not None or pool is None or pool.kind is not PoolKind.ENGINE:
            return shortfall
        loaded_weight = self._loaded_weight(pool, row.new)
        needed = share * self._utilisation(pool) * _old_version_weight(pool, row)
        if loaded_weight is None or loaded_weight + 1e-9 >= needed:
            return None
        return (
            f"engines with weight {loaded_weight:g} have loaded {row.new}, "
            f"the running traffic needs {needed:g}"
        )


def _weight(pool: Pool, version: Version | None) -> float:
    return sum(
        upstream.weight
        for upstream in pool.upstreams
        if upstream.version == version and not upstream.leaving
    )


def _old_version_weight(pool: Pool, row: RolloutRow) -> float:
    if row.old is None:
        return 0.0
    return _weight(pool, row.old)
