"""Rolls pools out to new versions by the operators' orders, or rolls them back.

Any router may roll back on the evidence of all routers.
"""

import random
from collections.abc import Callable

from result import Result

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.store import Change
from boragedeck.exceptions import TableError
from boragedeck.ids import FailureDomain, PoolName
from boragedeck.interfaces import FactBoard, RunSample
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.rollouts.rollout_exchange import (
    RolloutExchange,
    concerns,
)
from boragedeck.process.relaying.rollouts.rollout_judge import RolloutJudge
from boragedeck.process.relaying.rollouts.rollout_orders import OrderHistory, OrderKind
from boragedeck.process.relaying.rollouts.rollout_plan import (
    share_at,
    trial_share,
    usual_trial_share,
)
from boragedeck.process.relaying.rollouts.rollout_results import (
    ResultPublisher,
    RolloutBoard,
)
from boragedeck.process.relaying.rollouts.rollout_state import RolloutState, WaitingRun
from boragedeck.process.relaying.settings import Bounds
from boragedeck.process.relaying.sliding_window_counter import SlidingWindowCounter
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import TimerService
from boragedeck.version.relay_rollouts import RolloutOrder, RolloutResult
from boragedeck.version.replicas import Replica

__all__ = ["RelayRollouts"]

TICK_S = 0.5
RATE_WINDOW_S = 10.0
"""Time over which a router counts its requests, to estimate those of all routers."""
MAX_FINISH_DELAY_S = 1.0
"""Routers end a rollout at random delays, so that most find it already ended."""

_log = PartLog("rollout")


