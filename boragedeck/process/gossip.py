"""Soft state that spreads from router to router; see `FactBoard`.

Urgent facts are pushed to a few peers at once. The others are offered in rounds, by
their hashes, and sent to those who lack them, with a bounded number of bytes.
Whatever that misses is found by comparing digests of fixed size with one peer at a
time.
"""

import random
from collections.abc import Callable, Iterable

import eventlet
import msgspec

from boragedeck.connection.messages import Accepted, Fact, FactTopic
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.ids import RouterId
from boragedeck.interfaces import Member
from boragedeck.process.fact_store import BUCKETS, FactStore, fact_hash, wire_bytes
from boragedeck.process.gossip_messages import (
    AgedFact,
    FactDigest,
    FactEntries,
    FactExchange,
    FactOffer,
    FactPush,
    FactWanted,
    is_urgent,
)
from boragedeck.process.logs import PartLog
from boragedeck.process.timers import TimerService

__all__ = ["GossipBoard"]

ROUND_S = 1.0
FANOUT = 2
URGENT_FANOUT = 4
URGENT_BYTES_PER_ROUND = 8192
OFFERS_PER_FACT = 4
OFFERS_PER_URGENT_FACT = 8
MAX_OFFERED = 40
MAX_WANTED_PER_ROUND = 28
WANTED_ONCE_S = 2.0
"""For so long a fact that was asked for isn't asked for again."""
MAX_PUSH_BYTES = 2048
CALL_TIMEOUT_S = 1.0
ROUNDS_PER_COMPARISON = 2
SHOWN_BUCKETS = 12
MAX_WANTED = 512
CATCH_UP_ABOVE = 32
"""So many facts lacking in one comparison call for larger ones."""
CATCH_UP_BYTES = 65_536
NEWS_AGE_S = 30.0
"""An urgent fact that is found by comparison is passed on up to this age."""


RANKS = {FactTopic.MEMBER: 1, FactTopic.ROLLOUT_EVIDENCE: 2}
LAST_RANK = 3
"""Of facts that aren't urgent, the lower rank goes first."""


_log = PartLog("gossip")


class _Outgoing(msgspec.Struct):
    """A fact that is still to be offered some times; lower ranks go first."""

    rank: int
    left: int


