"""Reserves the bytes of an answer that is read whole, as they arrive."""

from boragedeck.connection.reservation import Reservation
from boragedeck.exceptions import AnswerRoomError

__all__ = ["AnswerRoom"]

PIECEWISE_BYTES = 256 * 1024
"""From this size on, an answer of unknown length reserves the largest size at once, so
that few such answers are read at a time. Those that wait keep what they have."""
ROOM_MARGIN_S = 0.05
"""How long before the end of an attempt its wait for room ends, in seconds."""


class AnswerRoom:
    """Room for the answer of one attempt.

    Parameters
    ----------
    reservation : Reservation
        The reservation of the request.
    timeout_s : float
        How long the attempt may take, in seconds.

    Attributes
    ----------
    has_waited : bool
        Whether the replica wasn't read for a while, as there was no room.
    """

    def __init__(self, reservation: Reservation, timeout_s: float):
        self._reservation = reservation
        self._until = reservation.now + timeout_s - ROOM_MARGIN_S
        self._held = 0
        self.has_waited = False

    def hold(self, size: int, length: int | None, max_bytes: int) -> None:
        """Reserve what an answer needs that has reached a size.

        Parameters
        ----------
        size : int
            The bytes that have arrived.
        length : int or None
            The whole length; None if it isn't known.
        max_bytes : int
            The largest size of an answer.

        Raises
        ------
        AnswerRoomError
            If there is no room in time, or it is given up for others.
        """
        if size <= self._held:
            return
        needed = max(size, min(length or 0, max_bytes))
        if length is None and size > PIECEWISE_BYTES:
            needed = max(size, max_bytes)
        waits = self._reservation.room_waits
        is_held = self._reservation.take_answer(needed - self._held, self._until)
        self.has_waited |= self._reservation.room_waits > waits
        if not is_held:
            raise AnswerRoomError("no room for the answer", step="read body")
        self._held = needed

    def release(self) -> None:
        """Give the bytes back, as the answer isn't kept."""
        held, self._held = self._held, 0
        self._reservation.give_back_answer(held)
