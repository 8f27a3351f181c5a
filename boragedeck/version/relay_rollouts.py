"""Orders to move a pool's traffic to another version, and their results."""

import enum

import msgspec

from boragedeck.ids import PoolName, Version

__all__ = ["RolloutOrder", "RolloutResult"]


class RolloutResult(enum.Enum):
    """State or outcome of a rollout."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to move a pool's traffic to another version.

    Parameters
    ----------
    pool : PoolName
        The pool.
    to : Version
        The version that will serve the pool.
    duration_s : float
        Maximum duration of the move, in seconds.
    """

    pool: PoolName
    to: Version
    duration_s: float
