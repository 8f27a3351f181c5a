"""Moves pools to new versions by the operators' orders, or takes the moves back.

Any router may take a move back on the evidence of all routers. The row that the
operators read decides: it is written under the condition that no other router has
ended the rollout, so the first result holds for all.
"""

import random
from collections.abc import Callable
from typing import Protocol

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.store import Change
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import StoreConflictError, StoreError, TableError
from boragedeck.ids import PoolName, Version
from boragedeck.interfaces import FactBoard, Sample
from boragedeck.process.logs import PartLog
from boragedeck.process.relaying.rollout_plan import finish_at, share_at
from boragedeck.process.relaying.settings import Bounds
from boragedeck.process.relaying.table_mirror import TableMirror
from boragedeck.process.timers import TimerService
from boragedeck.version.evidence import Evidence
from boragedeck.version.judgement import (
    UpstreamCounts,
    group_score,
    is_rejected,
    make_rejection,
)
from boragedeck.version.relay_rollouts import RolloutOrder, RolloutResult
from boragedeck.version.replicas import Replica

__all__ = ["RelayRollouts", "RolloutBoard", "StatedRollout"]

TICK_S = 0.5
EVIDENCE_TTL_S = 120.0
MAX_FINISH_DELAY_S = 1.0
"""Routers end a rollout at different times, so that most find it ended."""

_log = PartLog("rollout")


class StatedRollout(msgspec.Struct, frozen=True):
    """What the operators read of a rollout, and the version of its row.

    Parameters
    ----------
    to : Version or None
        The version it is about; None where nothing was stated.
    result : RolloutResult
        How far it is.
    row_version : int
        The version of the row; 0 where there is none.
    """

    to: Version | None
    result: RolloutResult
    row_version: int


class RolloutBoard(Protocol):
    """Where the operators read how far rollouts are."""

    def read(self, pool: PoolName) -> Result[StatedRollout, StoreError]:
        """Return what is stated of a pool's rollout."""

    def state(
        self, order: RolloutOrder, result: RolloutResult, row_version: int
    ) -> Result[int, StoreError]:
        """State a result, if the row still has the version that was read."""


class _Rollout:
    """One order as this router carries it out."""

    def __init__(self, order: RolloutOrder, number: int, began: float, delay_s: float):
        self.order = order
        self.number = number
        self.began = began
        self.finish_at = finish_at(began, order.duration_s) + delay_s
        self.result = RolloutResult.RUNNING
        self.wanted: RolloutResult | None = None
        self.is_stated = False
        self.evidence = Evidence()

    def elapsed(self, now: float) -> float:
        """Return how much of its time has passed."""
        return (now - self.began) / max(0.001, self.order.duration_s)


