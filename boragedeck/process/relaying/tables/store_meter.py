"""Counts this router's calls to the store by kind, table and outcome."""

from collections import Counter

from boragedeck.connection.store import StoreCall
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.timers import TimerService

__all__ = ["StoreMeter"]

REPORT_INTERVAL_S = 10.0

_log = PartLog("store")


class StoreMeter:
    """Counts calls to the store for the metrics, and logs the sums.

    Parameters
    ----------
    timers : TimerService
        Schedules the log lines.
    metrics : RelayMetrics
        Holds the counters.
    """

    def __init__(self, timers: TimerService, metrics: RelayMetrics):
        self._timers = timers
        self._metrics = metrics
        self._counts: Counter[str] = Counter()
        self._is_changed = False

    def start(self) -> None:
        """Start to log the sums, each time that they have changed."""
        self._timers.subscribe(REPORT_INTERVAL_S, self.report)

    def note(self, call: StoreCall) -> None:
        """Count one call.

        Parameters
        ----------
        call : StoreCall
            The call, which has completed.
        """
        kind, outcome = call.kind.value, call.outcome
        table = "objects" if call.table is None else call.table.value
        self._metrics.store_calls.labels(kind, table, outcome).inc()
        self._counts[f"{kind} {table} {outcome}"] += 1
        self._is_changed = True

    def report(self) -> None:
        """Log the calls since the start by kind, table and outcome."""
        if self._is_changed:
            self._is_changed = False
            _log.write("Calls.", counts=dict(self._counts))
