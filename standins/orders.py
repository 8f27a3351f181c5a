"""Orders to a stand-in engine: load, unload, adapter and role."""

from typing import Literal

import msgspec

from boragedeck.process.timers import TimerService
from standins.behaviour import Behaviour

__all__ = ["Order", "OrderHandler", "OrdersView"]


class Order(msgspec.Struct, frozen=True):
    """An idempotent order.

    Parameters
    ----------
    kind : str
        The action to take.
    fencing_token : int
        Increases with each new holder of the right to give orders.
    version : str
        The model version, or the name of the adapter.
    role : str
        The new role.
    order_id : str
        Identifies the order for its sender.
    """

    kind: Literal["load", "unload", "adapter", "role"]
    fencing_token: int
    version: str = ""
    role: str = ""
    order_id: str = ""


class OrdersView(msgspec.Struct, frozen=True):
    """Models, role and fencing token that the engine reports."""

    versions: list[str]
    loading: list[str]
    adapters: list[str]
    role: str
    fencing_token: int


class OrderHandler:
    """Executes orders; keeps what is loaded and the last fencing token.

    Parameters
    ----------
    versions : list of str
        Model versions that are loaded at the start.
    load_s : float
        Duration of a load, in seconds.
    behaviour : Behaviour
        The engine's faults, such as fencing tokens that are not checked.
    timers : TimerService
        The source of time.
    """

    def __init__(
        self,
        versions: list[str],
        load_s: float,
        behaviour: Behaviour,
        timers: TimerService,
    ):
        self.behaviour = behaviour
        self.loads = 0
        self._load_s = load_s
        self._timers = timers
        self._versions = list(dict.fromkeys(versions))
        self._loading: list[str] = []
        self._adapters: list[str] = []
        self._role = ""
        self._fencing_token = 0

    def view(self) -> OrdersView:
        """Return what is loaded, the role and the fencing token."""
        return OrdersView(
            list(self._versions),
            list(self._loading),
            list(self._adapters),
            self._role,
            self._fencing_token,
        )

    def is_loaded(self, version: str) -> bool:
        """Return whether a version or adapter is loaded."""
        return version in self._versions or version in self._adapters

    def execute(self, order: Order) -> bool:
        """Execute an order; return False if its fencing token is stale."""
        is_stale = order.fencing_token < self._fencing_token
        if is_stale and self.behaviour.checks_fencing:
            return False
        self._fencing_token = order.fencing_token
        match order.kind:
            case "load":
                self._load(order.version)
            case "unload":
                self._unload(order.version)
            case "adapter" if order.version not in self._adapters:
                self._adapters.append(order.version)
            case "role":
                self._role = order.role
        return True

    def _load(self, version: str) -> None:
        if version in self._versions or version in self._loading:
            return
        self.loads += 1
        self._loading.append(version)
        self._timers.call_later(self._load_s, lambda: self._finish_load(version))

    def _finish_load(self, version: str) -> None:
        # The version may have been unloaded in the meantime.
        if version in self._loading:
            self._loading.remove(version)
            self._versions.append(version)

    def _unload(self, version: str) -> None:
        for names in (self._versions, self._loading, self._adapters):
            if version in names:
                names.remove(version)
