"""Messages by which routers keep within the room of brittle replicas."""

from boragedeck.connection.messages import Message
from boragedeck.process.relaying.replicas.replica_state import Run

__all__ = ["ReleaseRoom", "RoomDecision", "TakeRoom"]


class TakeRoom(Message, frozen=True):
    """Requests a place at a brittle replica; answered with `RoomDecision`.

    Parameters
    ----------
    run : Run
        The run of the replica.
    slots : int
        Number of requests that it runs at once.
    rejections_per_s : float
        Number of rejections in a second that it bears.
    max_wait_s : float
        The longest time that the request can wait, in seconds.
    lease_s : float
        How long the request may take, in seconds.
    """

    run: Run
    slots: int
    rejections_per_s: float
    max_wait_s: float
    lease_s: float


class RoomDecision(Message, frozen=True):
    """Grants or denies a place.

    Parameters
    ----------
    lease : int
        The number of the lease; 0 if there is no room.
    """

    lease: int


class ReleaseRoom(Message, frozen=True):
    """Returns a place.

    Parameters
    ----------
    run : Run
        The run of the replica.
    lease : int
        The number of the lease.
    is_rejected : bool
        Whether the replica had no room for the request.
    """

    run: Run
    lease: int
    is_rejected: bool
