"""Sums up the loads that several routers report, without network or clock."""

from collections.abc import Mapping

import msgspec

from boragedeck.ids import RouterId
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.version.replicas import ReplicaId

__all__ = ["LoadSums"]


class _LastUpdate(msgspec.Struct):
    """The last update of one router."""

    number: int
    at: float
    loads: dict[ReplicaId, Load]


class LoadSums:
    """The sums of the loads of several routers, updated incrementally.

    Attributes
    ----------
    totals : dict of ReplicaId to Load
        The sums that aren't zero.
    """

    def __init__(self) -> None:
        self._last_updates: dict[RouterId, _LastUpdate] = {}
        self.totals: dict[ReplicaId, Load] = {}

    def merge(
        self,
        router: RouterId,
        number: int,
        loads: Mapping[ReplicaId, Load],
        now: float,
        *,
        is_full: bool = True,
    ) -> set[ReplicaId]:
        """Merge an update of a router, and return the replicas whose sums changed.

        Parameters
        ----------
        router : RouterId
            The sender.
        number : int
            Counts the sender's updates; an update older than the last is ignored.
        loads : mapping of ReplicaId to Load
            The sender's current loads.
        now : float
            The time in seconds.
        is_full : bool
            Whether replicas missing from `loads` have no load.
        """
        last = self._last_updates.get(router)
        if last is None:
            last = self._last_updates[router] = _LastUpdate(number - 1, now, {})
        if number <= last.number:
            return set()
        last.number, last.at = number, now
        affected = set(loads)
        if is_full:
            affected |= set(last.loads)
        return {
            replica
            for replica in affected
            if self._replace(last, replica, loads.get(replica, Load()))
        }

    def loads_of(self, router: RouterId) -> dict[ReplicaId, Load]:
        """Return the loads that a router last reported."""
        last = self._last_updates.get(router)
        return {} if last is None else last.loads

    def expire(self, before: float) -> set[ReplicaId]:
        """Drop routers without an update since `before`, and return as `merge` does."""
        changed: set[ReplicaId] = set()
        for router, last in list(self._last_updates.items()):
            if last.at < before:
                changed |= self.merge(router, last.number + 1, {}, last.at)
                del self._last_updates[router]
        return changed

    def _replace(self, last: _LastUpdate, replica: ReplicaId, load: Load) -> bool:
        before = last.loads.get(replica, Load())
        if before == load:
            return False
        total = self.totals.get(replica, Load()).copy()
        total.add(before, -1)
        total.add(load)
        _set_load(self.totals, replica, total)
        _set_load(last.loads, replica, load)
        return True


def _set_load(loads: dict[ReplicaId, Load], replica: ReplicaId, load: Load) -> None:
    if load == Load():
        loads.pop(replica, None)
    else:
        loads[replica] = load
