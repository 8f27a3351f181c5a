"""Gossip of soft state between routers; see `FactBoard`.

Urgent facts are pushed to a few peers immediately. Other facts are offered by hash in
periodic rounds and sent to the peers that lack them, within a limit of bytes. Facts
missed by both are found by anti-entropy: comparing digests of fixed size with one peer
at a time.
"""

import random
from collections.abc import Callable, Iterable

import eventlet
import msgspec

from boragedeck.connection.messages import Accepted, Fact, FactTopic
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.ids import RouterId
from boragedeck.interfaces import Member
from boragedeck.process.membership.fact_store import (
    BUCKETS,
    FactStore,
    fact_hash,
    wire_bytes,
)
from boragedeck.process.membership.gossip_messages import (
    AgedFact,
    FactDigest,
    FactEntries,
    FactExchange,
    FactOffer,
    FactPush,
    FactWanted,
    is_urgent,
)
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService

__all__ = ["GossipBoard"]

ROUND_S = 1.0
"""Time between two rounds, in seconds."""
FANOUT = 2
"""Number of peers to which facts are offered in each round."""
URGENT_FANOUT = 4
"""Number of peers to which urgent facts are pushed."""
URGENT_BYTES_PER_ROUND = 8192
OFFERS_PER_FACT = 4
"""Number of answered offers after which a fact is not offered again."""
OFFERS_PER_URGENT_FACT = 8
MAX_OFFERED_FACTS = 40
"""Maximum number of facts in one offer."""
MAX_REQUESTED_PER_ROUND = 28
MIN_REQUEST_INTERVAL_S = 2.0
"""Minimum time between two requests for the same fact."""
MAX_PUSH_BYTES = 2048
CALL_TIMEOUT_S = 1.0
ROUNDS_PER_COMPARISON = 2
"""Number of rounds for each comparison; while catching up, each round has one."""
MAX_COMPARED_BUCKETS = 12
MAX_REQUESTED_PER_EXCHANGE = 512
CATCH_UP_THRESHOLD = 32
"""If a comparison finds more missing facts than this, the next ones are larger."""
CATCH_UP_BYTES = 65_536
MAX_FORWARD_AGE_S = 30.0
"""Maximum age at which an urgent fact found by comparison is forwarded."""


TOPIC_RANKS = {FactTopic.MEMBER: 1, FactTopic.ROLLOUT_EVIDENCE: 2}
DEFAULT_RANK = 3
"""Rank of other topics that aren't urgent; facts of a lower rank are offered first, and
urgent ones have rank 0."""


_log = PartLog("gossip")


class _PendingOffer(msgspec.Struct):
    """A fact's rank, the lowest offered first, and the number of offers left."""

    rank: int
    offers_left: int


