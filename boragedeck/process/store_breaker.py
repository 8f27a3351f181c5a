"""Circuit breaker for the table service: calls fail fast while it is down."""

import random

from boragedeck.connection.store import Table, TableStore
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService

__all__ = ["StoreBreaker"]

FAILURES_TO_OPEN = 2
"""Number of failures, without a success in between, that open the breaker."""
FIRST_PROBE_DELAY_S = 0.5
MAX_PROBE_DELAY_S = 5.0
JITTER = 0.2
PROBE_KEY = "probe"

_log = PartLog("store")


class StoreBreaker:
    """Tracks whether the store is down (the breaker is open), and probes it meanwhile.

    Parameters
    ----------
    store : TableStore
        The store, which is probed by reading a row.
    timers : TimerService
        The source of time.
    rng : random.Random, optional
        The source of jitter.

    Notes
    -----
    One probe is in progress at a time. The delay between probes grows up to
    `MAX_PROBE_DELAY_S`, plus jitter. After a successful probe a single failure opens
    the breaker again.
    """

    def __init__(
        self, store: TableStore, timers: TimerService, rng: random.Random | None = None
    ):
        self._store = store
        self._timers = timers
        self._rng = rng or random.Random()
        self._failures = 0
        self._is_open = False
        self._probe_delay_s = FIRST_PROBE_DELAY_S
        self._next_probe_at = 0.0

    def allows(self) -> bool:
        """Return whether the store may be called."""
        return not self._is_open

    def retry_after_s(self) -> float:
        """Return after how many seconds a call may be retried."""
        if not self._is_open:
            return FIRST_PROBE_DELAY_S
        return max(FIRST_PROBE_DELAY_S, self._next_probe_at - self._timers.now())

    def succeeded(self) -> None:
        """Record that the store served a call."""
        self._failures = 0
        self._probe_delay_s = FIRST_PROBE_DELAY_S
        if self._is_open:
            self._close()

    def failed(self) -> None:
        """Record that the store failed to serve a call, or did not do so in time."""
        self._failures += 1
        if not self._is_open and self._failures >= FAILURES_TO_OPEN:
            self._is_open = True
            _log.write(
                "Circuit breaker open; probing the store.", failures=self._failures
            )
            self._schedule_probe()

    def _schedule_probe(self) -> None:
        delay_s = self._probe_delay_s * (1.0 + self._rng.uniform(-JITTER, JITTER))
        self._probe_delay_s = min(self._probe_delay_s * 2.0, MAX_PROBE_DELAY_S)
        self._next_probe_at = self._timers.now() + delay_s
        self._timers.call_later(delay_s, self._probe)

    def _probe(self) -> None:
        if not self._is_open:
            return
        if self._store.get(Table.INTENTS, PROBE_KEY).is_err():
            self._schedule_probe()
        elif self._is_open:
            self._failures = FAILURES_TO_OPEN - 1
            self._close()

    def _close(self) -> None:
        self._is_open = False
        _log.write("Circuit breaker closed; writes are allowed again.")
