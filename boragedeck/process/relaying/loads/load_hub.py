"""The loads that a hub knows: updates of its routers, and the sums of other hubs."""

from boragedeck.connection.peer import PeerServer
from boragedeck.connection.store import Table
from boragedeck.ids import PoolName, RouterId
from boragedeck.process.relaying.loads.load_messages import (
    FetchLoads,
    LoadSum,
    PoolLoads,
)
from boragedeck.process.relaying.loads.load_sums import LoadSums
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.relaying.speeds.replica_speeds import ReplicaSpeeds
from boragedeck.process.relaying.speeds.speed_messages import SpeedSample
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import ReplicaId

__all__ = ["LoadHub"]

TTL_S = 2.1
"""How long loads count after the last update of their router."""
FULL_SUM_INTERVAL_S = 0.9
"""Minimum time between full sums; the others have only the replicas that changed."""
MAX_SUMS_PER_S = 80.0
"""Maximum rate at which one hub sends sums, over all other hubs."""


class LoadHub:
    """Sums up loads, and builds the sums that are sent to other hubs.

    Parameters
    ----------
    own : RouterId
        This router.
    timers : TimerService
        The source of time.
    registry : ReplicaRegistry
        The replicas.
    server : PeerServer
        Receives other routers' requests for loads.
    speeds : ReplicaSpeeds
        The speeds of the replicas.

    Attributes
    ----------
    router_sums : LoadSums
        Loads that routers sent to this one; includes its own loads if it is a hub.
    hub_sums : LoadSums
        Sums that the other hubs sent.
    """

    def __init__(
        self,
        own: RouterId,
        timers: TimerService,
        registry: ReplicaRegistry,
        server: PeerServer,
        speeds: ReplicaSpeeds,
    ):
        self._own = own
        self._timers = timers
        self._registry = registry
        self._speeds = speeds
        self._number = 0
        self._changed_replicas: set[ReplicaId] = set()
        self._sent_at = float("-inf")
        self._full_sum_at = float("-inf")
        self.router_sums = LoadSums()
        self.hub_sums = LoadSums()
        server.register(FetchLoads, self._on_fetch)

    def merge(
        self, router: RouterId, number: int, loads: dict[ReplicaId, Load]
    ) -> set[ReplicaId]:
        """Merge a router's loads, and return the replicas whose sums changed."""
        changed = self.router_sums.merge(router, number, loads, self._timers.now())
        self._changed_replicas |= changed
        return changed

    def merge_sum(self, message: LoadSum) -> set[ReplicaId]:
        """Merge another hub's sums, and return the replicas whose sums changed."""
        self._speeds.merge_hub_samples(message.speed_samples)
        return self.hub_sums.merge(
            message.router,
            message.number,
            message.loads,
            self._timers.now(),
            is_full=message.is_full,
        )

    def expire(self) -> set[ReplicaId]:
        """Drop loads older than `TTL_S`, and return the replicas whose sums changed."""
        before = self._timers.now() - TTL_S
        changed = self.router_sums.expire(before)
        self._changed_replicas |= changed
        return changed | self.hub_sums.expire(before)

    def load_excluding(self, replica: ReplicaId, router: RouterId) -> Load:
        """Return the load of a replica without the share of one router."""
        load = Load()
        load.add(self.router_sums.totals.get(replica, load))
        load.add(self.router_sums.loads_of(router).get(replica, Load()), -1)
        load.add(self.hub_sums.totals.get(replica, Load()))
        return load

    def wait_s(self, hubs: int) -> float:
        """Return how long to wait before the next sum is sent, in seconds.

        Parameters
        ----------
        hubs : int
            The number of other hubs.
        """
        return self._sent_at + hubs / MAX_SUMS_PER_S - self._timers.now()

    def next_sum(self, newest_row_versions: dict[Table, int]) -> LoadSum | None:
        """Return the sum to send to the other hubs now; None if nothing has changed.

        Parameters
        ----------
        newest_row_versions : dict of Table to int
            The newest row version in each mirror.
        """
        now = self._timers.now()
        is_full = now - self._full_sum_at >= FULL_SUM_INTERVAL_S
        if not is_full and not self._changed_replicas:
            return None
        totals = self.router_sums.totals
        replica_ids = set(totals) if is_full else self._changed_replicas
        self._changed_replicas, self._sent_at = set(), now
        samples: tuple[SpeedSample, ...] = ()
        if is_full:
            self._full_sum_at = now
            samples = self._speeds.take_hub_samples()
        self._number += 1
        loads = {name: totals.get(name, Load()).copy() for name in replica_ids}
        return LoadSum(
            self._own, self._number, loads, newest_row_versions, is_full, samples
        )

    def _on_fetch(self, query: FetchLoads) -> PoolLoads:
        loads = {}
        for replica in self._replicas_of(query.pool):
            load = self.load_excluding(replica, query.router)
            if load != Load():
                loads[replica] = load
        speeds = self._speeds.answer(query.pool) if query.with_speeds else ()
        return PoolLoads(loads, speeds)

    def _replicas_of(self, pool: PoolName) -> list[ReplicaId]:
        return [state.replica.replica for state in self._registry.of_pool(pool)]
