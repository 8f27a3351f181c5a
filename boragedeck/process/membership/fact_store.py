"""Store of the gossip facts that one router holds, bounded in number, size and age."""

import itertools
import struct
from collections.abc import Iterable

import msgspec
import xxhash

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.ids import RouterId
from boragedeck.process.membership.gossip_messages import AgedFact, is_urgent
from boragedeck.process.timers import TimerService

__all__ = ["BUCKETS", "MAX_BODY_BYTES", "FactStore", "fact_hash", "wire_bytes"]

BUCKETS = 128
MAX_FACTS = 8192
MAX_FACTS_PER_ORIGIN = 256
MAX_BODY_BYTES = 8192
MAX_TTL_S = 86_400.0
MAX_EXPIRED_RETENTION_S = 300.0
EVICTED_SHARE = 1 / 16
FACT_OVERHEAD_BYTES = 24
MAX_UINT32 = (1 << 32) - 1
ENTRY_FORMAT = struct.Struct("<QI")
SUMS_FORMAT = struct.Struct(f"<{BUCKETS}I")


class _StoredFact(msgspec.Struct, frozen=True):
    """A fact with its hash, and when it was published and expires, on this clock."""

    fact: Fact
    hash: int
    published_at: float
    expires_at: float


class _ExpiredFact(msgspec.Struct, frozen=True):
    """The number of an expired fact, kept so that a late copy is rejected."""

    number: int
    forget_at: float


