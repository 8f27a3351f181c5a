"""The requests that are being relayed, and what a stop of the router ends of them.

A request whose answer hasn't begun is always answered: it isn't cut with its process.
"""

import enum
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

import eventlet

from boragedeck.exceptions import RouterStoppingError
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.threads import end_thread

__all__ = ["OpenRequest", "OpenRequests", "Stage"]

MAX_LOGGED = 64

_log = PartLog("relay")


class Stage(enum.Enum):
    """How far a request is."""

    WAITING = "waiting"
    """No attempt runs: it waits for a place, a turn, a repeat or a verdict."""
    AT_REPLICA = "at_replica"
    """An attempt runs, and the caller has no part of the answer."""
    ANSWERING = "answering"
    """The caller has a part of the answer."""


class OpenRequest(Protocol):
    """A request that is being relayed."""

    def stage(self) -> Stage:
        """Return how far it is."""

    def left_s(self) -> float:
        """Return the time until it is given up by itself, in seconds."""

    def needed_s(self) -> float:
        """Return how much time a wait must leave to serve it, in seconds."""

    def begin_interrupt(self) -> bool:
        """Return whether its handler may be ended, which is allowed once."""

    def log_fields(self) -> dict:
        """Return what the log says of it."""


class OpenRequests:
    """The requests that are being relayed."""

    def __init__(self):
        # The requests with the green threads that handle them.
        self._requests: dict[OpenRequest, eventlet.greenlet.greenlet] = {}

    @contextmanager
    def track(self, req: OpenRequest) -> Iterator[None]:
        """Keep a request among the open ones while the current thread handles it.

        Raises
        ------
        RouterStoppingError
            If the request is given up because the router stops.
        """
        self._requests[req] = eventlet.getcurrent()
        try:
            yield
        finally:
            self._requests.pop(req, None)

    def end_outlasting(self, left_s: float) -> None:
        """Give up the requests that wait and can't be served any more.

        Parameters
        ----------
        left_s : float
            How long requests can still be served, in seconds.
        """
        for req in list(self._requests):
            if req.stage() is Stage.WAITING and req.needed_s() > left_s:
                self._give_up(req)

    def end_unbegun(self, left_s: float) -> None:
        """Give up the requests whose answers haven't begun.

        Parameters
        ----------
        left_s : float
            How long requests can still be served, in seconds. One whose own time is
            over before gets its final answer then.

        Notes
        -----
        Those that wait come first, so that no place which the others leave is granted
        to them.
        """
        for stage in (Stage.WAITING, Stage.AT_REPLICA):
            for req in list(self._requests):
                if req.stage() is stage and req.left_s() > left_s:
                    self._give_up(req)

    def counts(self) -> dict[str, int]:
        """Return how many requests are at each stage."""
        counts = Counter(req.stage() for req in self._requests)
        return {stage.value: counts[stage] for stage in Stage}

    def log_unanswered(self) -> None:
        """Log the requests that the end of the process leaves without an answer."""
        for req in list(self._requests)[:MAX_LOGGED]:
            _log.write("Cut by the stop.", **req.log_fields())

    def _give_up(self, req: OpenRequest) -> None:
        thread = self._requests.pop(req, None)
        if thread is None or not req.begin_interrupt():
            # It has ended while another one was given up, or its caller has left.
            return
        _log.write("Given up by the stop.", **req.log_fields())
        end_thread(thread, RouterStoppingError("the router stops", step="relay"))
