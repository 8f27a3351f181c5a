"""Divides the rate of store transactions for commands among the routers."""

from collections.abc import Callable

__all__ = ["TransactionPacer", "transaction_interval_s"]

STORE_TRANSACTIONS_PER_S = 200
"""Maximum rate of all routers together for commands."""
MIN_INTERVAL_S = 0.01
MAX_INTERVAL_S = 0.5
MAX_BURST_TRANSACTIONS = 4
"""Maximum number of transactions that may start at once after an idle period."""


class TransactionPacer:
    """Decides when this router may start its next transaction.

    Parameters
    ----------
    routers : callable
        Returns the number of routers that share the store's transaction rate.

    Attributes
    ----------
    next_start : float
        Earliest start of the next transaction, on the timer service's monotonic clock.

    Notes
    -----
    Unused transactions may be made up later, at most `MAX_BURST_TRANSACTIONS` at
    once, so that rows that arrive singly are written without delay. The long-term
    rate is unchanged.
    """

    def __init__(self, routers: Callable[[], int]):
        self.next_start = float("-inf")
        self._routers = routers

    def started(self, now: float) -> None:
        """Record the start of a transaction."""
        interval_s = transaction_interval_s(self._routers())
        self.next_start = (
            max(self.next_start, now - MAX_BURST_TRANSACTIONS * interval_s) + interval_s
        )


def transaction_interval_s(routers: int) -> float:
    """Return the mean time between a router's transaction starts, in seconds.

    Parameters
    ----------
    routers : int
        Number of routers that share the store's transaction rate.
    """
    uncapped_interval_s = routers / STORE_TRANSACTIONS_PER_S
    return min(max(uncapped_interval_s, MIN_INTERVAL_S), MAX_INTERVAL_S)
