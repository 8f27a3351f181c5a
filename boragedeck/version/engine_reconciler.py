"""Sends orders to engines until they match the configuration, under a lease."""

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
    MAX_CONCURRENT_LOADS,
    EngineClient,
    EngineState,
    Load,
    Order,
    plan_orders,
)
from boragedeck.version.rollout_leader import LeaderLease
from boragedeck.version.rollout_row import RolloutRow
from boragedeck.version.rollout_row_cache import RolloutRowCache
from boragedeck.version.tables import (
    Pool,
    PoolKind,
    Route,
    RouteLimits,
    Upstream,
)

__all__ = ["EngineReconciler", "OrderRow"]

SEND_MARGIN_S = 2.0
"""Time for which the lease has to stay valid when an order is sent."""
UNFENCED_SEND_MARGIN_S = 4.0
"""For engines that ignore fencing tokens.

Longer than the time for a send and a short pause of this process.
"""
RESEND_INTERVAL_S = 20.0
"""Shortest interval between two sends of the same order to an engine."""
MAX_WAITING_REASONS = 64
MAX_READS_PER_ROUND = 100
"""A large fleet is read in several rounds."""
MAX_CONCURRENT_READS = 16


class OrderRow(msgspec.Struct, frozen=True):
    """The latest order to an engine.

    Parameters
    ----------
    pool : PoolName
        The engine's pool.
    upstream : UpstreamName
        The engine.
    order : Order
        The order.
    order_id : str
        Unique identifier of the order.
    token : int
        Fencing token under which the order was sent.
    at : float
        Time of the order, in Unix seconds.
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


class EngineReconciler:
    """Reconciles the engines with the pools' declarations while this router leads.

    Parameters
    ----------
    engines : EngineClient
        The client for the engines.
    row_cache : RolloutRowCache
        The latest rows of the rollouts, whose versions are in use.
    config : ConfigSource
        The configuration in force.
    timers : TimerService
        The source of time.
    lease : callable
        Returns the leader's lease, or None if this router doesn't lead.

    Attributes
    ----------
    waiting : tuple of str
        The reasons why orders have to wait, for operators.

    Notes
    -----
    An order is committed in a row under the lease before it is sent. Its effect is
    read from the engine at the next round, so a lost answer, a restart of an engine and
    an order of a paused leader are all repaired in the same way.
    """

    def __init__(
        self,
        engines: EngineClient,
        row_cache: RolloutRowCache,
        config: ConfigSource,
        timers: TimerService,
        lease: Callable[[], LeaderLease | None],
    ):
        self.waiting: tuple[str, ...] = ()
        self._engines = engines
        self._row_cache = row_cache
        self._config = config
        self._timers = timers
        self._lease = lease
        self._engine_states: dict[tuple[PoolName, UpstreamName], EngineState] = {}
        self._sent_at: dict[tuple[PoolName, UpstreamName, Order], float] = {}
        self._read_offset = 0

    def tick(self) -> None:
        """Read the state of the engines and send the orders that are due."""
        if self._lease() is None:
            self._engine_states.clear()
            self._sent_at.clear()
            return
        pools = [p for p in self._config.current().pools if p.kind is PoolKind.ENGINE]
        self._read_engines(pools)
        available_loads = MAX_CONCURRENT_LOADS - self._count_loads()
        waiting: list[str] = []
        for pool in pools:
            available_loads = self._reconcile_pool(pool, available_loads, waiting)
        self.waiting = tuple(waiting[:MAX_WAITING_REASONS])

    def loaded_weight(self, pool: Pool, version: Version) -> float | None:
        """Return the weight of the engines that serve a version.

        None if this router has not read the engines.
        """
        states = self._pool_states(pool)
        if not states:
            return None
        return sum(
            upstream.weight
            for upstream in pool.upstreams
            if not upstream.leaving
            and upstream.name in states
            and version in states[upstream.name].versions
        )

    def _read_engines(self, pools: list[Pool]) -> None:
        engines = {
            (pool.name, upstream.name): upstream
            for pool in pools
            for upstream in pool.upstreams
        }
        self._engine_states = {
            key: v for key, v in self._engine_states.items() if key in engines
        }
        keys = list(engines)
        start = self._read_offset % max(1, len(keys))
        due = (keys[start:] + keys[:start])[:MAX_READS_PER_ROUND]
        self._read_offset = start + len(due)
        readers = eventlet.GreenPool(MAX_CONCURRENT_READS)
        found = readers.imap(self._engines.read_state, [engines[key] for key in due])
        for key, read in zip(due, found, strict=True):
            if read.is_ok():
                self._engine_states[key] = read.ok()
            else:
                self._engine_states.pop(key, None)

    def _count_loads(self) -> int:
        reported_loads = sum(
            len(state.loading) for state in self._engine_states.values()
        )
        return reported_loads + sum(self._is_load_pending(key) for key in self._sent_at)

    def _is_load_pending(self, key: tuple[PoolName, UpstreamName, Order]) -> bool:
        *engine, order = key
        if not isinstance(order, Load):
            return False
        is_recent = self._timers.now() - self._sent_at[key] < RESEND_INTERVAL_S
        engine_state = self._engine_states.get(tuple(engine), EngineState())
        return is_recent and not engine_state.reflects(order)

    def _reconcile_pool(
        self, pool: Pool, available_loads: int, waiting: list[str]
    ) -> int:
        plan = plan_orders(
            pool,
            self._pool_states(pool),
            self._find_unused_versions(),
            available_loads=max(0, available_loads),
        )
        waiting += plan.waiting
        for upstream, order in plan.orders:
            if isinstance(order, Load):
                available_loads -= 1
            sent_order = self._send_order(pool, upstream, order)
            if sent_order.is_err():
                waiting.append(f"{order} on {upstream.name}: {sent_order.err()}")
        return available_loads

    def _send_order(
        self, pool: Pool, upstream: Upstream, order: Order
    ) -> Result[None, BoragedeckError]:
        now = self._timers.now()
        key = (pool.name, upstream.name, order)
        if now - self._sent_at.get(key, float("-inf")) < RESEND_INTERVAL_S:
            return Ok(None)
        lease = self._lease()
        margin = SEND_MARGIN_S if pool.checks_fencing else UNFENCED_SEND_MARGIN_S
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
        self._sent_at = {
            k: at for k, at in self._sent_at.items() if now - at < RESEND_INTERVAL_S
        }
        self._sent_at[key] = now
        sent = self._engines.send(upstream, order, row.order_id, lease.token)
        return sent.map(lambda _: None)

    def _pool_states(self, pool: Pool) -> dict[UpstreamName, EngineState]:
        return {
            upstream.name: self._engine_states[pool.name, upstream.name]
            for upstream in pool.upstreams
            if (pool.name, upstream.name) in self._engine_states
        }

    def _find_unused_versions(self) -> set[Version]:
        """Return the versions of earlier moves that nothing can use any more.

        An engine may belong to several pools, and runs of an old version may continue
        until the deadline of their requests.
        """
        cfg = self._config.current()
        versions_in_use = {
            upstream.version for p in cfg.pools for upstream in p.upstreams
        }
        moved: set[Version] = set()
        for row in self._row_cache.rows():
            moved |= {row.old, row.new}
            versions_in_use.add(row.in_force)
            if row.is_running or self._may_have_runs(cfg.route(row.route), row):
                versions_in_use |= {row.old, row.new}
        for route in cfg.routes:
            versions_in_use.add(route.version)
        return moved - versions_in_use - {None}

    def _may_have_runs(self, route: Route | None, row: RolloutRow) -> bool:
        limits = RouteLimits() if route is None else route.limits
        ended = row.notes[-1].at if row.notes else row.started
        return self._timers.wall() - ended < limits.deadline_s


def _unsafe_error(upstream: Upstream) -> StoreUnavailableError:
    text = "the lease ends too soon to send an order"
    return StoreUnavailableError(text, step="send order", peer=upstream.name)
