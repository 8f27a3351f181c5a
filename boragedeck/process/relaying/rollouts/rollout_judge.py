"""Judges the new versions of rollouts, and decides how the rollouts end."""

from collections.abc import Callable

from boragedeck.ids import PoolName
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.rollouts.rollout_exchange import RolloutExchange
from boragedeck.process.relaying.rollouts.rollout_plan import find_doubt
from boragedeck.process.relaying.rollouts.rollout_state import RolloutState
from boragedeck.process.relaying.rollouts.rollout_strata import merge_routes
from boragedeck.process.timers import TimerService
from boragedeck.version.evidence import Evidence
from boragedeck.version.judgement import (
    Score,
    UpstreamCounts,
    group_score,
    is_rejected,
    make_rejection,
)
from boragedeck.version.relay_rollouts import RolloutOrder, RolloutResult
from boragedeck.version.replicas import Replica

__all__ = ["RolloutJudge"]

_log = PartLog("rollout")


class RolloutJudge:
    """Judges rollouts by the evidence of all routers.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    exchange : RolloutExchange
        The other routers' evidence, and stops for them.
    replicas : callable
        Returns the replicas of a pool that accept requests.
    """

    def __init__(
        self,
        timers: TimerService,
        exchange: RolloutExchange,
        replicas: Callable[[PoolName], list[Replica]],
    ):
        self._timers = timers
        self._exchange = exchange
        self._replicas = replicas

    def judge(self, rollout: RolloutState) -> None:
        """Roll a version back, complete its rollout, or record the doubt about it."""
        if rollout.decided_result is not None:
            return
        total = rollout.evidence_at(self._timers.now())
        total.merge(self._exchange.evidence_of_others(rollout))
        score = self._score(rollout.order, total)
        if is_rejected(score):
            self._stop(rollout, make_rejection(score, total).reason)
            return
        rollout.doubt = find_doubt(score, total)
        self._finish_if_due(rollout, total)

    def _score(self, order: RolloutOrder, total: Evidence) -> Score:
        """Return the score by domain and route, or by domain if that is higher.

        Notes
        -----
        A version may fail on one route only. In a small pool, though, a route has too
        few runs in a domain to say anything. Requests of all routes are drawn for the
        versions alike, so their sum compares the versions fairly, too.
        """
        room = self._room(order)
        by_domain = merge_routes(total)
        return group_score(total, room).or_stronger(group_score(by_domain, room))

    def _finish_if_due(self, rollout: RolloutState, total: Evidence) -> None:
        """End a rollout at its planned time, one way or the other."""
        now, doubt = self._timers.now(), rollout.doubt
        if doubt is None:
            if now >= rollout.finish_at:
                shown = total.total(is_new=True)
                reason = f"{shown.trials} runs, {shown.failures} failed, and no doubt"
                self.decide(rollout, RolloutResult.COMPLETED, reason)
        elif doubt.is_suspicion and now >= rollout.finish_at:
            self._stop(rollout, doubt.reason)
        elif now >= rollout.give_up_at:
            self.decide(rollout, RolloutResult.ROLLED_BACK, doubt.reason)

    def _stop(self, rollout: RolloutState, reason: str) -> None:
        """Roll a version back, and tell the other routers to stop sending to it."""
        self.decide(rollout, RolloutResult.ROLLED_BACK, reason)
        self._exchange.publish_stop(rollout)

    def _room(self, order: RolloutOrder) -> UpstreamCounts:
        replicas = self._replicas(order.pool)
        new = sum(replica.version == order.to for replica in replicas)
        return UpstreamCounts(max(1, new), max(1, len(replicas) - new))

    def decide(self, rollout: RolloutState, result: RolloutResult, reason: str) -> None:
        """Record a result, which is still to be published; `reason` is logged."""
        rollout.decided_result = result
        _log.write(
            "Rollout result decided.",
            rollout=rollout.order.pool,
            to=rollout.order.to,
            result=result.value,
            reason=reason,
            elapsed=round(rollout.elapsed(self._timers.now()), 3),
        )
