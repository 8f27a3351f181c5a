"""Cancels answers that have been without a reader for a grace period."""

from typing import Protocol

from boragedeck.ids import RouteName
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.observing.metrics import Metrics
from boragedeck.process.timers import TimerService
from boragedeck.request.answer import Answer, Finish

__all__ = ["AbandonmentMonitor", "FixedGrace", "GracePolicy"]

_log = PartLog("abandonment")


class GracePolicy(Protocol):
    """Decides how long an answer without a reader continues to run."""

    def grace_s(self, route: RouteName) -> float:
        """Return the grace period of a route, in seconds."""

    def note_return(self, route: RouteName, after_s: float) -> None:
        """Record that a reader returned after `after_s` seconds."""

    def note_no_return(self, route: RouteName) -> None:
        """Record that no reader returned within the grace period."""


class FixedGrace:
    """A grace policy with the same grace period for all routes.

    Parameters
    ----------
    seconds : float
        The grace period.
    """

    def __init__(self, seconds: float = 5.0):
        self._seconds = seconds

    def grace_s(self, route: RouteName) -> float:
        """Return the fixed grace period, in seconds."""
        return self._seconds

    def note_return(self, route: RouteName, after_s: float) -> None:
        """Do nothing."""

    def note_no_return(self, route: RouteName) -> None:
        """Do nothing."""


class AbandonmentMonitor:
    """Counts the readers of each answer and cancels answers left without a reader.

    Parameters
    ----------
    grace : GracePolicy
        Decides how long to wait for a reader.
    timers : TimerService
        The source of time.
    metrics : Metrics
        Counts the tokens that no reader read.
    """

    def __init__(self, grace: GracePolicy, timers: TimerService, metrics: Metrics):
        self._grace = grace
        self._timers = timers
        self._metrics = metrics
        self._abandoned_at: dict[int, float] = {}

    def attach(self, answer: Answer) -> None:
        """Record that a reader was added."""
        answer.readers += 1
        abandoned_at = self._abandoned_at.pop(id(answer), None)
        if abandoned_at is not None:
            away_s = self._timers.now() - abandoned_at
            self._grace.note_return(answer.spec.route, away_s)

    def detach(self, answer: Answer) -> None:
        """Record that a reader has left; start the grace period if it was the last."""
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
        self._grace.note_no_return(answer.spec.route)
        unread = answer.end - answer.read_end
        self._metrics.unread_tokens.labels(answer.spec.route).inc(unread)
        _log.write(
            "Cancelling the answer, no reader came back.",
            answer=str(answer.key),
            unread=unread,
        )
        answer.end_with(Finish("cancelled"))
