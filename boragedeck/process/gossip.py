"""Soft state that spreads from router to router; see `FactBoard`.

New facts are pushed to a few peers, urgent ones at once and the others in rounds
with a bounded number of bytes. Whatever that misses is found by comparing digests
of fixed size with one peer at a time.
"""

import random
from collections.abc import Callable, Iterable

import eliot
import eventlet
import msgspec

from boragedeck.connection.messages import Accepted, Fact, FactTopic
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.ids import RouterId
from boragedeck.interfaces import Member
from boragedeck.process.fact_store import BUCKETS, FactStore, fact_hash
from boragedeck.process.gossip_messages import (
    URGENT_TOPICS,
    AgedFact,
    FactDigest,
    FactEntries,
    FactExchange,
    FactPush,
)
from boragedeck.process.timers import TimerService

__all__ = ["GossipBoard"]

ROUND_S = 1.0
FANOUT = 2
URGENT_FANOUT = 4
MAX_URGENT_PER_ROUND = 16
PUSHES_PER_FACT = 2
MAX_PUSH_BYTES = 2048
CALL_TIMEOUT_S = 1.0
ROUNDS_PER_COMPARISON = 2
SHOWN_BUCKETS = 6
MAX_WANTED = 512
CATCH_UP_ABOVE = 32
"""So many facts lacking in one comparison call for larger ones."""
CATCH_UP_BYTES = 65_536
NEWS_AGE_S = 30.0
"""An urgent fact that is found by comparison is passed on up to this age."""


class _Outgoing(msgspec.Struct):
    """A fact that is still to be pushed some times."""

    is_urgent: bool
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
        self._urgent_left = MAX_URGENT_PER_ROUND
        self._rounds = 0
        self._is_catching_up = True
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
        self._urgent_left = MAX_URGENT_PER_ROUND
        self._rounds += 1
        peers = self._peers()
        self._push_round(peers)
        is_due = self._rounds % ROUNDS_PER_COMPARISON == 0 or self._is_catching_up
        if peers and is_due:
            eventlet.spawn_n(self.compare_with, self._rng.choice(peers))

    def _push_round(self, peers: list[Address]) -> None:
        order = sorted(self._outgoing.items(), key=lambda item: _rank(item[1]))
        facts = self._store.aged((key for key, _ in order), MAX_PUSH_BYTES)
        if not facts or not peers:
            return
        self._push(facts, self._rng.sample(peers, min(FANOUT, len(peers))))
        for key in map(fact_hash, (aged.fact for aged in facts)):
            self._outgoing[key].left -= 1
            if self._outgoing[key].left <= 0:
                del self._outgoing[key]

    def _pass_on(self, fact: Fact) -> None:
        key = fact_hash(fact)
        is_urgent = fact.topic in URGENT_TOPICS
        self._outgoing[key] = _Outgoing(is_urgent, PUSHES_PER_FACT)
        if is_urgent:
            self._urgent.append(key)
            if len(self._urgent) == 1:
                eventlet.spawn_n(self._push_urgent)

    def _push_urgent(self) -> None:
        keys, self._urgent = self._urgent, []
        peers = self._peers()
        if self._urgent_left <= 0 or not peers:
            return
        self._urgent_left -= 1
        chosen = self._rng.sample(peers, min(URGENT_FANOUT, len(peers)))
        self._push(self._store.aged(keys, MAX_PUSH_BYTES), chosen)

    def _push(self, facts: tuple[AgedFact, ...], peers: list[Address]) -> None:
        if facts:
            for peer in peers:
                eventlet.spawn_n(self._call, peer, FactPush(facts), Accepted)

    def _call(self, address: Address, message, answer_type):
        if address == self._address:
            return None
        link = self._links.link(address)
        return link.call(message, answer_type, timeout_s=CALL_TIMEOUT_S).ok()

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
            is_news = aged.fact.topic in URGENT_TOPICS and aged.age_s < NEWS_AGE_S
            if is_push or is_news:
                self._pass_on(aged.fact)
        for aged in new:
            self._call_back(aged.fact)

    def _call_back(self, fact: Fact) -> None:
        for callback in self._callbacks.get(fact.topic, ()):
            try:
                callback(fact)
            except Exception as exc:
                eliot.log_message(
                    "gossip: subscriber failed",
                    topic=fact.topic.value,
                    error=repr(exc),
                )


def _rank(outgoing: _Outgoing) -> tuple[bool, int]:
    return not outgoing.is_urgent, -outgoing.left