class FactStore:
    """Facts by hash; only the one with the highest number is kept for each hash.

    Parameters
    ----------
    own : RouterId
        This router.
    timers : TimerService
        The source of time.
    max_facts : int
        The maximum number of facts held.

    Notes
    -----
    Each router measures a fact's age on its own monotonic clock and sends the age with
    the fact. Clocks of different routers are thus never compared, and forwarding does
    not reset the age.
    """

    def __init__(
        self, own: RouterId, timers: TimerService, *, max_facts: int = MAX_FACTS
    ):
        self._own = own
        self._timers = timers
        self._max_facts = max_facts
        self._numbers = itertools.count(1)
        self._stored: dict[int, _StoredFact] = {}
        self._by_topic: dict[FactTopic, dict[int, _StoredFact]] = {
            t: {} for t in FactTopic
        }
        self._buckets: list[dict[int, _StoredFact]] = [{} for _ in range(BUCKETS)]
        self._bucket_sums = [0] * BUCKETS
        self._count_by_origin: dict[RouterId, int] = {}
        self._expired: dict[int, _ExpiredFact] = {}

    def __len__(self) -> int:
        """Return the number of facts held."""
        return len(self._stored)

    def publish(self, topic: FactTopic, key: str, body: bytes, ttl_s: float) -> Fact:
        """Publish a fact of this router.

        Raises
        ------
        ValueError
            If the body or the time to live exceeds its limit.
        """
        fact = Fact(topic, key, self._own, next(self._numbers), body, ttl_s)
        if not _is_within_limits(fact):
            raise ValueError(f"fact {topic.value}/{key} exceeds the limits")
        self._evict_if_full()
        self._insert(fact, self._timers.now())
        return fact

    def merge(self, aged: AgedFact) -> bool:
        """Merge a fact from another router; return whether it was stored as newer."""
        fact, now = aged.fact, self._timers.now()
        is_unknown = fact.topic is FactTopic.UNKNOWN
        if fact.origin == self._own or is_unknown or not _is_within_limits(fact):
            return False
        published_at = now - max(0.0, aged.age_s)
        if published_at + fact.ttl_s <= now or fact.number <= self.number(
            fact_hash(fact)
        ):
            return False
        if fact_hash(fact) not in self._stored:
            if self._count_by_origin.get(fact.origin, 0) >= MAX_FACTS_PER_ORIGIN:
                return False
            self._evict_if_full()
        self._insert(fact, published_at)
        return True

    def holds(self, key: int) -> bool:
        """Return whether a fact with the given hash is held."""
        return key in self._stored

    def number(self, key: int) -> int:
        """Return the highest number seen for a hash; 0 if none is known."""
        if key in self._stored:
            return self._stored[key].fact.number
        return self._expired[key].number if key in self._expired else 0

    def facts(self, topic: FactTopic) -> list[Fact]:
        """Return the facts of a topic that have not expired."""
        now = self._timers.now()
        return [
            held.fact
            for held in self._by_topic[topic].values()
            if held.expires_at > now
        ]

    def age_s(self, fact: Fact) -> float:
        """Return the time since a fact was published, in seconds.

        Returns
        -------
        float
            Infinity if the fact is not held.
        """
        held = self._stored.get(fact_hash(fact))
        if held is None or held.fact.number != fact.number:
            return float("inf")
        return self._timers.now() - held.published_at

    def aged_facts(self, keys: Iterable[int], max_bytes: int) -> tuple[AgedFact, ...]:
        """Return the unexpired facts with the given hashes, up to a size limit.

        Parameters
        ----------
        keys : iterable of int
            Hashes, the most important first.
        max_bytes : int
            Maximum total size in bytes; one fact is returned even if it is larger.
        """
        now = self._timers.now()
        found: list[AgedFact] = []
        size = 0
        for key in keys:
            held = self._stored.get(key)
            if held is None or held.expires_at <= now:
                continue
            size += wire_bytes(held.fact)
            if found and size > max_bytes:
                break
            found.append(AgedFact(held.fact, now - held.published_at))
        return tuple(found)

    def expire(self) -> None:
        """Remove expired facts, and the numbers kept of facts that expired earlier."""
        now = self._timers.now()
        for held in [held for held in self._stored.values() if held.expires_at <= now]:
            self._remove(held)
            retention_s = min(held.fact.ttl_s, MAX_EXPIRED_RETENTION_S)
            self._expired[held.hash] = _ExpiredFact(held.fact.number, now + retention_s)
        forgotten = [
            key for key, expired in self._expired.items() if expired.forget_at <= now
        ]
        for key in forgotten:
            del self._expired[key]
        for key in list(itertools.islice(self._expired, self._excess_expired())):
            del self._expired[key]

    def bucket_sums(self) -> bytes:
        """Return the digest of the store: one checksum for each bucket."""
        return SUMS_FORMAT.pack(*self._bucket_sums)

    def differing_buckets(self, bucket_sums: bytes) -> list[int]:
        """Return the buckets whose checksum differs from another router's."""
        if len(bucket_sums) != SUMS_FORMAT.size:
            return []
        theirs = SUMS_FORMAT.unpack(bucket_sums)
        return [b for b in range(BUCKETS) if theirs[b] != self._bucket_sums[b]]

    def entries(self, buckets: Iterable[int]) -> bytes:
        """Return hash and number of each fact in the given buckets, packed."""
        keys = (key for bucket in buckets for key in self._buckets[bucket])
        return self.entries_of(keys)

    def entries_of(self, keys: Iterable[int]) -> bytes:
        """Return hash and number of the held facts among the given hashes, packed."""
        return b"".join(
            ENTRY_FORMAT.pack(key, self._stored[key].fact.number)
            for key in keys
            if key in self._stored
        )

    def newer_hashes(self, entries: bytes) -> list[int]:
        """Return the hashes of entries with a higher number than is known here."""
        theirs = _unpack(entries)
        return [key for key, number in theirs.items() if number > self.number(key)]

    def compare(
        self, buckets: Iterable[int], entries: bytes
    ) -> tuple[list[int], list[int]]:
        """Return the hashes to send to the other side, and those to request from it."""
        theirs = _unpack(entries)
        to_send = [
            key
            for bucket in buckets
            if 0 <= bucket < BUCKETS
            for key, held in self._buckets[bucket].items()
            if held.fact.number > theirs.get(key, 0)
        ]
        return to_send, self.newer_hashes(entries)

    def _excess_expired(self) -> int:
        return max(0, len(self._expired) - self._max_facts)

    def _insert(self, fact: Fact, published_at: float) -> None:
        key = fact_hash(fact)
        old = self._stored.get(key)
        if old is not None:
            self._remove(old)
        self._expired.pop(key, None)
        held = _StoredFact(fact, key, published_at, published_at + fact.ttl_s)
        self._stored[key] = held
        self._by_topic[fact.topic][key] = held
        self._buckets[key % BUCKETS][key] = held
        self._update_totals(held, 1)

    def _remove(self, held: _StoredFact) -> None:
        del self._stored[held.hash]
        del self._by_topic[held.fact.topic][held.hash]
        del self._buckets[held.hash % BUCKETS][held.hash]
        self._update_totals(held, -1)

    def _update_totals(self, held: _StoredFact, sign: int) -> None:
        bucket = held.hash % BUCKETS
        digest = xxhash.xxh32_intdigest(ENTRY_FORMAT.pack(held.hash, held.fact.number))
        self._bucket_sums[bucket] = (
            self._bucket_sums[bucket] + sign * digest
        ) & MAX_UINT32
        origin = held.fact.origin
        count = self._count_by_origin.get(origin, 0) + sign
        if count:
            self._count_by_origin[origin] = count
        else:
            del self._count_by_origin[origin]

    def _evict_if_full(self) -> None:
        """If full, evict other routers' non-urgent facts first and own facts last."""
        if len(self._stored) < self._max_facts:
            return
        order = sorted(self._stored.values(), key=self._eviction_order)
        count = max(1, int(self._max_facts * EVICTED_SHARE))
        for held in order[:count]:
            self._remove(held)

    def _eviction_order(self, held: _StoredFact) -> tuple[bool, bool, float]:
        fact = held.fact
        return fact.origin == self._own, is_urgent(fact), held.expires_at


def fact_hash(fact: Fact) -> int:
    """Return the hash of a fact's topic, origin and key."""
    text = f"{fact.topic.value}\0{fact.origin}\0{fact.key}"
    return xxhash.xxh3_64_intdigest(text.encode())


def wire_bytes(fact: Fact) -> int:
    """Return the approximate size of a fact in a message, in bytes."""
    return len(fact.body) + len(fact.key) + len(fact.origin) + FACT_OVERHEAD_BYTES


def _unpack(entries: bytes) -> dict[int, int]:
    whole = len(entries) - len(entries) % ENTRY_FORMAT.size
    return dict(ENTRY_FORMAT.iter_unpack(entries[:whole]))


def _is_within_limits(fact: Fact) -> bool:
    is_short = len(fact.body) <= MAX_BODY_BYTES and len(fact.key) <= MAX_BODY_BYTES
    return is_short and 0.0 < fact.ttl_s <= MAX_TTL_S and 0 < fact.number <= MAX_UINT32
