"""Orders to move a pool's traffic to another version, and their results."""

import enum

import msgspec

from boragedeck.ids import PoolName, Version

__all__ = ["RolloutOrder", "RolloutResult"]


class RolloutResult(enum.Enum):
    """How far a rollout is."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(msgspec.Struct, frozen=True):
    """Moves a pool's traffic to another version.

    Parameters
    ----------
    pool : PoolName
        The pool.
    to : Version
        The version that is to serve it.
    duration_s : float
        How long the move may take, in seconds.
    """

    pool: PoolName
    to: Version
    duration_s: float
