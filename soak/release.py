"""Holds first events back until about the moment of a stop's final answers."""

import time
from collections.abc import Callable

import eventlet
import msgspec

from soak.history import Call

__all__ = ["RELEASE_EVENTS", "Release"]

RELEASE_EVENTS = 3, 6, 10
POLL_S = 0.05


class Release(msgspec.Struct, frozen=True):
    """The moment at which the first events of a router's streams come at once.

    Parameters
    ----------
    router : int
        The router, which is being stopped.
    begin : float
        Streams that were sent before go their own way, in monotonic seconds.
    at : float
        The moment, in monotonic seconds.
    """

    router: int
    begin: float
    at: float

    def holds(self, call: Call) -> bool:
        """Return whether the first event of a stream is held back now."""
        is_held = call.is_held and call.router == self.router
        return is_held and self.begin <= call.sent and time.monotonic() < self.at

    def wait(self, check: Callable[[], None]) -> None:
        """Wait for the moment.

        Parameters
        ----------
        check : callable
            Raises an error if the stream's caller has left.
        """
        while (left_s := self.at - time.monotonic()) > 0.0:
            eventlet.sleep(min(left_s, POLL_S))
            check()
