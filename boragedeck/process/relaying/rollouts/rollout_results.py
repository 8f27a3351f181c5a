"""Publishes the results of rollouts for the operators.

The row that the operators read is authoritative: it is written on condition that no
other router has ended the rollout, so the first result holds for all routers.
"""

from typing import Protocol

import msgspec
from result import Err, Ok, Result

from boragedeck.exceptions import StoreConflictError, StoreError
from boragedeck.ids import PoolName, Version
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.rollouts.rollout_state import RolloutState
from boragedeck.version.relay_rollouts import RolloutOrder, RolloutResult

__all__ = ["PublishedRollout", "ResultPublisher", "RolloutBoard"]

_log = PartLog("rollout")


class PublishedRollout(msgspec.Struct, frozen=True):
    """The published result of a rollout, and the version of its row.

    Parameters
    ----------
    to : Version or None
        The new version; None if nothing was published.
    result : RolloutResult
        The rollout's result so far.
    row_version : int
        The version of the row; 0 if there is none.
    """

    to: Version | None
    result: RolloutResult
    row_version: int


class RolloutBoard(Protocol):
    """Stores the results of rollouts for the operators."""

    def read(self, pool: PoolName) -> Result[PublishedRollout, StoreError]:
        """Return the published result of a pool's rollout."""

    def state(
        self, order: RolloutOrder, result: RolloutResult, row_version: int
    ) -> Result[int, StoreError]:
        """Publish a result if the row still has the version that was read."""


class ResultPublisher:
    """Publishes what this router decides, unless another router was first.

    Parameters
    ----------
    board : RolloutBoard
        Stores the results.
    """

    def __init__(self, board: RolloutBoard):
        self._board = board

    def publish(self, rollout: RolloutState) -> None:
        """Publish the decided result, unless another router has ended the rollout."""
        result = rollout.decided_result or RolloutResult.RUNNING
        if rollout.is_published and result is RolloutResult.RUNNING:
            return
        match self._board.read(rollout.order.pool):
            case Ok(published):
                self._write(rollout, published, result)
            case Err(error):
                _log_store_error(rollout, error)

    def _write(
        self, rollout: RolloutState, published: PublishedRollout, result: RolloutResult
    ) -> None:
        is_same_rollout = (
            published.to == rollout.order.to and published.row_version > rollout.number
        )
        if is_same_rollout and published.result is not RolloutResult.RUNNING:
            _accept(rollout, published.result)
            return
        if is_same_rollout and result is RolloutResult.RUNNING:
            rollout.is_published = True
            return
        written = self._board.state(rollout.order, result, published.row_version)
        match written:
            case Ok(_):
                _accept(rollout, result)
            case Err(StoreConflictError()):
                # Another router wrote first; the next tick reads its result.
                rollout.is_published = False
            case Err(error):
                _log_store_error(rollout, error)


def _accept(rollout: RolloutState, result: RolloutResult) -> None:
    rollout.is_published = True
    if result is not RolloutResult.RUNNING:
        rollout.decided_result = result
    rollout.result = result
    _log.write(
        "Rollout result published.", rollout=rollout.order.pool, result=result.value
    )


def _log_store_error(rollout: RolloutState, error: StoreError) -> None:
    _log.write(
        "Rollout store access failed.", rollout=rollout.order.pool, error=str(error)
    )
