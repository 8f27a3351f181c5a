"""A link with delay: passes bytes on to an address, each a fixed time later."""

import contextlib
from collections.abc import Callable

import eventlet
from eventlet.green import socket
from eventlet.queue import LightQueue

from standins.web import listen

__all__ = ["DelayedLink"]

READ_BYTES = 64 * 1024
MAX_CHUNKS = 1_024
"""Maximum number of chunks on their way in one direction."""


class DelayedLink:
    """Listens at an address of its own, and passes connections on.

    Parameters
    ----------
    target : tuple of str and int
        The address to which connections go.
    delay_s : float
        How long bytes and the ends of connections take in each direction, in seconds.
    clock : callable
        Returns the time in monotonic seconds.

    Notes
    -----
    A connection is accepted at once, also if nobody listens at the target; then it is
    closed after the delay.
    """

    def __init__(
        self, target: tuple[str, int], delay_s: float, clock: Callable[[], float]
    ):
        self._target = target
        self._delay_s = delay_s
        self._clock = clock
        self.listener = listen()
        self._threads = [eventlet.spawn(self._accept)]

    def close(self) -> None:
        """Stop listening; what is connected stays so until one side closes it."""
        self._threads[0].kill()
        self.listener.close()

    def _accept(self) -> None:
        while True:
            near, _ = self.listener.accept()
            eventlet.spawn_n(self._connect, near)

    def _connect(self, near: socket.socket) -> None:
        eventlet.sleep(self._delay_s)
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        ways = [(near, far), (far, near)]
        pumps = [eventlet.spawn(self._pass_on, *way) for way in ways]
        for pump in pumps:
            pump.wait()
        near.close()
        far.close()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        """Pass on what one side sends, until its end."""
        chunks: LightQueue = LightQueue(MAX_CHUNKS)
        writer = eventlet.spawn(self._write, chunks, sink)
        chunk = b"-"
        while chunk:
            try:
                chunk = source.recv(READ_BYTES)
            except OSError:
                chunk = b""
            chunks.put((self._clock() + self._delay_s, chunk))
        writer.wait()

    def _write(self, chunks: LightQueue, sink: socket.socket) -> None:
        """Write chunks when they are due; an empty one ends the direction."""
        chunk = b"-"
        while chunk:
            due, chunk = chunks.get()
            eventlet.sleep(max(0.0, due - self._clock()))
            # The other side may be closed; what is left is read and dropped.
            with contextlib.suppress(OSError):
                if chunk:
                    sink.sendall(chunk)
                else:
                    sink.shutdown(socket.SHUT_WR)
