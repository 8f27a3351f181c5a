"""Publishes the status of rollouts in the platform's table for operators."""

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.store import Put, Row, Table
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import StoreError
from boragedeck.ids import PoolName, Version
from boragedeck.platform.store import PlatformStore
from boragedeck.process.relaying.rollouts.rollout_results import PublishedRollout
from boragedeck.version.relay_rollouts import RolloutOrder, RolloutResult

__all__ = ["PlatformRolloutBoard"]

KEY_PREFIX = "rollout/"


class _Status(msgspec.Struct):
    service: str
    to: str
    state: str


class PlatformRolloutBoard:
    """`RolloutBoard` on the platform's table of rollout statuses.

    Parameters
    ----------
    store : PlatformStore
        The platform's store.
    """

    def __init__(self, store: PlatformStore):
        self._store = store

    def read(self, pool: PoolName) -> Result[PublishedRollout, StoreError]:
        """See `RolloutBoard.read`."""
        return self._store.get(Table.ROLLOUT_STATUS, KEY_PREFIX + pool).map(
            _decode_status
        )

    def state(
        self, order: RolloutOrder, result: RolloutResult, row_version: int
    ) -> Result[int, StoreError]:
        """See `RolloutBoard.state`."""
        body = msgspec.json.encode(_Status(order.pool, order.to, result.value))
        write = Put(Table.ROLLOUT_STATUS, KEY_PREFIX + order.pool, body, row_version)
        match self._store.commit([write]):
            case Ok([version]):
                return Ok(version)
            case failed:
                return Err(failed.err())


def _decode_status(row: Row | None) -> PublishedRollout:
    if row is None:
        return PublishedRollout(None, RolloutResult.RUNNING, 0)
    try:
        status = msgspec.json.decode(row.value, type=_Status)
        result = RolloutResult(status.state)
    except (*DECODE_ERRORS, ValueError):
        # An invalid row, written by another program, will be replaced.
        return PublishedRollout(None, RolloutResult.RUNNING, row.version)
    return PublishedRollout(Version(status.to), result, row.version)
