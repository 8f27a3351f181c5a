"""Gives orders to engines under the leader's lease, and repairs what went wrong."""

import uuid
from collections.abc import Callable

import eventlet
import msgspec
from result import Err, Ok, Result

from boragedeck.connection.store import Put, Table
from boragedeck.exceptions import BoragedeckError, StoreUnavailableError
from boragedeck.ids import PoolName, UpstreamName, Version
from boragedeck.interfaces import ConfigSource
from boragedeck.process.timers import TimerService
from boragedeck.version.orders import (
    MAX_LOADS,
    EngineOrders,
    EngineView,
    Load,
    Order,
    plan_orders,
)
from boragedeck.version.rollout_leader import LeaderLease
from boragedeck.version.rollout_ledger import RolloutLedger
from boragedeck.version.rollout_row import RolloutRow
from boragedeck.version.tables import (
    Pool,
    PoolKind,
    Route,
    RouteLimits,
    Upstream,
)

__all__ = ["OrderKeeper", "OrderRow"]

SEND_MARGIN_S = 2.0
UNFENCED_MARGIN_S = 4.0
"""For engines that ignore fencing; more than a send and a short pause take."""
RETRY_S = 20.0
MAX_WAITING = 64
MAX_READS = 100
"""Engines read in a round; a large fleet takes several rounds."""
MAX_READERS = 16


class OrderRow(msgspec.Struct, frozen=True):
    """The latest order to an engine.

    Parameters
    ----------
    pool : PoolName
        The engine's pool.
    upstream : UpstreamName
        The engine.
    order : Order
        What it was told to do.
    order_id : str
        Unique for each order.
    token : int
        Fencing token under which it was given.
    at : float
        When, in Unix seconds.
    """

    pool: PoolName
    upstream: UpstreamName
    order: Order
    order_id: str
    token: int
    at: float

    def write(self) -> Put:
        """Return the write of the row."""
        key = f"order/{self.pool}/{self.upstream}"
        return Put(Table.ROLLOUTS, key, msgspec.json.encode(self))


