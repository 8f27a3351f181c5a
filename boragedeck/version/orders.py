"""Orders to engines, and the plan of the next orders."""

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
"""In all pools together, because the weight store has a limited transfer rate."""


class Load(msgspec.Struct, frozen=True, tag="load"):
    """Load a version in addition to the loaded ones."""

    version: Version


class Unload(msgspec.Struct, frozen=True, tag="unload"):
    """Unload a version, which ends its runs."""

    version: Version


class Adapter(msgspec.Struct, frozen=True, tag="adapter"):
    """Load an adapter."""

    version: Version


class Role(msgspec.Struct, frozen=True, tag="role"):
    """Change the engine's role."""

    role: str


Order = Load | Unload | Adapter | Role


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine reports.

    Parameters
    ----------
    versions, loading, adapters : tuple of Version
        Versions that are loaded, versions that are being loaded, and loaded adapters.
    role : str
        The engine's role.
    fencing_token : int
        The highest fencing token that the engine has received.
    """

    versions: tuple[Version, ...] = ()
    loading: tuple[Version, ...] = ()
    adapters: tuple[Version, ...] = ()
    role: str = ""
    fencing_token: int = 0

    def reflects(self, order: Order) -> bool:
        """Return whether an order has taken effect or is in progress."""
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
    """Client that reads the state of engines and sends them orders."""

    def read_state(self, upstream: Upstream) -> Result[EngineState, UpstreamError]:
        """Read the state that an engine reports."""

    def send(
        self, upstream: Upstream, order: Order, order_id: str, token: int
    ) -> Result[EngineState, UpstreamError]:
        """Send an order; ``Err(UpstreamRefusedError)`` for a stale token."""


class OrderPlan(msgspec.Struct, frozen=True):
    """Orders to send now, and reasons why others have to wait.

    Parameters
    ----------
    orders : tuple
        Pairs of an upstream and an order.
    waiting : tuple of str
        The reasons why other orders have to wait, for operators.
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
    """Plan the orders that reconcile a pool's engines with the pool's declaration.

    Parameters
    ----------
    pool : Pool
        A pool of engines.
    states : mapping
        The states of the engines that answered.
    unused_versions : set of Version
        Versions of earlier moves that nothing can use any more.
    available_loads : int
        Maximum number of loads that may start now.

    Returns
    -------
    OrderPlan
        The orders. A version is loaded in addition to the others. A version that
        running traffic may use is never unloaded, so a move does not reduce capacity.
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
        versions_to_unload = (unused_versions - {upstream.version}) & set(
            engine_state.versions
        )
        orders += [
            (upstream, Unload(version)) for version in sorted(versions_to_unload)
        ]
    return OrderPlan(tuple(orders), tuple(waiting))
