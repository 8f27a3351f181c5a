"""Notification of waiting green threads that something has changed."""

from eventlet.event import Event

from boragedeck.process.timers import TimerService

__all__ = ["Signal"]


class Signal:
    """Wakes all green threads that are waiting when it is notified."""

    def __init__(self) -> None:
        self._event: Event | None = None

    def notify(self) -> None:
        """Wake all green threads that are waiting."""
        event, self._event = self._event, None
        if event is not None:
            event.send(None)

    def wait(self, timers: TimerService, timeout_s: float) -> bool:
        """Wait for the next notification.

        Parameters
        ----------
        timers : TimerService
            Measures the timeout.
        timeout_s : float
            Maximum wait in seconds.

        Returns
        -------
        bool
            False if the timeout expired first.
        """
        if self._event is None:
            self._event = Event()
        return timers.wait(self._event, timeout_s)
