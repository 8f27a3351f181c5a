"""The number of routers among which a bound that holds for all of them is divided."""

from collections.abc import Callable

from boragedeck.ids import Health
from boragedeck.interfaces import Membership
from boragedeck.process.timers import TimerService

__all__ = ["FleetSize", "reachable_share"]

DISCOVERY_PERIOD_S = 10.0
"""How long after its start a router possibly doesn't know all others yet."""
ASSUMED_ROUTERS = 16
"""Minimum number of routers that is assumed in the discovery period."""
ASSUMED_FLEET_ROUTERS = 100
"""Number of routers that is assumed in the discovery period if the settings name other
routers (seeds) but none is known yet: hundreds may have started together."""


class FleetSize:
    """Estimates the number of routers, and doesn't underestimate it after a start.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    known : callable
        Returns the number of known routers, with this one. Unreachable ones are
        counted until they are given up as dead.
    has_seeds : callable, optional
        Returns whether the settings name other routers.
    """

    def __init__(
        self,
        timers: TimerService,
        known: Callable[[], int],
        has_seeds: Callable[[], bool] = lambda: False,
    ):
        self._timers = timers
        self._known = known
        self._has_seeds = has_seeds
        self._discovery_until = timers.now() + DISCOVERY_PERIOD_S

    def known(self) -> int:
        """Return the number of known routers; a large one if none is known yet."""
        known = max(1, self._known())
        is_alone = known == 1 and self._has_seeds()
        return ASSUMED_FLEET_ROUTERS if is_alone and self._is_new() else known

    def assumed(self) -> int:
        """Return the number of routers to assume, not too low after a start."""
        return max(self.known(), ASSUMED_ROUTERS) if self._is_new() else self.known()

    def _is_new(self) -> bool:
        return self._timers.now() < self._discovery_until


def reachable_share(membership: Membership, fleet_size: FleetSize) -> float:
    """Return the share of the routers that are reachable, this one included.

    Parameters
    ----------
    membership : Membership
        All routers as this one sees them.
    fleet_size : FleetSize
        The number of routers, unreachable ones included.

    Notes
    -----
    If the network is split, the routers of each side keep a bound among themselves. If
    each side uses its share of the bound only, all sides together keep it.
    """
    health = [member.health for member in membership.members()]
    reachable = 1 + health.count(Health.HEALTHY)
    staying = fleet_size.known() - health.count(Health.LEAVING)
    return min(1.0, reachable / max(1, staying))