class GossipBoard:
    """The facts that this router holds and spreads.

    Parameters
    ----------
    own : Member
        This router.
    timers : TimerService
        The source of time.
    links : PeerLinks
        Links to the others.
    server : PeerServer
        Where the others call.
    rng : random.Random
        Chooses peers.

    Notes
    -----
    A fact holds for its time after its origin's last `publish`, wherever it is
    read; nothing but another `publish` makes it hold longer. What a router sends
    and receives in a round doesn't depend on the size of the fleet: where more is
    stated than fits, facts that were replaced meanwhile are skipped.
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
        self._peers: Callable[[], list[Address]] = list
        self._outgoing: dict[int, _Outgoing] = {}
        self._urgent: list[int] = []
        self._urgent_left = URGENT_BYTES_PER_ROUND
        self._wanted_left = MAX_WANTED_PER_ROUND
        self._asked: dict[int, float] = {}
        self._rounds = 0
        self._is_catching_up = True
        server.register(FactOffer, self._on_offer)
        server.register(FactPush, self._on_push)
        server.register(FactDigest, self._on_digest)
        server.register(FactExchange, self._on_exchange)

    def follow(self, peers: Callable[[], list[Address]]) -> None:
        """Take the peers to talk with from a callable, at most a few dozen."""
        self._peers = peers

    def start(self) -> None:
        """Spread facts from now on."""
        self._timers.subscribe(ROUND_S, self._round)

    def publish(
        self, topic: FactTopic, key: str, body: bytes, *, ttl_s: float = 60.0
    ) -> Fact:
        """State a fact; see `FactBoard.publish`.

        Raises
        ------
        ValueError
            Where the body or the time is over the bounds of `FactStore`.
        """
        fact = self._store.publish(topic, key, body, ttl_s)
        self._pass_on(fact)
        self._call_back(fact)
        return fact

    def facts(self, topic: FactTopic) -> list[Fact]:
        """Return the facts that hold; see `FactBoard.facts`."""
        return self._store.facts(topic)

    def subscribe(self, topic: FactTopic, callback: Callable[[Fact], None]) -> None:
        """Call with each new fact; see `FactBoard.subscribe`."""
        self._callbacks.setdefault(topic, []).append(callback)

    def compare_with(self, address: Address) -> None:
        """Even out what this router and another hold."""
        shown = BUCKETS if self._is_catching_up else SHOWN_BUCKETS
        budget = CATCH_UP_BYTES if self._is_catching_up else MAX_PUSH_BYTES
        digest = FactDigest(self._store.sums(), shown)
        answer = self._call(address, digest, FactEntries)
        if answer is None:
            return
        given, wanted = self._store.compare(answer.buckets, answer.entries)
        self._is_catching_up = len(wanted) > CATCH_UP_ABOVE
        if not given and not wanted:
            return
        self._rng.shuffle(given)
        self._rng.shuffle(wanted)
        facts = self._store.aged(given, MAX_PUSH_BYTES)
        exchange = FactExchange(facts, tuple(wanted[:MAX_WANTED]), budget)
        received = self._call(address, exchange, FactPush)
        if received is not None:
            self._merge(received.facts, is_push=False)

    def _round(self) -> None:
        self._store.expire()
        for key in [key for key in self._outgoing if not self._store.holds(key)]:
            del self._outgoing[key]
        self._urgent_left = URGENT_BYTES_PER_ROUND
        self._wanted_left = MAX_WANTED_PER_ROUND
        self._forget_asked()
        self._rounds += 1
        peers = self._peers()
        self._offer_round(peers)
        is_due = self._rounds % ROUNDS_PER_COMPARISON == 0 or self._is_catching_up
        if peers and is_due:
            eventlet.spawn_n(self.compare_with, self._rng.choice(peers))

    def _offer_round(self, peers: list[Address]) -> None:
        order = sorted(self._outgoing.items(), key=lambda item: _order(item[1]))
        keys = [key for key, _ in order[:MAX_OFFERED]]
        if not keys or not peers:
            return
        for peer in self._rng.sample(peers, min(FANOUT, len(peers))):
            eventlet.spawn_n(self._offer, peer, keys)

    def _offer(self, peer: Address, keys: list[int]) -> None:
        offer = FactOffer(self._store.entries_of(keys))
        answer = self._call(peer, offer, FactWanted)
        if answer is None:
            return
        if answer.wanted:
            facts = self._store.aged(answer.wanted, MAX_PUSH_BYTES)
            if self._call(peer, FactPush(facts), Accepted) is None:
                return
        self._count_offer(keys)

    def _count_offer(self, keys: list[int]) -> None:
        for key in keys:
            outgoing = self._outgoing.get(key)
            if outgoing is not None:
                outgoing.left -= 1
                if outgoing.left <= 0:
                    del self._outgoing[key]

    def _pass_on(self, fact: Fact) -> None:
        key = fact_hash(fact)
        if not is_urgent(fact):
            rank = RANKS.get(fact.topic, LAST_RANK)
            self._outgoing[key] = _Outgoing(rank, OFFERS_PER_FACT)
            return
        self._outgoing[key] = _Outgoing(0, OFFERS_PER_URGENT_FACT)
        self._urgent.append(key)
        if len(self._urgent) == 1:
            eventlet.spawn_n(self._push_urgent)

    def _push_urgent(self) -> None:
        keys, self._urgent = self._urgent, []
        peers = self._peers()
        budget = min(MAX_PUSH_BYTES, self._urgent_left // URGENT_FANOUT)
        if budget <= 0 or not peers:
            return
        facts = self._store.aged(keys, budget)
        size = sum(wire_bytes(aged.fact) for aged in facts)
        for peer in self._rng.sample(peers, min(URGENT_FANOUT, len(peers))):
            self._urgent_left -= size
            eventlet.spawn_n(self._call, peer, FactPush(facts), Accepted)

    def _forget_asked(self) -> None:
        now = self._timers.now()
        self._asked = {key: t for key, t in self._asked.items() if t > now}

    def _call(self, address: Address, message, answer_type):
        if address == self._address:
            return None
        link = self._links.link(address)
        return link.call(message, answer_type, timeout_s=CALL_TIMEOUT_S).ok()

    def _on_offer(self, message: FactOffer) -> FactWanted:
        now = self._timers.now()
        wanted = [
            key
            for key in self._store.newer(message.entries)
            if self._asked.get(key, 0.0) <= now
        ][: self._wanted_left]
        self._wanted_left -= len(wanted)
        self._asked |= dict.fromkeys(wanted, now + WANTED_ONCE_S)
        return FactWanted(tuple(wanted))

    def _on_push(self, message: FactPush) -> Accepted:
        self._merge(message.facts, is_push=True)
        return Accepted()

    def _on_digest(self, message: FactDigest) -> FactEntries:
        buckets = self._store.differing(message.sums)
        self._rng.shuffle(buckets)
        shown = tuple(buckets[: message.max_buckets])
        return FactEntries(shown, self._store.entries(shown))

    def _on_exchange(self, message: FactExchange) -> FactPush:
        self._merge(message.facts, is_push=False)
        budget = min(message.max_bytes, CATCH_UP_BYTES)
        return FactPush(self._store.aged(message.wanted, budget))

    def _merge(self, facts: Iterable[AgedFact], *, is_push: bool) -> None:
        new = [aged for aged in facts if self._store.merge(aged)]
        for aged in new:
            # A newcomer that catches up has no news for the others.
            is_news = is_urgent(aged.fact) and aged.age_s < NEWS_AGE_S
            if is_push or is_news:
                self._pass_on(aged.fact)
        for aged in new:
            self._call_back(aged.fact)

    def _call_back(self, fact: Fact) -> None:
        for callback in self._callbacks.get(fact.topic, ()):
            try:
                callback(fact)
            except Exception as exc:
                _log.write(
                    "Subscriber failed.", topic=fact.topic.value, error=repr(exc)
                )


def _order(outgoing: _Outgoing) -> tuple[int, int]:
    return outgoing.rank, -outgoing.left
