"""Timers that fire late, as on a machine whose core is used up at times."""

import time

import eventlet

from tests.support.steady_clock import SteadyTimers

__all__ = ["CoreUse", "LateTimers"]

MAX_LATE_S = 0.15
"""By how much a timer is late at most, in seconds."""
MAX_FREE_S = 0.15
"""How long the core is free at most between two uses, in seconds."""


class LateTimers(SteadyTimers):
    """Timer service that wakes its users late.

    Parameters
    ----------
    rng : random.Random
        The source of delays.
    """

    def _late(self, seconds):
        return seconds + self._rng.uniform(0.0, MAX_LATE_S)

    def sleep(self, seconds):
        """Suspend the calling green thread for longer than asked."""
        eventlet.sleep(self._late(seconds))

    def call_later(self, delay_s, callback):
        """Call once, later than asked."""
        return super().call_later(self._late(max(0.0, delay_s)), callback)

    def subscribe(self, interval_s, callback, *, jitter=0.1):
        """Call periodically, each time later than asked."""

        def call_late():
            eventlet.sleep(self._rng.uniform(0.0, MAX_LATE_S))
            callback()

        return super().subscribe(interval_s, call_late, jitter=jitter)

    def wait(self, event, timeout_s):
        """Wait for an event; a timeout is noticed late."""
        return super().wait(event, self._late(max(0.0, timeout_s)))


class CoreUse:
    """Uses up the core at random, so that nothing else runs meanwhile.

    Parameters
    ----------
    rng : random.Random
        The source of the times.

    Attributes
    ----------
    uses : int
        How often the core was used up.
    """

    def __init__(self, rng):
        self._rng = rng
        self.uses = 0
        self._thread = eventlet.spawn(self._run)

    def stop(self):
        """Leave the core free."""
        self._thread.kill()

    def _run(self):
        while True:
            eventlet.sleep(self._rng.uniform(0.0, MAX_FREE_S))
            until = time.process_time() + self._rng.uniform(0.0, MAX_LATE_S)
            while time.process_time() < until:
                pass
            self.uses += 1