class RelayRollouts:
    """Carries out the operators' orders in this router.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    rng : random.Random
        Deals out requests.
    mirror : TableMirror
        Where the orders are.
    prefix : str
        Begins the keys of orders.
    decode : callable
        Decodes an order.
    board : RolloutBoard
        Where results are stated.
    facts : FactBoard
        Spreads evidence and stops.
    bounds : callable
        Returns the operators' bounds.
    replicas : callable
        Returns the replicas of a pool that take work.
    """

    def __init__(
        self,
        timers: TimerService,
        rng: random.Random,
        mirror: TableMirror,
        prefix: str,
        decode: Callable[[bytes], Result[RolloutOrder, TableError]],
        board: RolloutBoard,
        facts: FactBoard,
        bounds: Callable[[], Bounds],
        replicas: Callable[[PoolName], list[Replica]],
    ):
        self._timers = timers
        self._rng = rng
        self._prefix = prefix
        self._decode = decode
        self._board = board
        self._facts = facts
        self._bounds = bounds
        self._replicas = replicas
        self._rollouts: dict[PoolName, _Rollout] = {}
        mirror.subscribe(self._take_order)
        facts.subscribe(FactTopic.ROLLOUT_STOP, self._take_stop)

    def start(self) -> None:
        """Carry out orders from now on."""
        self._timers.subscribe(TICK_S, self.tick)

    def allows(self, pool: PoolName) -> Callable[[Replica], bool]:
        """Decide for one request which replicas of a pool may serve it."""
        rollout = self._rollouts.get(pool)
        if rollout is None:
            return _any_replica
        elapsed = rollout.elapsed(self._timers.now())
        share = share_at(elapsed, self._bounds().exposure_share, rollout.result)
        if rollout.wanted is RolloutResult.ROLLED_BACK:
            share = 0.0
        to, is_new = rollout.order.to, self._rng.random() < share
        return lambda replica: (replica.version == to) == is_new

    def note(self, replica: Replica, sample: Sample) -> None:
        """Take how a request went at a replica."""
        rollout = self._rollouts.get(replica.pool)
        if rollout is None or rollout.result is not RolloutResult.RUNNING:
            return
        is_new = replica.version == rollout.order.to
        rollout.evidence.add(sample, is_new=is_new, is_late=False)

    def tick(self) -> None:
        """Spread evidence, judge, and state what is decided."""
        for rollout in list(self._rollouts.values()):
            if rollout.is_stated and rollout.result is not RolloutResult.RUNNING:
                continue
            self._spread(rollout)
            self._judge(rollout)
            self._state(rollout)

    def _take_order(self, change: Change) -> None:
        if not change.key.startswith(self._prefix) or change.value is None:
            return
        decoded = self._decode(change.value)
        if decoded.is_err():
            _log.write("Order can't be read.", error=str(decoded.err()))
            return
        order = decoded.ok()
        delay_s = self._rng.uniform(0.0, MAX_FINISH_DELAY_S)
        rollout = _Rollout(order, change.version, self._timers.now(), delay_s)
        self._rollouts[order.pool] = rollout
        _log.write(
            "Order taken.",
            rollout=order.pool,
            to=order.to,
            duration_s=order.duration_s,
            row_version=change.version,
        )

    def _spread(self, rollout: _Rollout) -> None:
        key = f"{rollout.order.pool}/{rollout.number}"
        body = msgspec.msgpack.encode(rollout.evidence)
        self._facts.publish(FactTopic.ROLLOUT_EVIDENCE, key, body, ttl_s=EVIDENCE_TTL_S)

    def _judge(self, rollout: _Rollout) -> None:
        if rollout.wanted is not None:
            return
        total = self._total(rollout)
        score = group_score(total, self._room(rollout.order))
        if is_rejected(score):
            self._want(
                rollout, RolloutResult.ROLLED_BACK, make_rejection(score, total).reason
            )
            self._facts.publish(
                FactTopic.ROLLOUT_STOP, f"{rollout.order.pool}/{rollout.number}", b""
            )
        elif self._timers.now() >= rollout.finish_at:
            self._want(rollout, RolloutResult.COMPLETED, "no evidence against it")

    def _room(self, order: RolloutOrder) -> UpstreamCounts:
        replicas = self._replicas(order.pool)
        new = sum(replica.version == order.to for replica in replicas)
        return UpstreamCounts(max(1, new), max(1, len(replicas) - new))

    def _total(self, rollout: _Rollout) -> Evidence:
        key = f"{rollout.order.pool}/{rollout.number}"
        total = Evidence()
        total.merge(rollout.evidence)
        for fact in self._facts.facts(FactTopic.ROLLOUT_EVIDENCE):
            if fact.key != key or fact.origin == self._facts.own:
                continue
            try:
                total.merge(msgspec.msgpack.decode(fact.body, type=Evidence))
            except DECODE_ERRORS as exc:
                _log.write("Evidence can't be read.", rollout=key, error=str(exc))
        return total

    def _want(self, rollout: _Rollout, result: RolloutResult, reason: str) -> None:
        rollout.wanted = result
        _log.write(
            "Decided.",
            rollout=rollout.order.pool,
            to=rollout.order.to,
            result=result.value,
            reason=reason,
            elapsed=round(rollout.elapsed(self._timers.now()), 3),
        )

    def _take_stop(self, fact: Fact) -> None:
        for rollout in self._rollouts.values():
            if fact.key == f"{rollout.order.pool}/{rollout.number}":
                if rollout.wanted is not RolloutResult.ROLLED_BACK:
                    reason = f"stopped by {fact.origin}"
                    self._want(rollout, RolloutResult.ROLLED_BACK, reason)

    def _state(self, rollout: _Rollout) -> None:
        """State what is decided, unless another router has ended the rollout."""
        result = rollout.wanted or RolloutResult.RUNNING
        if rollout.is_stated and result is RolloutResult.RUNNING:
            return
        match self._board.read(rollout.order.pool):
            case Ok(stated):
                self._write(rollout, stated, result)
            case Err(error):
                self._log_store(rollout, error)

    def _write(
        self, rollout: _Rollout, stated: StatedRollout, result: RolloutResult
    ) -> None:
        is_same = stated.to == rollout.order.to and stated.row_version > rollout.number
        if is_same and stated.result is not RolloutResult.RUNNING:
            self._adopt(rollout, stated.result)
            return
        if is_same and result is RolloutResult.RUNNING:
            rollout.is_stated = True
            return
        written = self._board.state(rollout.order, result, stated.row_version)
        match written:
            case Ok(_):
                self._adopt(rollout, result)
            case Err(StoreConflictError()):
                # Another router was sooner; the next tick reads what it stated.
                rollout.is_stated = False
            case Err(error):
                self._log_store(rollout, error)

    def _adopt(self, rollout: _Rollout, result: RolloutResult) -> None:
        rollout.is_stated = True
        if result is not RolloutResult.RUNNING:
            rollout.wanted = result
        rollout.result = result
        _log.write("Stated.", rollout=rollout.order.pool, result=result.value)

    def _log_store(self, rollout: _Rollout, error: StoreError) -> None:
        _log.write("Store failed.", rollout=rollout.order.pool, error=str(error))


def _any_replica(replica: Replica) -> bool:
    return True
