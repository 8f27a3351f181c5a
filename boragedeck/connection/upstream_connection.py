"""A connection to a replica: its socket, and the parser of its current exchange."""

import fcntl
import sys
import termios
from collections import deque
from collections.abc import Callable, Iterable

import eventlet
import h11
from eventlet.green import socket
from eventlet.hubs import trampoline

from boragedeck.connection.peer import Address
from boragedeck.connection.sent_requests import SentRequests

__all__ = ["DEFAULT_IDLE_S", "MAX_HEAD_BYTES", "UpstreamConnection"]

MAX_HEAD_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
STEPS_PER_YIELD = 32
"""Number of steps (events and reads) without a wait after which other green threads and
timeouts run; a replica may send faster than this process reads."""
STEPS_PER_READ = 8
"""Number of steps for which a read of `READ_BYTES` counts."""
SILENCE_S = 0.2
"""A wait for bytes that is longer than this is a silence."""
EARLY_ANSWER_CHECK_S = 0.05
"""How often it is seen, while a request isn't taken, whether it is answered already."""
DEFAULT_IDLE_S = 4.0
"""How long an idle connection is kept if its replica names no Keep-Alive timeout, in
seconds."""


def _ignore_arrival() -> None:
    """Do nothing; the default of `UpstreamConnection.on_arrival`."""


class UpstreamConnection:
    """A connection to a replica and the parser of its current exchange.

    Parameters
    ----------
    sock : socket
        The connected socket.
    address : Address
        The replica's address.
    now : callable
        Returns the time on the timer service's monotonic clock.

    Attributes
    ----------
    idle_s : float
        How long the connection may be idle after the last answer, in seconds.
    reusable_until : float
        Until when the connection may be reused, in monotonic seconds.
    on_arrival : callable
        Called whenever bytes have arrived.
    silent_s : float
        How long the silences were that have ended, without the first `SILENCE_S` of
        each, in seconds.
    sent : SentRequests
        The requests that the connection has carried.
    """

    def __init__(self, sock: socket.socket, address: Address, now: Callable[[], float]):
        self.sock = sock
        self.address = address
        self.parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._steps_since_wait = 0
        self.idle_s = DEFAULT_IDLE_S
        self.reusable_until = 0.0
        self.on_arrival: Callable[[], None] = _ignore_arrival
        self.silent_s = 0.0
        self._now = now
        # Since when bytes have been waited for; None while they arrive.
        self._waits_since: float | None = None
        self.sent = SentRequests()
        # What the replica hasn't taken of the current request.
        self._unsent: deque[memoryview] = deque()
        # How the connection broke, which the kernel reports once; None if unknown.
        self._error: OSError | None = None

    def is_open_and_empty(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        try:
            # `recv` of the green socket would block.
            self.sock.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as exc:
            self._error = exc
        return False

    @property
    def has_unsent(self) -> bool:
        """Whether a part of the current request hasn't been sent."""
        return bool(self._unsent)

    def has_untaken(self) -> bool:
        """Return whether the replica's host hasn't taken all of the current request.

        Notes
        -----
        False if the kernel doesn't say what is in its buffers.
        """
        if self._unsent:
            return True
        try:
            queued = fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(4))
        except OSError:
            return False
        return int.from_bytes(queued, sys.byteorder) > 0

    def send(self, parts: Iterable[memoryview]) -> None:
        """Send a request as far as it is taken at once; `send_rest` sends the rest."""
        self._unsent = deque(parts)
        with eventlet.Timeout(0, False):
            self.send_rest()

    def send_rest(self) -> None:
        """Wait until the request is sent, or until there are bytes to read.

        Notes
        -----
        A connection that broke may hold an answer that came before, so `receive` raises
        the error, once that is read.
        """
        while self._unsent and self._error is None:
            with eventlet.Timeout(EARLY_ANSWER_CHECK_S, False):
                self._send_part()
                continue
            if not self.is_open_and_empty():
                return

    def _send_part(self) -> None:
        try:
            count = self.sock.send(self._unsent[0])
        except OSError as exc:
            self._error = exc
            return
        part = self._unsent.popleft()[count:]
        if part:
            self._unsent.appendleft(part)

    def receive(self) -> bytes:
        """Wait for bytes; return an empty value at the end of the connection.

        Raises
        ------
        OSError
            If the connection was reset. The green socket's own method reports a reset
            as the end of the connection, and so does the kernel after a send has
            failed by it or a look at the connection has, so that a truncated answer
            without a length would look complete.
        """
        self.count_steps(STEPS_PER_READ)
        while True:
            try:
                data = self.sock.fd.recv(READ_BYTES)
            except BlockingIOError:
                self._steps_since_wait = 0
                if self._waits_since is None:
                    self._waits_since = self._now()
                trampoline(self.sock.fd, read=True)
                continue
            if data:
                self._note_arrival()
            elif self._error is not None:
                raise self._error
            return data

    def count_steps(self, steps: int = 1) -> None:
        """Count steps without a wait, and yield to other green threads when due."""
        self._steps_since_wait += steps
        if self._steps_since_wait >= STEPS_PER_YIELD:
            self._steps_since_wait = 0
            eventlet.sleep(0)

    def _note_arrival(self) -> None:
        if self._waits_since is not None:
            waited_s = self._now() - self._waits_since
            self.silent_s += max(0.0, waited_s - SILENCE_S)
            self._waits_since = None
        self.on_arrival()

    def shut_down(self) -> None:
        """Shut the connection down, which wakes the green thread that waits on it."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The replica has already closed the connection.
            pass

    def close(self) -> None:
        """Shut the connection down and close its socket."""
        self.shut_down()
        self.sock.close()
