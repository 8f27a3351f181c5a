"""Chooses the one router that carries out a task for all routers together.

Granting the sends to a replica that names a limit is such a task, and judging which
requests crash replicas is another: each needs what all routers know in one place.
"""

from collections.abc import Set

from boragedeck.ids import Health, RouterId
from boragedeck.interfaces import Member, Membership
from boragedeck.process.membership.rendezvous import rank
from boragedeck.process.relaying.fleet.fleet_size import FleetSize, reachable_share
from boragedeck.process.relaying.fleet.hubs import Hubs
from boragedeck.process.timers import TimerService

__all__ = ["TaskOwners"]

CACHE_TTL_S = 0.25


class TaskOwners:
    """The owners of tasks as this router sees them.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    membership : Membership
        All routers.
    hubs : Hubs
        The hubs. They are the owners in a fleet that has any, since their choice
        changes less often than the list of all routers.
    fleet_size : FleetSize
        The number of routers, unreachable ones included.
    """

    def __init__(
        self,
        timers: TimerService,
        membership: Membership,
        hubs: Hubs,
        fleet_size: FleetSize,
    ):
        self._timers = timers
        self._membership = membership
        self._hubs = hubs
        self._fleet_size = fleet_size
        self._read_at = float("-inf")
        self._candidates: list[Member] = []
        self._reachable_share = 1.0

    @property
    def own(self) -> Member:
        """The member that is this router itself."""
        return self._membership.own

    def owner_of(self, task: str, unable: Set[RouterId] = frozenset()) -> Member:
        """Return the router that carries out a task.

        Parameters
        ----------
        task : str
            The name of the task.
        unable : set of RouterId, optional
            Routers whose build doesn't know the task. If all are unable, this router is
            the owner.
        """
        self._refresh()
        able = [each for each in self._candidates if each.router not in unable]
        return rank(task, able or [self.own], _router_id)[0]

    def is_candidate(self) -> bool:
        """Return whether this router may be the owner of a task."""
        self._refresh()
        return self.own in self._candidates

    def reachable_share(self) -> float:
        """See `fleet_size.reachable_share`."""
        self._refresh()
        return self._reachable_share

    def _refresh(self) -> None:
        now = self._timers.now()
        if now - self._read_at < CACHE_TTL_S:
            return
        self._read_at = now
        others = self._membership.members()
        healthy = [member for member in others if member.health is Health.HEALTHY]
        self._reachable_share = reachable_share(self._membership, self._fleet_size)
        own = self._membership.own
        is_staying = own.health is Health.HEALTHY
        everyone = [own, *healthy] if is_staying or not healthy else healthy
        self._candidates = self._hubs.all_hubs() or everyone


def _router_id(member: Member) -> str:
    return member.router
