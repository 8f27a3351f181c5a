"""Finds out that the bytes of a stream complete no event."""

from boragedeck.connection.exchange import Exchange
from boragedeck.process.timers import TimerService
from boragedeck.version.routing import RouteRule

__all__ = ["EventTimeout"]

MIN_EVENT_TIMEOUT_S = 0.5
"""Lower limit of the time within which arriving bytes have to complete an event."""
REPORT_INTERVAL_S = 0.2
"""How often it is reported that no event is complete while that lasts."""


class EventTimeout:
    """Watches how long bytes arrive without completing an event.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    exchange : Exchange
        The exchange on which they arrive. Its silences don't count.
    rule : RouteRule
        The route, whose objectives give the limit.

    Attributes
    ----------
    stalled_at : float or None
        When bytes had arrived for too long since the last complete event, on the timer
        service's monotonic clock; None if they haven't.
    """

    def __init__(self, timers: TimerService, exchange: Exchange, rule: RouteRule):
        self._timers = timers
        self._exchange = exchange
        self._timeout_s = max(MIN_EVENT_TIMEOUT_S, rule.gap_goal_s or rule.goal_s)
        self._last_event_at_s = self._arriving_s()
        self._reported_at = float("-inf")
        self.stalled_at: float | None = None

    def is_report_due(self) -> bool:
        """Record that bytes without an event were read; return whether that is late.

        Notes
        -----
        A replica may be sound and make a long event, so this ends nothing.
        """
        if self._arriving_s() - self._last_event_at_s <= self._timeout_s:
            return False
        now = self._timers.now()
        if self.stalled_at is None:
            self.stalled_at = now
        if now - self._reported_at < REPORT_INTERVAL_S:
            return False
        self._reported_at = now
        return True

    def restart(self) -> None:
        """Count from now on, as an event is complete or the reader has been away."""
        self._last_event_at_s = self._arriving_s()
        self.stalled_at = None

    def _arriving_s(self) -> float:
        """Return the time without silences, in seconds, since some moment."""
        return self._timers.now() - self._exchange.silent_s
