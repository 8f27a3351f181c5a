"""Silences of a stand-in replica, whose connections stay open meanwhile."""

import eventlet
from eventlet.event import Event

__all__ = ["Silence"]


class Silence:
    """Lets a replica stand still: it neither reads nor answers, and loses nothing."""

    def __init__(self) -> None:
        self._ended: Event | None = None
        # The times that are to pass before the current silence ends.
        self._open_times = 0

    @property
    def is_on(self) -> bool:
        """Whether the replica is silent."""
        return self._ended is not None

    def begin(self) -> None:
        """Fall silent until `end` is called."""
        if self._ended is None:
            self._ended = Event()
            self._open_times = 0

    def end(self) -> None:
        """Go on."""
        ended, self._ended = self._ended, None
        if ended is not None:
            ended.send()

    def begin_for(self, seconds: float) -> None:
        """Fall silent for a time, in seconds, and return at once.

        Notes
        -----
        If several times overlap, the silence ends when all of them are over.
        """
        self.begin()
        self._open_times += 1
        eventlet.spawn_after(seconds, self._end_time, self._ended)

    def wait(self) -> None:
        """Wait until the replica isn't silent."""
        while self._ended is not None:
            self._ended.wait()

    def _end_time(self, ended: Event) -> None:
        if ended is not self._ended:
            # That silence was ended before.
            return
        self._open_times -= 1
        if not self._open_times:
            self.end()
