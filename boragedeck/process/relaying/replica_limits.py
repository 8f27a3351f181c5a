"""Limits that replicas in need name on the requests of all routers together."""

import enum

from boragedeck.process.logs import PartLog
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replica_state import KnownLimit, ReplicaState
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import RateLimit

__all__ = ["LimitChange", "ReplicaLimits"]

_log = PartLog("limits")


class LimitChange(enum.Enum):
    """How a router's knowledge of a replica's limit changes."""

    NAMED = "named"
    CHANGED = "changed"
    LIFTED = "lifted"


class ReplicaLimits:
    """The limits that replicas name, as this router knows them.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    metrics : RelayMetrics
        Counts the changes.
    """

    def __init__(self, timers: TimerService, metrics: RelayMetrics):
        self._timers = timers
        self._metrics = metrics

    def note_answer(self, state: ReplicaState, rate_limit: RateLimit | None) -> None:
        """Record what an answer of a replica says about its limit.

        Parameters
        ----------
        state : ReplicaState
            The replica that gave the answer.
        rate_limit : RateLimit or None
            The limit that the answer names. One that can't be parsed changes nothing.
        """
        if rate_limit is not None and rate_limit.per_s is None:
            _log.write(
                "Limit can't be parsed.",
                replica=state.replica.replica,
                named=rate_limit.text,
            )
            return
        per_s = None if rate_limit is None else rate_limit.per_s
        self._replace(state, KnownLimit(per_s, self._timers.now()), "its answer")

    def _replace(self, state: ReplicaState, known: KnownLimit, told_by: str) -> None:
        before, state.limit = state.limit, known
        if before.per_s == known.per_s:
            return
        change = _change(before, known)
        self._metrics.limit_changes.labels(change.value).inc()
        now = self._timers.now()
        _log.write(
            f"Limit {change.value}.",
            replica=state.replica.replica,
            born_ms=state.replica.born_ms,
            per_s=known.per_s,
            before_per_s=before.per_s,
            told_by=told_by,
            age_s=round(now - known.observed_at, 3),
        )


def _change(before: KnownLimit, known: KnownLimit) -> LimitChange:
    if before.per_s is None:
        return LimitChange.NAMED
    return LimitChange.LIFTED if known.per_s is None else LimitChange.CHANGED
