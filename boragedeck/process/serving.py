"""What the daemon does alike in both of its editions."""

import signal
from typing import Protocol

import eventlet
from eventlet.event import Event

from boragedeck.process.logs import PartLog

__all__ = ["serve_until", "stop_event"]

_log = PartLog("daemon")


class Drainable(Protocol):
    """A router that can stop without cutting off a request."""

    def drain(self) -> None:
        """Return when all requests are answered, or the time to stop is over."""


def stop_event() -> Event:
    """Return an event that the first SIGTERM or SIGINT sends."""
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: _send_once(stop))
    return stop


def serve_until(stop: Event, router: Drainable) -> None:
    """Wait for the order to stop, and stop without cutting off a request."""
    _log.write("Serving.")
    stop.wait()
    _log.write("Stopping.")
    router.drain()
    # Connections that still stand must not hold the process, which ends at once.
    _log.write("Stopped.")


def _send_once(event: Event) -> None:
    if not event.ready():
        eventlet.spawn_n(event.send, None)
