"""Tells other routers the evidence about new versions, and which ones to stop."""

import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.store_version import number_of
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.interfaces import FactBoard
from boragedeck.process.membership.fact_store import MAX_BODY_BYTES
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.rollouts.rollout_state import RolloutState
from boragedeck.process.relaying.rollouts.rollout_strata import merge_routes
from boragedeck.version.evidence import Evidence

__all__ = ["RolloutExchange", "concerns"]

EVIDENCE_TTL_S = 120.0

_log = PartLog("rollout")


class RolloutExchange:
    """The facts about rollouts that this router publishes and receives.

    Parameters
    ----------
    facts : FactBoard
        Shares facts between routers.
    """

    def __init__(self, facts: FactBoard):
        self._facts = facts

    def publish_evidence(self, rollout: RolloutState, evidence: Evidence) -> None:
        """Publish this router's evidence about a rollout."""
        body = msgspec.msgpack.encode(evidence)
        if len(body) > MAX_BODY_BYTES:
            body = msgspec.msgpack.encode(merge_routes(evidence))
        self._facts.publish(
            FactTopic.ROLLOUT_EVIDENCE, _key(rollout), body, ttl_s=EVIDENCE_TTL_S
        )

    def evidence_of_others(self, rollout: RolloutState) -> Evidence:
        """Return the sum of the evidence that other routers have published."""
        total = Evidence()
        for fact in self._facts.facts(FactTopic.ROLLOUT_EVIDENCE):
            if fact.origin == self._facts.own or not concerns(fact, rollout):
                continue
            try:
                total.merge(msgspec.msgpack.decode(fact.body, type=Evidence))
            except DECODE_ERRORS as exc:
                _log.write(
                    "Rollout evidence can't be decoded.",
                    rollout=fact.key,
                    error=str(exc),
                )
        return total

    def publish_stop(self, rollout: RolloutState) -> None:
        """Tell the other routers to send nothing more to the new version."""
        for key in sorted({_key(rollout), _key_without_era(rollout)}):
            self._facts.publish(FactTopic.ROLLOUT_STOP, key, b"")


def concerns(fact: Fact, rollout: RolloutState) -> bool:
    """Return whether a fact of this or an older build is about a rollout."""
    return fact.key in (_key(rollout), _key_without_era(rollout))


def _key(rollout: RolloutState) -> str:
    return f"{rollout.order.pool}/{rollout.number}"


def _key_without_era(rollout: RolloutState) -> str:
    """Return the key that a build uses whose versions don't hold the store's era."""
    return f"{rollout.order.pool}/{number_of(rollout.number)}"