class GossipBoard:
    """The facts that this router holds and gossips to its peers.

    Parameters
    ----------
    own : Member
        This router.
    timers : TimerService
        The source of time.
    links : PeerLinks
        Links to the other routers.
    server : PeerServer
        Receives calls from the other routers.
    rng : random.Random
        Chooses peers.

    Notes
    -----
    On every router a fact expires its time to live after its origin's last `publish`;
    only another `publish` extends it. The bytes that a router sends and receives in a
    round don't depend on the size of the fleet: if more is published than fits, facts
    that have been replaced in the meantime are skipped.
    """

    def __init__(
        self,
        own: Member,
        timers: TimerService,
        links: PeerLinks,
        server: PeerServer,
        rng: random.Random,
    ):
        self.own: RouterId = own.router
        self._address = own.address
        self._timers = timers
        self._links = links
        self._rng = rng
        self._store = FactStore(own.router, timers)
        self._callbacks: dict[FactTopic, list[Callable[[Fact], None]]] = {}
        self._peer_source: Callable[[], list[Address]] = list
        self._pending_offers: dict[int, _PendingOffer] = {}
        self._urgent_hashes: list[int] = []
        self._urgent_bytes_left = URGENT_BYTES_PER_ROUND
        self._requests_left = MAX_REQUESTED_PER_ROUND
        self._requested_until: dict[int, float] = {}
        self._rounds = 0
        self._is_catching_up = True
        server.register(FactOffer, self._on_offer)
        server.register(FactPush, self._on_push)
        server.register(FactDigest, self._on_digest)
        server.register(FactExchange, self._on_exchange)

    def set_peer_source(self, peers: Callable[[], list[Address]]) -> None:
        """Set the callable that returns the gossip peers, at most a few dozen."""
        self._peer_source = peers

    def start(self) -> None:
        """Start the gossip rounds."""
        self._timers.subscribe(ROUND_S, self._run_round)

    def publish(
        self, topic: FactTopic, key: str, body: bytes, *, ttl_s: float = 60.0
    ) -> Fact:
        """Publish a fact; see `FactBoard.publish`.

        Raises
        ------
        ValueError
            If the body or the time to live exceeds the limits of `FactStore`.
        """
        fact = self._store.publish(topic, key, body, ttl_s)
        self._forward(fact)
        self._notify_subscribers(fact)
        return fact

    def facts(self, topic: FactTopic) -> list[Fact]:
        """Return the unexpired facts; see `FactBoard.facts`."""
        return self._store.facts(topic)

    def age_s(self, fact: Fact) -> float:
        """Return the time since a fact was published; see `FactBoard.age_s`."""
        return self._store.age_s(fact)

    def subscribe(self, topic: FactTopic, callback: Callable[[Fact], None]) -> None:
        """Call `callback` with each new fact; see `FactBoard.subscribe`."""
        self._callbacks.setdefault(topic, []).append(callback)

    def synchronise_with(self, address: Address) -> None:
        """Exchange the facts that differ between this router and another."""
        max_buckets = BUCKETS if self._is_catching_up else MAX_COMPARED_BUCKETS
        budget = CATCH_UP_BYTES if self._is_catching_up else MAX_PUSH_BYTES
        digest = FactDigest(self._store.bucket_sums(), max_buckets)
        answer = self._call(address, digest, FactEntries)
        if answer is None:
            return
        to_send, requested = self._store.compare(answer.buckets, answer.entries)
        self._is_catching_up = len(requested) > CATCH_UP_THRESHOLD
        if not to_send and not requested:
            return
        self._rng.shuffle(to_send)
        self._rng.shuffle(requested)
        facts = self._store.aged_facts(to_send, MAX_PUSH_BYTES)
        exchange = FactExchange(
            facts, tuple(requested[:MAX_REQUESTED_PER_EXCHANGE]), budget
        )
        received = self._call(address, exchange, FactPush)
        if received is not None:
            self._merge(received.facts, is_push=False)

    def _run_round(self) -> None:
        self._store.expire()
        for key in [key for key in self._pending_offers if not self._store.holds(key)]:
            del self._pending_offers[key]
        self._urgent_bytes_left = URGENT_BYTES_PER_ROUND
        self._requests_left = MAX_REQUESTED_PER_ROUND
        self._drop_expired_requests()
        self._rounds += 1
        peers = self._peer_source()
        self._offer_facts(peers)
        is_due = self._rounds % ROUNDS_PER_COMPARISON == 0 or self._is_catching_up
        if peers and is_due:
            eventlet.spawn_n(self.synchronise_with, self._rng.choice(peers))

    def _offer_facts(self, peers: list[Address]) -> None:
        order = sorted(
            self._pending_offers.items(), key=lambda item: _offer_order(item[1])
        )
        keys = [key for key, _ in order[:MAX_OFFERED_FACTS]]
        if not keys or not peers:
            return
        for peer in self._rng.sample(peers, min(FANOUT, len(peers))):
            eventlet.spawn_n(self._offer_to, peer, keys)

    def _offer_to(self, peer: Address, keys: list[int]) -> None:
        offer = FactOffer(self._store.entries_of(keys))
        answer = self._call(peer, offer, FactWanted)
        if answer is None:
            return
        if answer.requested:
            facts = self._store.aged_facts(answer.requested, MAX_PUSH_BYTES)
            if self._call(peer, FactPush(facts), Accepted) is None:
                return
        self._count_offers(keys)

    def _count_offers(self, keys: list[int]) -> None:
        for key in keys:
            pending = self._pending_offers.get(key)
            if pending is not None:
                pending.offers_left -= 1
                if pending.offers_left <= 0:
                    del self._pending_offers[key]

    def _forward(self, fact: Fact) -> None:
        key = fact_hash(fact)
        if not is_urgent(fact):
            rank = TOPIC_RANKS.get(fact.topic, DEFAULT_RANK)
            self._pending_offers[key] = _PendingOffer(rank, OFFERS_PER_FACT)
            return
        self._pending_offers[key] = _PendingOffer(0, OFFERS_PER_URGENT_FACT)
        self._urgent_hashes.append(key)
        if len(self._urgent_hashes) == 1:
            eventlet.spawn_n(self._push_urgent)

    def _push_urgent(self) -> None:
        keys, self._urgent_hashes = self._urgent_hashes, []
        peers = self._peer_source()
        budget = min(MAX_PUSH_BYTES, self._urgent_bytes_left // URGENT_FANOUT)
        if budget <= 0 or not peers:
            return
        facts = self._store.aged_facts(keys, budget)
        size = sum(wire_bytes(aged.fact) for aged in facts)
        for peer in self._rng.sample(peers, min(URGENT_FANOUT, len(peers))):
            self._urgent_bytes_left -= size
            eventlet.spawn_n(self._call, peer, FactPush(facts), Accepted)

    def _drop_expired_requests(self) -> None:
        now = self._timers.now()
        self._requested_until = {
            key: t for key, t in self._requested_until.items() if t > now
        }

    def _call(self, address: Address, message, answer_type):
        if address == self._address:
            return None
        link = self._links.link(address)
        return link.call(message, answer_type, timeout_s=CALL_TIMEOUT_S).ok()

    def _on_offer(self, message: FactOffer) -> FactWanted:
        now = self._timers.now()
        requested = [
            key
            for key in self._store.newer_hashes(message.entries)
            if self._requested_until.get(key, 0.0) <= now
        ][: self._requests_left]
        self._requests_left -= len(requested)
        self._requested_until |= dict.fromkeys(requested, now + MIN_REQUEST_INTERVAL_S)
        return FactWanted(tuple(requested))

    def _on_push(self, message: FactPush) -> Accepted:
        self._merge(message.facts, is_push=True)
        return Accepted()

    def _on_digest(self, message: FactDigest) -> FactEntries:
        buckets = self._store.differing_buckets(message.bucket_sums)
        self._rng.shuffle(buckets)
        selected = tuple(buckets[: message.max_buckets])
        return FactEntries(selected, self._store.entries(selected))

    def _on_exchange(self, message: FactExchange) -> FactPush:
        self._merge(message.facts, is_push=False)
        budget = min(message.max_bytes, CATCH_UP_BYTES)
        return FactPush(self._store.aged_facts(message.requested, budget))

    def _merge(self, facts: Iterable[AgedFact], *, is_push: bool) -> None:
        new = [aged for aged in facts if self._store.merge(aged)]
        for aged in new:
            # Old facts that a new router receives while catching up aren't forwarded.
            is_recent_urgent = is_urgent(aged.fact) and aged.age_s < MAX_FORWARD_AGE_S
            if is_push or is_recent_urgent:
                self._forward(aged.fact)
        for aged in new:
            self._notify_subscribers(aged.fact)

    def _notify_subscribers(self, fact: Fact) -> None:
        for callback in self._callbacks.get(fact.topic, ()):
            try:
                callback(fact)
            except Exception as exc:
                _log.write(
                    "Subscriber failed.", topic=fact.topic.value, error=repr(exc)
                )


def _offer_order(pending: _PendingOffer) -> tuple[int, int]:
    return pending.rank, -pending.offers_left
