"""Timer service: the only source of time and of scheduled calls in the process."""

import heapq
import itertools
import random
import time
from collections.abc import Callable
from typing import Protocol

import eliot
import eventlet
from eventlet.event import Event
from eventlet.hubs.hub import BaseHub

from boragedeck.process.threads import end_thread

__all__ = ["ManualTimers", "RealTimers", "Subscription", "TimerService"]


class Subscription:
    """A call that the timer service makes once or periodically.

    Parameters
    ----------
    callback : callable
        Called without arguments in its own green thread.
    """

    def __init__(self, callback: Callable[[], None]):
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Make no further calls."""
        self.cancelled = True


class TimerService(Protocol):
    """Interface of the timer service."""

    def now(self) -> float:
        """Return monotonic seconds, for intervals within this process."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for deadlines in tables."""

    def sleep(self, seconds: float) -> None:
        """Suspend the calling green thread."""

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call once after a delay."""

    def subscribe(
        self, interval_s: float, callback: Callable[[], None], *, jitter: float = 0.1
    ) -> Subscription:
        """Call periodically; calls don't overlap.

        An exception in a call is logged and does not end the later calls.

        Parameters
        ----------
        interval_s : float
            Seconds between the end of one call and the start of the next.
        callback : callable
            Called without arguments.
        jitter : float
            Maximum random deviation of each wait, as a share of the interval.
        """

    def wait(self, event: Event, timeout_s: float) -> bool:
        """Wait for an event; return False if the timeout expired first."""


class RealTimers:
    """Timer service on the machine's clocks.

    Parameters
    ----------
    rng : random.Random, optional
        The source of jitter.
    """

    def __init__(self, rng: random.Random | None = None):
        self._rng = rng or random.Random()

    now = staticmethod(time.monotonic)
    wall = staticmethod(time.time)
    sleep = staticmethod(eventlet.sleep)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call once after a delay."""
        sub = Subscription(callback)
        eventlet.spawn_after(max(0.0, delay_s), _call_if_active, sub)
        return sub

    def subscribe(
        self, interval_s: float, callback: Callable[[], None], *, jitter: float = 0.1
    ) -> Subscription:
        """Call periodically; see `TimerService.subscribe`."""
        sub = Subscription(callback)
        eventlet.spawn_n(self._repeat, sub, interval_s, jitter)
        return sub

    def wait(self, event: Event, timeout_s: float) -> bool:
        """Wait for an event; return False if the timeout expired first."""
        if event.ready():
            return True
        with eventlet.Timeout(max(0.0, timeout_s), False):
            event.wait()
            return True
        return False

    def _repeat(self, sub: Subscription, interval_s: float, jitter: float) -> None:
        while True:
            spread = self._rng.uniform(-jitter, jitter)
            eventlet.sleep(interval_s * (1.0 + spread))
            if sub.cancelled:
                return
            _call_logged(sub)


class ManualTimers:
    """Timer service for tests, whose time advances only by calls of `advance`.

    Parameters
    ----------
    start_s : float
        Initial value of both clocks, in seconds.
    """

    def __init__(self, start_s: float = 1_000_000.0):
        self._now = start_s
        self._order = itertools.count()
        self._scheduled: list[tuple[float, int, Subscription]] = []

    def now(self) -> float:
        """Return the manual time in seconds."""
        return self._now

    wall = now

    def sleep(self, seconds: float) -> None:
        """Suspend the calling green thread until the time has been advanced."""
        event = Event()
        self.call_later(seconds, event.send)
        event.wait()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call once after the time has been advanced by the delay."""
        sub = Subscription(callback)
        self._push(delay_s, sub)
        return sub

    def subscribe(
        self, interval_s: float, callback: Callable[[], None], *, jitter: float = 0.1
    ) -> Subscription:
        """Call periodically, without jitter."""
        sub = Subscription(callback)

        def call() -> None:
            _call_logged(sub)
            if not sub.cancelled:
                self._push(interval_s, repeat)

        repeat = Subscription(lambda: None if sub.cancelled else call())
        self._push(interval_s, repeat)
        return sub

    def wait(self, event: Event, timeout_s: float) -> bool:
        """Wait for an event; return False if the time reaches the timeout first."""
        if event.ready():
            return True
        done = Event()

        def finish(value: bool) -> None:
            if not done.ready():
                done.send(value)

        waiter = eventlet.spawn(lambda: (event.wait(), finish(True)))
        self.call_later(timeout_s, lambda: finish(False))
        try:
            return done.wait()
        finally:
            end_thread(waiter)

    def advance(self, seconds: float) -> None:
        """Advance the time, and make the calls that become due, in order.

        Parameters
        ----------
        seconds : float
            By how much to advance the time.
        """
        end = self._now + seconds
        _run_ready_threads()
        while self._scheduled and self._scheduled[0][0] <= end:
            due, _, sub = heapq.heappop(self._scheduled)
            self._now = max(self._now, due)
            eventlet.spawn_n(_call_if_active, sub)
            _run_ready_threads()
        self._now = end
        _run_ready_threads()

    def _push(self, delay_s: float, sub: Subscription) -> None:
        due = self._now + max(0.0, delay_s)
        heapq.heappush(self._scheduled, (due, next(self._order), sub))


def _call_if_active(sub: Subscription) -> None:
    if not sub.cancelled:
        sub.callback()


def _call_logged(sub: Subscription) -> None:
    # A failed call must not end the periodic calls.
    try:
        sub.callback()
    except Exception as exc:
        name = getattr(sub.callback, "__qualname__", repr(sub.callback))
        eliot.log_message("timers: call failed", call=name, error=repr(exc))


def _run_ready_threads(rounds: int = 20) -> None:
    hub = eventlet.hubs.get_hub()
    for _ in range(rounds):
        eventlet.sleep(0)
        if not _may_run_others(hub):
            return


def _may_run_others(hub: BaseHub) -> bool:
    """Return whether a green thread is ready, or a socket may make one ready."""
    if hub.get_readers() or hub.get_writers():
        return True
    now = hub.clock()
    soonest = hub.timers[:1] + hub.next_timers
    return any(due <= now for due, _ in soonest)
