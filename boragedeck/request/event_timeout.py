"""Ends streams whose bytes complete no event."""

from boragedeck.connection.exchange import Exchange
from boragedeck.process.timers import TimerService
from boragedeck.request.events import EventExcessError
from boragedeck.version.routing import RouteRule

__all__ = ["EventTimeout"]

MIN_EVENT_TIMEOUT_S = 0.5
"""Lower limit of the time within which arriving bytes have to complete an event."""


class EventTimeout:
    """Limits how long bytes may arrive without completing an event.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    exchange : Exchange
        The exchange on which they arrive. Its silences don't count.
    rule : RouteRule
        The route, whose objectives give the limit.
    """

    def __init__(self, timers: TimerService, exchange: Exchange, rule: RouteRule):
        self._timers = timers
        self._exchange = exchange
        self._timeout_s = max(MIN_EVENT_TIMEOUT_S, rule.gap_goal_s or rule.goal_s)
        self._last_event_at_s = self._arriving_s()

    def note_read(self, *, has_event: bool) -> None:
        """Record that bytes have been read.

        Parameters
        ----------
        has_event : bool
            Whether they complete an event.

        Raises
        ------
        EventExcessError
            If bytes have arrived for too long since the last complete event.
        """
        if has_event:
            self.restart()
        elif self._arriving_s() - self._last_event_at_s > self._timeout_s:
            raise EventExcessError(
                "no complete event in time, though bytes keep arriving"
            )

    def restart(self) -> None:
        """Count from now on, as the reader has been away from the exchange."""
        self._last_event_at_s = self._arriving_s()

    def _arriving_s(self) -> float:
        """Return the time without silences, in seconds, since some moment."""
        return self._timers.now() - self._exchange.silent_s
