"""Translates messages between this build's routers and those of older builds."""

from collections import Counter

import msgspec

from boragedeck.connection.address import Address
from boragedeck.connection.messages import FactTopic, Message
from boragedeck.connection.peer_protocol import (
    OWN_PROTOCOL,
    Greeting,
    PeerProtocol,
)
from boragedeck.process.build import build_name
from boragedeck.process.membership.gossip_messages import (
    AgedFact,
    FactExchange,
    FactPush,
)
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.loads.load_messages import LoadSum, LoadUpdate
from boragedeck.process.relaying.relay_metrics import RelayMetrics

__all__ = ["RelayDialect"]

UNNAMED_BUILD = "unnamed"
"""Label of the builds that don't greet."""
TOPICS_OF_UNNAMED = frozenset(FactTopic) - {
    FactTopic.BRITTLE_REPLICA,
    FactTopic.REPLICA_SUCCESSOR,
    FactTopic.UNKNOWN,
}
"""Topics that the oldest of these builds decodes; one other makes it refuse a message
with all its facts."""

_log = PartLog("peer")


class RelayDialect:
    """What this router and its peers speak; implements `PeerDialect`.

    Parameters
    ----------
    metrics : RelayMetrics
        Shows the peers by build and protocol.
    """

    def __init__(self, metrics: RelayMetrics):
        self.greeting = Greeting(OWN_PROTOCOL, build_name())
        self._metrics = metrics
        self._labels: dict[Address, tuple[str, str]] = {}
        self._counts: Counter[tuple[str, str]] = Counter()

    def for_peer(self, message: Message, protocol: PeerProtocol) -> Message:
        """Return a message as a peer that speaks a version understands it.

        Notes
        -----
        Versions of rows aren't told to a router that may count them otherwise; it takes
        a larger number for a newer row.
        """
        if protocol >= PeerProtocol.NAMED:
            return message
        match message:
            case LoadUpdate() | LoadSum():
                return msgspec.structs.replace(message, newest_row_versions={})
            case FactPush(facts) | FactExchange(facts):
                return msgspec.structs.replace(message, facts=_known_facts(facts))
        return message

    def note_peer(
        self, address: Address, protocol: PeerProtocol, greeting: Greeting | None
    ) -> None:
        """Record what a peer speaks, and log it if that is new."""
        build = UNNAMED_BUILD if greeting is None else greeting.build_label()
        labels = build, str(int(protocol))
        before = self._labels.get(address)
        if labels == before:
            return
        self._labels[address] = labels
        self._count(before, -1)
        self._count(labels, 1)
        if build != self.greeting.build:
            _log.write(
                "Another build.", peer=str(address), build=build, protocol=protocol
            )

    def forget_peer(self, address: Address) -> None:
        """Record that a peer is gone."""
        self._count(self._labels.pop(address, None), -1)

    def _count(self, labels: tuple[str, str] | None, change: int) -> None:
        if labels is not None:
            self._counts[labels] += change
            self._metrics.peers.labels(*labels).set(self._counts[labels])


def _known_facts(facts: tuple[AgedFact, ...]) -> tuple[AgedFact, ...]:
    return tuple(aged for aged in facts if aged.fact.topic in TOPICS_OF_UNNAMED)