class RelayRollouts:
    """Carries out the operators' orders in this router.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    rng : random.Random
        Chooses which requests go to the new version.
    mirror : TableMirror
        Local copy of the table with the orders.
    prefix : str
        Prefix of the keys of orders.
    decode : callable
        Decodes an order.
    board : RolloutBoard
        Stores the results.
    facts : FactBoard
        Publishes evidence and stops to the other routers.
    bounds : callable
        Returns the operators' bounds.
    replicas : callable
        Returns the replicas of a pool that accept requests.
    routers : callable
        Returns the number of routers, with this one.
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
        routers: Callable[[], int],
    ):
        self._timers = timers
        self._rng = rng
        self._prefix = prefix
        self._decode = decode
        self._exchange = RolloutExchange(facts)
        self._judge = RolloutJudge(timers, self._exchange, replicas)
        self._publisher = ResultPublisher(board)
        self._bounds = bounds
        self._replicas = replicas
        self._routers = routers
        self._requests = SlidingWindowCounter(timers)
        self._rollouts: dict[PoolName, RolloutState] = {}
        self._orders = OrderHistory(timers)
        mirror.subscribe_restored(self._orders.note_restored)
        mirror.subscribe(self._on_order)
        facts.subscribe(FactTopic.ROLLOUT_STOP, self._on_stop)

    def start(self) -> None:
        """Start to carry out orders."""
        self._timers.subscribe(TICK_S, self.tick)

    def replica_filter(self, pool: PoolName) -> Callable[[Replica], bool]:
        """Return which replicas of a pool may serve one request, as a predicate.

        Notes
        -----
        The request keeps the side that is drawn for it while the rollout runs. Then it
        may be served by the version that is left, since a stream may outlast the
        replicas at which it began. While a later order is carried out, it has the old
        side of that one. If it arrived before any order, all versions may serve it.
        """
        self._requests.note(pool)
        return self.draw_filter(pool)

    def draw_filter(self, pool: PoolName) -> Callable[[Replica], bool]:
        """Return what `replica_filter` does, for a request that isn't sent."""
        rollout = self._rollouts.get(pool)
        is_new = rollout is not None and self._rng.random() < self._share(rollout)
        return lambda replica: self._may_serve(replica, pool, rollout, is_new)

    def note(self, replica: Replica, sample: RunSample) -> None:
        """Add the outcome of a request at a replica to the evidence."""
        rollout = self._rollouts.get(replica.pool)
        if rollout is None or rollout.result is not RolloutResult.RUNNING:
            return
        is_new = replica.version == rollout.order.to
        rollout.evidence.add(sample, is_new=is_new, is_late=False)

    def begin(self, replica: Replica, domain: FailureDomain) -> WaitingRun:
        """Record that a request is sent to a replica; `end` it in any case."""
        run = WaitingRun(replica, domain, self._timers.now())
        rollout = self._rollouts.get(replica.pool)
        if rollout is not None and rollout.result is RolloutResult.RUNNING:
            rollout.waiting.add(run)
        return run

    def end(self, run: WaitingRun, *, has_outcome: bool) -> None:
        """Record that a request has output or has ended; no effect if repeated.

        Parameters
        ----------
        run : WaitingRun
            The request.
        has_outcome : bool
            Whether `note` counts it. Otherwise its age counts: its caller left, or its
            time was over.
        """
        rollout = self._rollouts.get(run.replica.pool)
        if rollout is None or run not in rollout.waiting:
            return
        rollout.waiting.remove(run)
        if not has_outcome:
            is_new = run.replica.version == rollout.order.to
            age_s = self._timers.now() - run.since
            rollout.evidence.add_waiting(run.domain, age_s, is_new=is_new)

    def tick(self) -> None:
        """Publish evidence, judge the new versions, and publish the results."""
        for rollout in list(self._rollouts.values()):
            if rollout.is_published and rollout.result is not RolloutResult.RUNNING:
                continue
            evidence = rollout.evidence_at(self._timers.now())
            self._exchange.publish_evidence(rollout, evidence)
            self._judge.judge(rollout)
            self._publisher.publish(rollout)

    def _on_order(self, change: Change) -> None:
        if not change.key.startswith(self._prefix) or change.value is None:
            return
        decoded = self._decode(change.value)
        if decoded.is_err():
            _log.write("Rollout order can't be decoded.", error=str(decoded.err()))
            return
        order = decoded.ok()
        match self._orders.receive(order, change.version):
            case OrderKind.NEW:
                self._start_rollout(order, change)
            case OrderKind.KNOWN:
                self._renumber(self._rollouts[order.pool], change)
            case OrderKind.SUPERSEDED:
                _log.write(
                    "Superseded rollout order ignored.",
                    rollout=order.pool,
                    to=order.to,
                    row_version=change.version,
                )

    def _renumber(self, rollout: RolloutState, change: Change) -> None:
        """Go on with a rollout whose order has another row version now.

        Notes
        -----
        The store has been restored from an older copy, which may lack the published
        result, and evidence and stops are exchanged under the version of the order.
        """
        _log.write(
            "Rollout order seen again.",
            rollout=rollout.order.pool,
            before=rollout.number,
            row_version=change.version,
        )
        rollout.number = change.version
        rollout.is_published = False
        if rollout.decided_result is RolloutResult.ROLLED_BACK:
            self._exchange.publish_stop(rollout)

    def _start_rollout(self, order: RolloutOrder, change: Change) -> None:
        delay_s = self._rng.uniform(0.0, MAX_FINISH_DELAY_S)
        rollout = RolloutState(order, change.version, self._timers.now(), delay_s)
        self._rollouts[order.pool] = rollout
        _log.write(
            "Rollout order received.",
            rollout=order.pool,
            to=order.to,
            duration_s=order.duration_s,
            row_version=change.version,
        )

    def _may_serve(
        self, replica: Replica, pool: PoolName, drawn: RolloutState | None, is_new: bool
    ) -> bool:
        """Return whether a replica may serve a request of a drawn side, now."""
        rollout = self._rollouts.get(pool)
        if rollout is None:
            return True
        if rollout.decided_result is RolloutResult.ROLLED_BACK:
            is_new = False
        elif rollout.result is RolloutResult.COMPLETED:
            is_new = True
        elif drawn is None:
            return True
        elif rollout is not drawn:
            is_new = False
        return (replica.version == rollout.order.to) == is_new

    def _share(self, rollout: RolloutState) -> float:
        """Return the new version's share of the pool's requests."""
        if rollout.decided_result is RolloutResult.ROLLED_BACK:
            return 0.0
        if rollout.result is RolloutResult.COMPLETED:
            return 1.0
        order, bounds = rollout.order, self._bounds()
        if not any(each.version == order.to for each in self._replicas(order.pool)):
            # Its replicas start after the order, and a request must not wait for them.
            return 0.0
        if rollout.doubt is not None and rollout.doubt.is_suspicion:
            return usual_trial_share(bounds)
        trial = trial_share(bounds, self._requests_per_s(order.pool), order.duration_s)
        if rollout.doubt is not None:
            return trial
        return share_at(rollout.elapsed(self._timers.now()), trial)

    def _requests_per_s(self, pool: PoolName) -> float:
        """Estimate the requests of a pool at all routers from those at this one."""
        own = self._requests.count_within(pool, RATE_WINDOW_S) / RATE_WINDOW_S
        return own * self._routers()

    def _on_stop(self, fact: Fact) -> None:
        for rollout in self._rollouts.values():
            is_running = rollout.result is RolloutResult.RUNNING
            is_decided = rollout.decided_result is RolloutResult.ROLLED_BACK
            if concerns(fact, rollout) and is_running and not is_decided:
                reason = f"stopped by {fact.origin}"
                self._judge.decide(rollout, RolloutResult.ROLLED_BACK, reason)
