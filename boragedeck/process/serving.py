"""Serving until a stop signal, common to both editions of the daemon."""

import signal
from typing import Protocol

import eventlet
from eventlet.event import Event

from boragedeck.process.observing.logs import PartLog

__all__ = ["serve_until", "stop_event"]

_log = PartLog("daemon")


class Drainable(Protocol):
    """A router that can stop without aborting requests."""

    def drain(self) -> None:
        """Return when all requests are answered or the drain period has ended."""


def stop_event() -> Event:
    """Return an event that is sent on the first SIGTERM or SIGINT."""
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: _send_once(stop))
    return stop


def serve_until(stop: Event, router: Drainable) -> None:
    """Wait for the stop event, then drain the router."""
    _log.write("Serving.")
    stop.wait()
    _log.write("Stopping.")
    router.drain()
    # Open connections must not delay the end of the process, which is immediate.
    _log.write("Stopped.")


def _send_once(event: Event) -> None:
    if not event.ready():
        eventlet.spawn_n(event.send, None)
