"""Broadcast that something has changed, for green threads that wait for it."""

from eventlet.event import Event

from boragedeck.process.timers import TimerService

__all__ = ["Signal"]


class Signal:
    """Wakes all green threads that wait at the time of a notification."""

    def __init__(self) -> None:
        self._event: Event | None = None

    def notify(self) -> None:
        """Wake whoever waits now."""
        event, self._event = self._event, None
        if event is not None:
            event.send(None)

    def wait(self, timers: TimerService, timeout_s: float) -> bool:
        """Wait for the next notification.

        Parameters
        ----------
        timers : TimerService
            The source of the timeout.
        timeout_s : float
            How long to wait, in seconds.

        Returns
        -------
        bool
            False where the time ran out first.
        """
        if self._event is None:
            self._event = Event()
        return timers.wait(self._event, timeout_s)
