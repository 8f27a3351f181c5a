"""Decisions on requests that found no free place, for the log and the metrics."""

import msgspec

from boragedeck.ids import PoolName
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.scheduling.pool_scheduler import Forecast
from boragedeck.process.relaying.scheduling.waiter import QueueOutcome

__all__ = ["Decision", "log_decision"]

log = PartLog("queue")


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """That a request waits, or how its wait has ended.

    Parameters
    ----------
    outcome : QueueOutcome or None
        How the wait has ended; None if it begins.
    request_id : str
        The id of the request.
    pool : PoolName
        The pool.
    priority : int
        The request's priority.
    is_late : bool
        Whether its objective can't be met any more.
    work : float
        Its work; see `work_of`.
    forecast : Forecast
        What was expected when it arrived.
    waited_s, left_s : float
        How long it has waited, and how long it may still wait, in seconds.
    """

    outcome: QueueOutcome | None
    request_id: str
    pool: PoolName
    priority: int
    is_late: bool
    work: float
    forecast: Forecast
    waited_s: float
    left_s: float


def log_decision(decision: Decision) -> None:
    """Write one line about a decision."""
    forecast = decision.forecast
    log.write(
        _text(decision.outcome),
        request=decision.request_id,
        pool=decision.pool,
        priority=decision.priority,
        is_late=decision.is_late,
        work=round(decision.work, 3),
        outcome=None if decision.outcome is None else decision.outcome.value,
        ahead=forecast.ahead,
        ahead_work=round(forecast.ahead_work, 3),
        expected_s=round(forecast.wait_s, 3),
        waited_s=round(decision.waited_s, 3),
        left_s=round(decision.left_s, 3),
    )


def _text(outcome: QueueOutcome | None) -> str:
    match outcome:
        case None:
            return "Waits."
        case QueueOutcome.GRANTED:
            return "Place granted."
        case QueueOutcome.LEFT:
            return "Left."
    return "Turned away."
