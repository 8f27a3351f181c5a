"""Green threads that are ended from outside."""

from collections.abc import Callable
from contextlib import suppress

import eventlet
from eventlet.greenthread import GreenThread
from eventlet.hubs import get_hub
from eventlet.hubs.hub import BaseHub

__all__ = ["end_thread", "spawn_task"]


def spawn_task(function: Callable[..., None], *args: object) -> GreenThread:
    """Start a green thread whose result nobody needs, and that may be ended.

    Parameters
    ----------
    function : callable
        Called with `args` in the thread.

    Notes
    -----
    A green thread keeps the exception that has ended it, with all frames that it has
    passed and what they refer to. The thread of a task that `end_thread` ends returns.
    """
    return eventlet.spawn(_run_task, function, args)


def end_thread(
    thread: eventlet.greenlet.greenlet, error: BaseException | None = None
) -> None:
    """Throw an exception into a green thread, and let it clean up until it waits.

    Parameters
    ----------
    thread : greenlet
        The green thread; one that has ended already is left alone.
    error : BaseException, optional
        What is thrown; `GreenletExit` by default, and for a thread that hasn't started.

    Notes
    -----
    The thread gets the exception before any other one runs. `eventlet.kill` differs in
    that its wake-up of the current thread stays in the hub: if an exception is thrown
    into the current thread meanwhile, that wake-up ends its next wait, whatever it is.
    Nor does a socket that the thread waited for wake it as it cleans up; the hub may
    have found both this one and that of the current thread ready in one poll.
    """
    if thread.dead:
        return
    hub, current = get_hub(), eventlet.getcurrent()
    if not thread:
        error = None
        _note_not_started(thread)
    _forget_readiness(hub, thread)
    if current is hub.greenlet:
        thread.throw(error or eventlet.greenlet.GreenletExit())
        return
    hub.ensure_greenlet()
    wake_up = hub.schedule_call_global(0, current.switch)
    try:
        thread.throw(error or eventlet.greenlet.GreenletExit())
    finally:
        wake_up.cancel()


def _forget_readiness(hub: BaseHub, thread: eventlet.greenlet.greenlet) -> None:
    """Let the sockets that a thread waits for wake it no more."""
    for listeners in hub.listeners.values():
        for listener in listeners.values():
            if listener.greenlet is thread:
                # The thread removes it; the hub may have taken it for its next calls.
                listener.cb = _ignore


def _ignore(fileno: int) -> None:
    """Do nothing in place of a wake-up."""


def _note_not_started(thread: eventlet.greenlet.greenlet) -> None:
    """Tell those who wait for a thread that it won't run."""

    def exit_at_once() -> None:
        raise eventlet.greenlet.GreenletExit

    if isinstance(thread, GreenThread):
        # The exception is kept, and so would be the frames that have called `main`, but
        # for those outside of a greenlet of its own.
        stand_in = eventlet.greenlet.greenlet(thread.main)
        with suppress(eventlet.greenlet.GreenletExit):
            stand_in.switch(exit_at_once, (), {})


def _run_task(function: Callable[..., None], args: tuple[object, ...]) -> None:
    with suppress(eventlet.greenlet.GreenletExit):
        function(*args)