class OrderKeeper:
    """Brings the engines to what the pools declare, while this router leads.

    Parameters
    ----------
    engines : EngineOrders
        The way to the engines.
    ledger : RolloutLedger
        The rollouts, whose versions are in use.
    config : ConfigSource
        The configuration in force.
    timers : TimerService
        The source of time.
    lease : callable
        Returns the leader's lease, or None where another router leads.

    Attributes
    ----------
    waiting : tuple of str
        Why orders have to wait, for operators.

    Notes
    -----
    An order is committed in a row under the lease before it is given. What it did is
    read from the engine itself at the next round, so a lost answer, an engine's
    restart and an order of a paused leader are all repaired in the same way.
    """

    def __init__(
        self,
        engines: EngineOrders,
        ledger: RolloutLedger,
        config: ConfigSource,
        timers: TimerService,
        lease: Callable[[], LeaderLease | None],
    ):
        self.waiting: tuple[str, ...] = ()
        self._engines = engines
        self._ledger = ledger
        self._config = config
        self._timers = timers
        self._lease = lease
        self._views: dict[tuple[PoolName, UpstreamName], EngineView] = {}
        self._given: dict[tuple[PoolName, UpstreamName, Order], float] = {}
        self._cursor = 0

    def tick(self) -> None:
        """Read all engines, and give the orders that are due."""
        if self._lease() is None:
            self._views.clear()
            self._given.clear()
            return
        pools = [p for p in self._config.current().pools if p.kind is PoolKind.ENGINE]
        self._read(pools)
        loads_left = MAX_LOADS - self._loading()
        waiting: list[str] = []
        for pool in pools:
            loads_left = self._order(pool, loads_left, waiting)
        self.waiting = tuple(waiting[:MAX_WAITING])

    def loaded_weight(self, pool: Pool, version: Version) -> float | None:
        """Return the weight of the engines that serve a version.

        None where this router has not read the engines.
        """
        views = self._pool_views(pool)
        if not views:
            return None
        return sum(
            upstream.weight
            for upstream in pool.upstreams
            if not upstream.leaving
            and upstream.name in views
            and version in views[upstream.name].versions
        )

    def _read(self, pools: list[Pool]) -> None:
        engines = {
            (pool.name, upstream.name): upstream
            for pool in pools
            for upstream in pool.upstreams
        }
        self._views = {key: v for key, v in self._views.items() if key in engines}
        keys = list(engines)
        start = self._cursor % max(1, len(keys))
        due = (keys[start:] + keys[:start])[:MAX_READS]
        self._cursor = start + len(due)
        readers = eventlet.GreenPool(MAX_READERS)
        found = readers.imap(self._engines.view, [engines[key] for key in due])
        for key, read in zip(due, found, strict=True):
            if read.is_ok():
                self._views[key] = read.ok()
            else:
                self._views.pop(key, None)

    def _loading(self) -> int:
        seen = sum(len(view.loading) for view in self._views.values())
        return seen + sum(self._is_unseen_load(key) for key in self._given)

    def _is_unseen_load(self, key: tuple[PoolName, UpstreamName, Order]) -> bool:
        *engine, order = key
        if not isinstance(order, Load):
            return False
        is_recent = self._timers.now() - self._given[key] < RETRY_S
        view = self._views.get(tuple(engine), EngineView())
        return is_recent and not view.shows(order)

    def _order(self, pool: Pool, loads_left: int, waiting: list[str]) -> int:
        plan = plan_orders(
            pool,
            self._pool_views(pool),
            self._disposable(),
            loads_left=max(0, loads_left),
        )
        waiting += plan.waiting
        for upstream, order in plan.orders:
            if isinstance(order, Load):
                loads_left -= 1
            given = self._give(pool, upstream, order)
            if given.is_err():
                waiting.append(f"{order} on {upstream.name}: {given.err()}")
        return loads_left

    def _give(
        self, pool: Pool, upstream: Upstream, order: Order
    ) -> Result[None, BoragedeckError]:
        now = self._timers.now()
        key = (pool.name, upstream.name, order)
        if now - self._given.get(key, float("-inf")) < RETRY_S:
            return Ok(None)
        lease = self._lease()
        margin = SEND_MARGIN_S if pool.checks_fencing else UNFENCED_MARGIN_S
        if lease is None or not lease.is_safe(margin):
            return Err(_unsafe_error(upstream))
        row = OrderRow(
            pool.name,
            upstream.name,
            order,
            uuid.uuid4().hex,
            lease.token,
            self._timers.wall(),
        )
        committed = lease.commit([row.write()])
        if committed.is_err():
            return committed
        # The commit may have taken long, and the engine may not check the token.
        if not lease.is_safe(margin):
            return Err(_unsafe_error(upstream))
        self._given = {k: at for k, at in self._given.items() if now - at < RETRY_S}
        self._given[key] = now
        sent = self._engines.send(upstream, order, row.order_id, lease.token)
        return sent.map(lambda _: None)

    def _pool_views(self, pool: Pool) -> dict[UpstreamName, EngineView]:
        return {
            upstream.name: self._views[pool.name, upstream.name]
            for upstream in pool.upstreams
            if (pool.name, upstream.name) in self._views
        }

    def _disposable(self) -> set[Version]:
        """Return the versions that moves brought here and nothing can use any more.

        An engine may stand in several pools, and runs of an old version go on until
        their requests' deadline.
        """
        cfg = self._config.current()
        kept = {upstream.version for p in cfg.pools for upstream in p.upstreams}
        moved: set[Version] = set()
        for row in self._ledger.rows():
            moved |= {row.old, row.new}
            kept.add(row.in_force)
            if row.is_running or self._may_have_runs(cfg.route(row.route), row):
                kept |= {row.old, row.new}
        for route in cfg.routes:
            kept.add(route.version)
        return moved - kept - {None}

    def _may_have_runs(self, route: Route | None, row: RolloutRow) -> bool:
        limits = RouteLimits() if route is None else route.limits
        ended = row.notes[-1].at if row.notes else row.started
        return self._timers.wall() - ended < limits.deadline_s


def _unsafe_error(upstream: Upstream) -> StoreUnavailableError:
    text = "the lease ends too soon to give an order"
    return StoreUnavailableError(text, step="give order", peer=upstream.name)
