"""Claims room at one engine for a large request that fits nowhere.

Handles smaller requests that take all memory as it is freed, here and at other routers,
so that a large one would never find enough of it.
"""

from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.relaying.replicas.replica_state import Load, ReplicaState

__all__ = ["MemoryClaim", "is_large"]


class MemoryClaim:
    """Room that is counted as taken, at this router and by the exchanged loads.

    Parameters
    ----------
    state : ReplicaState
        The engine.
    req : AdmissionRequest
        The request.
    until : float
        When the claim is given up, on the timer service's clock.
    """

    def __init__(self, state: ReplicaState, req: AdmissionRequest, until: float):
        self.state = state
        self.until = until
        self._load = Load(1, 0, req.tokens)
        self._is_counted = False
        self.count()

    def count(self) -> None:
        """Count the room as taken; further calls have no effect."""
        if not self._is_counted:
            self._is_counted = True
            self.state.own.add(self._load)

    def release(self) -> None:
        """Count the room as taken no more; further calls have no effect."""
        if self._is_counted:
            self._is_counted = False
            self.state.own.add(self._load, -1)

    def is_valid(self, now: float) -> bool:
        """Return whether the engine may still take the request in time."""
        return now < self.until and self.state.can_accept(now)


def is_large(req: AdmissionRequest, states: list[ReplicaState]) -> bool:
    """Return whether a request takes more memory than the mean running request.

    Notes
    -----
    Any other request fits into the memory that one request frees.
    """
    running = sum(state.running for state in states)
    tokens = sum(state.tokens for state in states)
    is_engine = req.pool.engine is not None
    return is_engine and running > 0 and req.tokens * running > tokens
