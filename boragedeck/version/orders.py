"""Orders to engines, and what is to be ordered next."""

from collections.abc import Mapping, Set
from typing import Protocol

import msgspec
from result import Result

from boragedeck.exceptions import UpstreamError
from boragedeck.ids import UpstreamName, Version
from boragedeck.version.tables import Pool, Upstream

__all__ = [
    "Adapter",
    "EngineState",
    "EngineClient",
    "Load",
    "Order",
    "OrderPlan",
    "Role",
    "Unload",
    "plan_orders",
]

MAX_CONCURRENT_LOADS = 2
"""Loads at a time in all pools, which the weight store feeds at its limited rate."""


class Load(msgspec.Struct, frozen=True, tag="load"):
    """Load a version beside those that are loaded."""

    version: Version


class Unload(msgspec.Struct, frozen=True, tag="unload"):
    """Drop a version; its runs end."""

    version: Version


class Adapter(msgspec.Struct, frozen=True, tag="adapter"):
    """Load an adapter."""

    version: Version


class Role(msgspec.Struct, frozen=True, tag="role"):
    """Change the engine's role."""

    role: str


Order = Load | Unload | Adapter | Role


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself.

    Parameters
    ----------
    versions, loading, adapters : tuple of Version
        What is loaded and what is being loaded.
    role : str
        The engine's role.
    fencing_token : int
        The highest fencing token that it has seen.
    """

    versions: tuple[Version, ...] = ()
    loading: tuple[Version, ...] = ()
    adapters: tuple[Version, ...] = ()
    role: str = ""
    fencing_token: int = 0

    def reflects(self, order: Order) -> bool:
        """Return whether an order has had its effect, or is having it."""
        match order:
            case Load(version):
                return version in self.versions or version in self.loading
            case Unload(version):
                return version not in self.versions and version not in self.loading
            case Adapter(version):
                return version in self.adapters
            case Role(role):
                return self.role == role


class EngineClient(Protocol):
    """The way to the engines."""

    def read_state(self, upstream: Upstream) -> Result[EngineState, UpstreamError]:
        """Read what an engine says of itself."""

    def send(
        self, upstream: Upstream, order: Order, order_id: str, token: int
    ) -> Result[EngineState, UpstreamError]:
        """Give an order; ``Err(UpstreamRefusedError)`` for a stale token."""


class OrderPlan(msgspec.Struct, frozen=True):
    """What is to be ordered now, and what has to wait.

    Parameters
    ----------
    orders : tuple
        Pairs of an upstream and an order.
    waiting : tuple of str
        Why other orders have to wait, for operators.
    """

    orders: tuple[tuple[Upstream, Order], ...] = ()
    waiting: tuple[str, ...] = ()


def plan_orders(
    pool: Pool,
    states: Mapping[UpstreamName, EngineState],
    unused_versions: Set[Version],
    *,
    available_loads: int = MAX_CONCURRENT_LOADS,
) -> OrderPlan:
    """Plan the orders that bring a pool's engines to what the pool declares.

    Parameters
    ----------
    pool : Pool
        A pool of engines.
    states : mapping
        What the engines that answered say of themselves.
    unused_versions : set of Version
        Versions that earlier moves brought here and that nothing can use any more.
    available_loads : int
        How many loads may start now.

    Returns
    -------
    OrderPlan
        A version is loaded beside the others. A version that running traffic may use
        is never unloaded, so that a move takes no capacity away.
    """
    orders: list[tuple[Upstream, Order]] = []
    waiting: list[str] = []
    for upstream in pool.upstreams:
        engine_state = states.get(upstream.name)
        if engine_state is None or not upstream.version:
            continue
        load = Load(upstream.version)
        if not upstream.leaving and not engine_state.reflects(load):
            if available_loads > 0:
                available_loads -= 1
                orders.append((upstream, load))
            else:
                text = f"load {load.version} on {upstream.name}"
                waiting.append(f"{text}: {MAX_CONCURRENT_LOADS} loads are running")
        unwanted = (unused_versions - {upstream.version}) & set(engine_state.versions)
        orders += [(upstream, Unload(version)) for version in sorted(unwanted)]
    return OrderPlan(tuple(orders), tuple(waiting))
