"""Ends answers that nobody reads any more, after a grace time."""

from typing import Protocol

from boragedeck.ids import RouteName
from boragedeck.process.logs import PartLog
from boragedeck.process.metrics import Metrics
from boragedeck.process.timers import TimerService
from boragedeck.request.answer import Answer, Finish

__all__ = ["AbandonmentMonitor", "FixedGrace", "GracePolicy"]

_log = PartLog("abandonment")


class GracePolicy(Protocol):
    """Decides how long an answer without a reader goes on."""

    def grace_s(self, route: RouteName) -> float:
        """Return the grace time of a route, in seconds."""

    def returned(self, route: RouteName, after_s: float) -> None:
        """Note that a reader came back."""

    def gave_up(self, route: RouteName) -> None:
        """Note that no reader came back in time."""


class FixedGrace:
    """The same grace time for all routes.

    Parameters
    ----------
    seconds : float
        The grace time.
    """

    def __init__(self, seconds: float = 5.0):
        self._seconds = seconds

    def grace_s(self, route: RouteName) -> float:
        """Return the fixed time."""
        return self._seconds

    def returned(self, route: RouteName, after_s: float) -> None:
        """Learn nothing."""

    def gave_up(self, route: RouteName) -> None:
        """Learn nothing."""


class AbandonmentMonitor:
    """Counts the readers of each answer and cancels those left without one.

    Parameters
    ----------
    grace : GracePolicy
        Decides how long to wait.
    timers : TimerService
        The source of time.
    metrics : Metrics
        Counts tokens that nobody read.
    """

    def __init__(self, grace: GracePolicy, timers: TimerService, metrics: Metrics):
        self._grace = grace
        self._timers = timers
        self._metrics = metrics
        self._abandoned_at: dict[int, float] = {}

    def attach(self, answer: Answer) -> None:
        """Note that a reader has come."""
        answer.readers += 1
        abandoned_at = self._abandoned_at.pop(id(answer), None)
        if abandoned_at is not None:
            away_s = self._timers.now() - abandoned_at
            self._grace.returned(answer.spec.route, away_s)

    def detach(self, answer: Answer) -> None:
        """Note that a reader has gone."""
        answer.readers -= 1
        if answer.readers == 0 and answer.is_running:
            abandoned_at = self._timers.now()
            self._abandoned_at[id(answer)] = abandoned_at
            grace_s = self._grace.grace_s(answer.spec.route)
            self._timers.call_later(
                grace_s, lambda: self._cancel_if_abandoned(answer, abandoned_at)
            )

    def _cancel_if_abandoned(self, answer: Answer, abandoned_at: float) -> None:
        if self._abandoned_at.get(id(answer)) != abandoned_at:
            return
        del self._abandoned_at[id(answer)]
        if not answer.is_running:
            return
        self._grace.gave_up(answer.spec.route)
        unread = answer.end - answer.read_end
        self._metrics.unread_tokens.labels(answer.spec.route).inc(unread)
        _log.write("Nobody came back.", answer=str(answer.key), unread=unread)
        answer.end_with(Finish("cancelled"))
