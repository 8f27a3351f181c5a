"""What a hub knows of the loads: those told to it, and the sums of other hubs."""

from boragedeck.connection.peer import PeerServer
from boragedeck.connection.store import Table
from boragedeck.ids import PoolName, RouterId
from boragedeck.process.relaying.load_messages import FetchLoads, LoadSum, PoolLoads
from boragedeck.process.relaying.load_sums import LoadSums
from boragedeck.process.relaying.registry import ReplicaRegistry
from boragedeck.process.relaying.replica_state import Load
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import ReplicaId

__all__ = ["LoadHub"]

TTL_S = 2.1
"""For so long the loads of a silent router count."""
WHOLE_INTERVAL_S = 0.9
MAX_SUMS_PER_S = 80.0
"""What one hub sends to all others together."""


class LoadHub:
    """Adds up loads, and states sums for other hubs.

    Parameters
    ----------
    own : RouterId
        This router.
    timers : TimerService
        The source of time.
    registry : ReplicaRegistry
        The replicas.
    server : PeerServer
        Where other routers ask for loads.

    Attributes
    ----------
    beside : LoadSums
        What routers told this one, itself included where it is a hub.
    far : LoadSums
        What the other hubs told.
    """

    def __init__(
        self,
        own: RouterId,
        timers: TimerService,
        registry: ReplicaRegistry,
        server: PeerServer,
    ):
        self._own = own
        self._timers = timers
        self._registry = registry
        self._number = 0
        self._changed: set[ReplicaId] = set()
        self._sent_at = float("-inf")
        self._whole_at = float("-inf")
        self.beside = LoadSums()
        self.far = LoadSums()
        server.register(FetchLoads, self._on_fetch)

    def take(
        self, router: RouterId, number: int, loads: dict[ReplicaId, Load]
    ) -> set[ReplicaId]:
        """Take a router's loads, and return the replicas whose sums changed."""
        changed = self.beside.take(router, number, loads, self._timers.now())
        self._changed |= changed
        return changed

    def take_sum(self, message: LoadSum) -> set[ReplicaId]:
        """Take another hub's sums, and return the replicas whose sums changed."""
        return self.far.take(
            message.router,
            message.number,
            message.loads,
            self._timers.now(),
            is_whole=message.is_whole,
        )

    def expire(self) -> set[ReplicaId]:
        """Forget what silent routers told; returns the replicas concerned."""
        before = self._timers.now() - TTL_S
        changed = self.beside.expire(before)
        self._changed |= changed
        return changed | self.far.expire(before)

    def of_others(self, replica: ReplicaId, router: RouterId) -> Load:
        """Return the load at a replica without what one router has there."""
        load = Load()
        load.add(self.beside.totals.get(replica, load))
        load.add(self.beside.of(router).get(replica, Load()), -1)
        load.add(self.far.totals.get(replica, Load()))
        return load

    def wait_s(self, hubs: int) -> float:
        """Return how long the other hubs aren't to be told, in seconds.

        Parameters
        ----------
        hubs : int
            How many they are.
        """
        return self._sent_at + hubs / MAX_SUMS_PER_S - self._timers.now()

    def next_sum(self, newest: dict[Table, int]) -> LoadSum | None:
        """Return what the other hubs are to be told now; None for nothing.

        Parameters
        ----------
        newest : dict of Table to int
            The newest change of a row in each mirror.
        """
        now = self._timers.now()
        is_whole = now - self._whole_at >= WHOLE_INTERVAL_S
        if not is_whole and not self._changed:
            return None
        totals = self.beside.totals
        names = set(totals) if is_whole else self._changed
        self._changed, self._sent_at = set(), now
        if is_whole:
            self._whole_at = now
        self._number += 1
        loads = {name: totals.get(name, Load()).copy() for name in names}
        return LoadSum(self._own, self._number, loads, newest, is_whole)

    def _on_fetch(self, ask: FetchLoads) -> PoolLoads:
        loads = {}
        for replica in self._replicas_of(ask.pool):
            load = self.of_others(replica, ask.router)
            if load != Load():
                loads[replica] = load
        return PoolLoads(loads)

    def _replicas_of(self, pool: PoolName) -> list[ReplicaId]:
        return [state.replica.replica for state in self._registry.of_pool(pool)]
