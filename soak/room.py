"""How many requests the replicas of a play have room for."""

from collections import deque

import eventlet
import msgspec

from scripts.table_changes import CALLS, ENGINES, SPARES

__all__ = ["OTHERS", "ROOMS", "Places", "Room"]

OTHERS = "others"
AMPLE_TOKENS = 88_000
FEW = {ENGINES: 2, SPARES: 2, CALLS: 2, OTHERS: 2}
FEW_RELEASED = 4
MAX_WAITING = 4
POLL_S = 0.05


class Room(msgspec.Struct, frozen=True):
    """The room of a play.

    Parameters
    ----------
    sizes : dict of str to int
        The number of replicas of each service.
    slots : int
        How many requests a replica runs at once.
    tokens : int
        The memory of an engine.
    large_body : float
        Share of the requests whose body, and so their prompt, is large.
    released : int
        How many streams are held back at a router that stops; see `soak.release`.
    row : str
        The row of the table of faults; empty if none.
    """

    sizes: dict[str, int]
    slots: int = 16
    tokens: int = AMPLE_TOKENS
    large_body: float = 0.15
    released: int = 40
    row: str = ""


ROOMS = (
    Room({ENGINES: 5, SPARES: 3, CALLS: 3, OTHERS: 2}),
    Room(FEW, slots=2, released=FEW_RELEASED, row="replica-scarce"),
    Room(
        FEW,
        tokens=10_000,
        large_body=0.5,
        released=FEW_RELEASED,
        row="replica-memory",
    ),
)


class Places:
    """The slots and the memory of a replica, with a short queue before them.

    Parameters
    ----------
    room : Room
        How much there is.
    """

    def __init__(self, room: Room):
        self._slots = room.slots
        self._tokens = room.tokens
        self._waiting: deque[object] = deque()

    def wait(self, tokens: int, may_wait) -> bool:
        """Take a slot and memory in turn; return whether there was room.

        Parameters
        ----------
        tokens : int
            The memory that the request needs.
        may_wait : callable
            Returns whether the request may wait on; may raise.
        """
        if len(self._waiting) >= MAX_WAITING:
            return False
        ticket = object()
        self._waiting.append(ticket)
        try:
            while self._waiting[0] is not ticket or not self._has_room(tokens):
                if not may_wait():
                    return False
                eventlet.sleep(POLL_S)
        finally:
            self._waiting.remove(ticket)
        self._slots -= 1
        self._tokens -= tokens
        return True

    def free(self, tokens: int) -> None:
        """Give a slot and memory back."""
        self._slots += 1
        self._tokens += tokens

    def _has_room(self, tokens: int) -> bool:
        return self._slots > 0 and self._tokens >= tokens
