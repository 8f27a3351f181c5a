"""Adds up the loads that several routers tell, without network or clock."""

from collections.abc import Mapping

import msgspec

from boragedeck.ids import RouterId
from boragedeck.process.relaying.replica_state import Load
from boragedeck.version.replicas import ReplicaId

__all__ = ["LoadSums"]


class _Told(msgspec.Struct):
    """What one router told last."""

    number: int
    at: float
    loads: dict[ReplicaId, Load]


class LoadSums:
    """The sum of what routers have told, kept by difference.

    Attributes
    ----------
    totals : dict of ReplicaId to Load
        The sums that aren't zero.
    """

    def __init__(self) -> None:
        self._told: dict[RouterId, _Told] = {}
        self.totals: dict[ReplicaId, Load] = {}

    def take(
        self,
        router: RouterId,
        number: int,
        loads: Mapping[ReplicaId, Load],
        now: float,
        *,
        is_whole: bool = True,
    ) -> set[ReplicaId]:
        """Take what a router tells, and return the replicas whose sums changed.

        Parameters
        ----------
        router : RouterId
            Who tells it.
        number : int
            Counts what it tells; older news than the newest have no effect.
        loads : mapping of ReplicaId to Load
            Its loads as they are now.
        now : float
            The time in seconds.
        is_whole : bool
            Whether replicas that aren't named have no load.
        """
        told = self._told.get(router)
        if told is None:
            told = self._told[router] = _Told(number - 1, now, {})
        if number <= told.number:
            return set()
        told.number, told.at = number, now
        named = set(loads)
        if is_whole:
            named |= set(told.loads)
        return {
            replica
            for replica in named
            if self._replace(told, replica, loads.get(replica, Load()))
        }

    def of(self, router: RouterId) -> dict[ReplicaId, Load]:
        """Return what a router told last."""
        told = self._told.get(router)
        return {} if told is None else told.loads

    def expire(self, before: float) -> set[ReplicaId]:
        """Forget routers that have told nothing since a time; see `take`."""
        changed: set[ReplicaId] = set()
        for router, told in list(self._told.items()):
            if told.at < before:
                changed |= self.take(router, told.number + 1, {}, told.at)
                del self._told[router]
        return changed

    def _replace(self, told: _Told, replica: ReplicaId, load: Load) -> bool:
        before = told.loads.get(replica, Load())
        if before == load:
            return False
        total = self.totals.get(replica, Load()).copy()
        total.add(before, -1)
        total.add(load)
        _keep(self.totals, replica, total)
        _keep(told.loads, replica, load)
        return True


def _keep(loads: dict[ReplicaId, Load], replica: ReplicaId, load: Load) -> None:
    if load == Load():
        loads.pop(replica, None)
    else:
        loads[replica] = load
