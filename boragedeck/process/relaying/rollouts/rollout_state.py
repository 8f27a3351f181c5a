"""State of one rollout in one router."""

import msgspec

from boragedeck.connection.store_version import StoreVersion
from boragedeck.ids import FailureDomain
from boragedeck.process.relaying.rollouts.rollout_plan import (
    Doubt,
    finish_at,
    give_up_at,
)
from boragedeck.version.evidence import Evidence
from boragedeck.version.relay_rollouts import RolloutOrder, RolloutResult
from boragedeck.version.replicas import Replica

__all__ = ["RolloutState", "WaitingRun"]


class WaitingRun(msgspec.Struct, eq=False):
    """A request that was sent to a replica and has neither output nor outcome.

    Parameters
    ----------
    replica : Replica
        The replica.
    domain : FailureDomain
        The domain to which its outcome will be counted.
    since : float
        When it was sent, on the timer service's monotonic clock.
    """

    replica: Replica
    domain: FailureDomain
    since: float


NOT_JUDGED = Doubt("not judged yet", is_suspicion=False)


class RolloutState:
    """State of one rollout in this router.

    Parameters
    ----------
    order : RolloutOrder
        The operators' order.
    number : StoreVersion
        The version of the order's row, which identifies the rollout. It changes if the
        row is written again after the store was restored from an older copy.
    began : float
        When the order was received, on the timer service's monotonic clock.
    delay_s : float
        How long after the planned time this router ends the rollout, in seconds.

    Attributes
    ----------
    result : RolloutResult
        The published result.
    decided_result : RolloutResult or None
        The result that this router has decided on and may still have to publish.
    doubt : Doubt or None
        The reason not to complete it now.
    evidence : Evidence
        This router's evidence, of runs that have output or have ended.
    waiting : set of WaitingRun
        This router's runs without output.
    """

    def __init__(
        self, order: RolloutOrder, number: StoreVersion, began: float, delay_s: float
    ):
        self.order = order
        self.number = number
        self.began = began
        self.finish_at = finish_at(began, order.duration_s) + delay_s
        self.give_up_at = give_up_at(began, order.duration_s)
        self.doubt: Doubt | None = NOT_JUDGED
        self.result = RolloutResult.RUNNING
        self.decided_result: RolloutResult | None = None
        self.is_published = False
        self.evidence = Evidence()
        self.waiting: set[WaitingRun] = set()

    def evidence_at(self, now: float) -> Evidence:
        """Return the evidence, with the present ages of runs without output."""
        total = Evidence()
        total.merge(self.evidence)
        for run in self.waiting:
            is_new = run.replica.version == self.order.to
            total.add_waiting(run.domain, now - run.since, is_new=is_new)
        return total

    def elapsed(self, now: float) -> float:
        """Return the elapsed share of the rollout's duration."""
        return (now - self.began) / max(0.001, self.order.duration_s)
