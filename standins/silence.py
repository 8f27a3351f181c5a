"""Silences of a stand-in replica, whose connections stay open meanwhile."""

import eventlet
from eventlet.event import Event

__all__ = ["Silence"]


class Silence:
    """Lets a replica stand still: it neither reads nor answers, and loses nothing."""

    def __init__(self) -> None:
        self._ended: Event | None = None

    @property
    def is_on(self) -> bool:
        """Whether the replica is silent."""
        return self._ended is not None

    def begin(self) -> None:
        """Fall silent until `end` is called."""
        if self._ended is None:
            self._ended = Event()

    def end(self) -> None:
        """Go on."""
        ended, self._ended = self._ended, None
        if ended is not None:
            ended.send()

    def begin_for(self, seconds: float) -> None:
        """Fall silent for a time, in seconds, and return at once."""
        self.begin()
        eventlet.spawn_after(seconds, self.end)

    def wait(self) -> None:
        """Wait until the replica isn't silent."""
        while self._ended is not None:
            self._ended.wait()
