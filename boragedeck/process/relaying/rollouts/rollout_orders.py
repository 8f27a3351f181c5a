"""Tells new rollout orders from those that a restored store shows again."""

import enum

import msgspec

from boragedeck.connection.store_version import StoreVersion, era_of, number_of
from boragedeck.ids import PoolName
from boragedeck.process.timers import TimerService
from boragedeck.version.relay_rollouts import RolloutOrder

__all__ = ["OrderHistory", "OrderKind"]

REWRITE_PERIOD_S = 5.0
"""How long after the store was restored the operators may write lost rows again."""
MAX_ORDERS_PER_POOL = 8


class OrderKind(enum.Enum):
    """What the row of an order means to a router that may know the order."""

    NEW = "new"
    KNOWN = "known"
    """The newest known order, under another version of its row."""
    SUPERSEDED = "superseded"
    """An order that a later one has replaced, from an older copy of the store."""


class _KnownOrder(msgspec.Struct):
    order: RolloutOrder
    version: StoreVersion


class OrderHistory:
    """The orders that this router has received.

    Parameters
    ----------
    timers : TimerService
        The source of time.

    Notes
    -----
    An order is named by the version of its row. When the store is restored from an
    older copy, the row of an earlier order may appear, and the operators write the
    newest one again, which gets another version.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._orders: dict[PoolName, list[_KnownOrder]] = {}
        self._restored_at = float("-inf")

    def note_restored(self) -> None:
        """Record that the store was restored from an older copy."""
        self._restored_at = self._timers.now()

    def receive(self, order: RolloutOrder, version: StoreVersion) -> OrderKind:
        """Record an order's row, and return what it means.

        Parameters
        ----------
        order : RolloutOrder
            The order.
        version : StoreVersion
            The version of its row.
        """
        known = self._orders.setdefault(order.pool, [])
        kind = self._classify(known, order, version)
        match kind:
            case OrderKind.NEW:
                known.append(_KnownOrder(order, version))
                del known[:-MAX_ORDERS_PER_POOL]
            case OrderKind.KNOWN:
                known[-1].version = version
        return kind

    def _classify(
        self, known: list[_KnownOrder], order: RolloutOrder, version: StoreVersion
    ) -> OrderKind:
        is_rewrite = self._timers.now() - self._restored_at < REWRITE_PERIOD_S
        if not known:
            return OrderKind.NEW
        newest = known[-1]
        is_later_era = era_of(version) > era_of(newest.version)
        if not (is_rewrite or is_later_era):
            return OrderKind.NEW
        if order == newest.order:
            return OrderKind.KNOWN
        for earlier in known[:-1]:
            is_same_row = number_of(version) == number_of(earlier.version)
            if order == earlier.order and (is_rewrite or is_same_row):
                return OrderKind.SUPERSEDED
        return OrderKind.NEW
