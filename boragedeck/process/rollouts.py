"""Wires the rollout components: every router follows, one leads under a lease."""

import random
from collections.abc import Callable, Sequence

from prometheus_client import CollectorRegistry
from result import Result

from boragedeck.connection.engine_orders import HttpEngineOrders
from boragedeck.connection.platform import Platform
from boragedeck.connection.store import Write
from boragedeck.exceptions import StoreError
from boragedeck.interfaces import ConfigSource, FactBoard, Membership
from boragedeck.process.leasing.lease_manager import LeaseManager
from boragedeck.process.leasing.leases import Lease, LeaseTable
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService
from boragedeck.version.engine_reconciler import EngineReconciler
from boragedeck.version.rollout_capacity import LoadedCapacity
from boragedeck.version.rollout_follower import RolloutFollower
from boragedeck.version.rollout_leader import RolloutLeader
from boragedeck.version.rollout_metrics import RolloutMetrics
from boragedeck.version.tables import Pool

__all__ = ["LEASE_NAME", "FencedLease", "RolloutService"]

LEASE_NAME = "rollouts"
JUDGE_INTERVAL_S = 1.0
SYNC_INTERVAL_S = 1.0
LEAD_INTERVAL_S = 1.0
ORDER_INTERVAL_S = 5.0

_log = PartLog("rollout")


class FencedLease:
    """A lease with its table; implements `LeaderLease` for the rollout leader.

    Parameters
    ----------
    table : LeaseTable
        Makes the fenced writes.
    lease : Lease
        The lease.
    """

    def __init__(self, table: LeaseTable, lease: Lease):
        self.token = lease.token
        self._table = table
        self._lease = lease

    def is_safe(self, margin_s: float) -> bool:
        """Return whether the lease is safe for at least `margin_s` more seconds."""
        return self._lease.is_safe(margin_s)

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """Write rows only if this process still holds the lease."""
        return self._table.commit(self._lease, writes)


class RolloutService:
    """The rollout components of one router.

    Parameters
    ----------
    platform : Platform
        Stores the rollouts and the leases.
    board : FactBoard
        Publishes evidence, rows and stops to the other routers.
    config : ConfigSource
        The configuration in force.
    membership : Membership
        The other routers.
    timers : TimerService
        The source of time.
    registry : CollectorRegistry
        The registry of the metrics.
    rng : random.Random
        The source of jitter.
    utilisation : callable, optional
        See `DeclaredCapacity`.

    Attributes
    ----------
    follower : RolloutFollower
        Chooses versions.
    lease_manager : LeaseManager
        Acquires and renews the leader's lease.
    """

    def __init__(
        self,
        platform: Platform,
        board: FactBoard,
        config: ConfigSource,
        membership: Membership,
        timers: TimerService,
        registry: CollectorRegistry,
        rng: random.Random,
        utilisation: Callable[[Pool], float] | None = None,
    ):
        self._timers = timers
        metrics = RolloutMetrics(registry)
        self._table = LeaseTable(platform, timers, membership.own.router)
        self.lease_manager = LeaseManager(self._table, timers, membership, rng)
        self.follower = RolloutFollower(
            platform, board, config, timers, metrics=metrics, rng=rng
        )
        self._orders = EngineReconciler(
            HttpEngineOrders(),
            self.follower.row_cache,
            config,
            timers,
            self._fenced_lease,
        )
        self._leader = RolloutLeader(
            self.follower,
            platform,
            config,
            membership,
            timers,
            self._fenced_lease,
            LoadedCapacity(config, self._orders.loaded_weight, utilisation),
            metrics=metrics,
        )

    def start(self) -> None:
        """Start following rollouts, and leading them while the lease is held."""
        self.lease_manager.maintain(LEASE_NAME)
        for interval_s, step in (
            (JUDGE_INTERVAL_S, self.follower.tick),
            (SYNC_INTERVAL_S, self.follower.sync),
            (LEAD_INTERVAL_S, self._leader.tick),
            (ORDER_INTERVAL_S, self._orders.tick),
        ):
            # Each has its own timer, so that a slow store delays none of the others.
            self._timers.subscribe(interval_s, _with_errors_logged(step))

    def _fenced_lease(self) -> FencedLease | None:
        lease = self.lease_manager.held(LEASE_NAME)
        return None if lease is None else FencedLease(self._table, lease)


def _with_errors_logged(step: Callable[[], None]) -> Callable[[], None]:
    """Return a step that logs its exceptions, so that its timer continues."""

    def run() -> None:
        try:
            step()
        except Exception as exc:
            _log.write("Rollout step failed.", step=step.__qualname__, error=repr(exc))

    return run
