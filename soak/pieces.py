"""Writes the pieces of a replica's answer as late and as jumbled as links may."""

import random
import time

import eventlet
import msgspec
from eventlet.green import socket

__all__ = ["PieceHabits", "PieceWriter"]

HOLD_S = 0.2, 1.5
"""How long bytes are held back, which then come at once."""
HOLD_SHARE = 0.15
"""Share of the pieces at which a stream that holds bytes back begins to."""
JOIN_SHARE = 0.7
"""Share of the pieces that come with the next one, in a stream that joins them."""
SPLIT_S = 0.02, 0.1
"""Time between the two parts of a write that is split."""


class PieceHabits(msgspec.Struct, frozen=True):
    """How the pieces of an answer are written.

    Parameters
    ----------
    holds : bool
        Bytes are held back at times, and then come at once.
    joins : bool
        Several pieces come in one write, also with the head or the end.
    splits : bool
        Writes are split anywhere, also in the middle of an event.
    """

    holds: bool = False
    joins: bool = False
    splits: bool = False


class PieceWriter:
    """Writes to a connection, in order and without a loss.

    Parameters
    ----------
    sock : socket
        The connection.
    habits : PieceHabits
        How the pieces are written.
    rng : random.Random
        Draws what is held back, joined and split.
    """

    def __init__(self, sock: socket.socket, habits: PieceHabits, rng: random.Random):
        self._sock = sock
        self._habits = habits
        self._rng = rng
        self._unwritten = b""
        self._held_until = 0.0

    def write(self, data: bytes) -> None:
        """Write a piece, now or with a later one."""
        self._unwritten += data
        if time.monotonic() < self._held_until:
            return
        is_held, self._held_until = bool(self._held_until), 0.0
        if is_held:
            self._flush()
        elif self._habits.holds and self._rng.random() < HOLD_SHARE:
            self._held_until = time.monotonic() + self._rng.uniform(*HOLD_S)
        elif not (self._habits.joins and self._rng.random() < JOIN_SHARE):
            self._flush()

    def end(self) -> None:
        """Write what is left, when it is no longer held back."""
        eventlet.sleep(max(0.0, self._held_until - time.monotonic()))
        self._flush()

    def _flush(self) -> None:
        data, self._unwritten = self._unwritten, b""
        if self._habits.splits and len(data) > 1:
            middle = self._rng.randrange(1, len(data))
            self._sock.sendall(data[:middle])
            eventlet.sleep(self._rng.uniform(*SPLIT_S))
            data = data[middle:]
        self._sock.sendall(data)
