"""Orders to a stand-in engine: load, unload, adapter and role."""

from typing import Literal

import msgspec

from boragedeck.process.timers import TimerService
from standins.behaviour import Behaviour

__all__ = ["Order", "OrderHandler", "OrdersView"]


class Order(msgspec.Struct, frozen=True):
    """An order, whose effect is the same when it is given again.

    Parameters
    ----------
    kind : str
        What to do.
    fencing_token : int
        Grows with each holder of the right to give orders.
    version : str
        The version, or the adapter's name.
    role : str
        The new role.
    order_id : str
        The sender's name for the order.
    """

    kind: Literal["load", "unload", "adapter", "role"]
    fencing_token: int
    version: str = ""
    role: str = ""
    order_id: str = ""


class OrdersView(msgspec.Struct, frozen=True):
    """What the engine says of itself to whoever gives orders."""

    versions: list[str]
    loading: list[str]
    adapters: list[str]
    role: str
    fencing_token: int


class OrderHandler:
    """What is loaded, and the highest fencing token seen.

    Parameters
    ----------
    versions : list of str
        Versions that are loaded at the start.
    load_s : float
        How long a load takes, in seconds.
    behaviour : Behaviour
        Says whether fencing tokens are checked.
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
        """Return what is loaded."""
        return OrdersView(
            list(self._versions),
            list(self._loading),
            list(self._adapters),
            self._role,
            self._fencing_token,
        )

    def is_loaded(self, version: str) -> bool:
        """Return whether a version or adapter can be used."""
        return version in self._versions or version in self._adapters

    def execute(self, order: Order) -> bool:
        """Carry an order out; False where its fencing token is stale."""
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
        # An unload may have come in the meantime.
        if version in self._loading:
            self._loading.remove(version)
            self._versions.append(version)

    def _unload(self, version: str) -> None:
        for names in (self._versions, self._loading, self._adapters):
            if version in names:
                names.remove(version)
