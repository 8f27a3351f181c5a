"""Messages with which routers forward facts and compare their fact stores.

The routers gossip: each sends the facts that it holds to a few others, which forward
them, so that facts reach all routers. A fact is an item of soft state, which is not
stored and expires; see `Fact`. Most facts are sent in periodic rounds.

Notes
-----
A router that offers facts sends a `FactOffer`, answered with `FactWanted`, and then the
requested facts in a `FactPush`. A router that compares its facts with another's sends a
`FactDigest`, answered with `FactEntries`, and then a `FactExchange`, answered with
`FactPush`. Urgent facts are also sent immediately, in a `FactPush` without an offer.
"""

import msgspec

from boragedeck.connection.messages import Fact, FactTopic, Message

__all__ = [
    "SUSPICION_PREFIX",
    "URGENT_TOPICS",
    "AgedFact",
    "FactDigest",
    "FactEntries",
    "FactExchange",
    "FactOffer",
    "FactPush",
    "FactWanted",
    "is_urgent",
]

URGENT_TOPICS = frozenset(
    {
        FactTopic.CONFIG,
        FactTopic.CRASH,
        FactTopic.LEAVING,
        FactTopic.QUARANTINE,
        FactTopic.REPLICA_LIMIT,
        FactTopic.REPLICA_SUCCESSOR,
        FactTopic.ROLLOUT_STOP,
    }
)
"""Topics all of whose facts are urgent, that is, pushed immediately rather than in the
next round; of the member facts, only suspicions are urgent."""
SUSPICION_PREFIX = "suspect/"
"""Key prefix of the member facts that suspect a router of having failed."""


class AgedFact(msgspec.Struct, frozen=True, array_like=True):
    """A fact with its age, as it is sent between routers.

    Parameters
    ----------
    fact : Fact
        The fact as its origin published it.
    age_s : float
        Time since it was published, in seconds: the sum of the times for which the
        routers on its way held it.
    """

    fact: Fact
    age_s: float


class FactPush(Message, frozen=True):
    """Sends facts; answered with `Accepted`, or itself the answer to `FactExchange`."""

    facts: tuple[AgedFact, ...] = ()


class FactOffer(Message, frozen=True):
    """Offers facts that the sender holds; answered with `FactWanted`.

    Parameters
    ----------
    entries : bytes
        For each fact, the hash of its topic, origin and key, and its `Fact.number`,
        in 12 bytes: 8 for the hash, then 4 for the number, both unsigned and
        little-endian. The content is not hashed; of two facts with the same hash, the
        one with the higher number is newer.
    """

    entries: bytes


class FactWanted(Message, frozen=True):
    """Requests the offered facts that the sender lacks or holds with a lower number.

    The offering router then sends them in a `FactPush`.

    Parameters
    ----------
    requested : tuple of int
        Hashes of the requested facts.
    """

    requested: tuple[int, ...]


class FactDigest(Message, frozen=True):
    """Requests lists of the facts that may differ; answered with `FactEntries`.

    Each fact belongs to one of `fact_store.BUCKETS` buckets, by its hash. The answer
    lists the facts only of buckets whose checksum differs.

    Parameters
    ----------
    bucket_sums : bytes
        The sender's checksum of each bucket, in order, 4 bytes each.
    max_buckets : int
        Maximum number of buckets in the answer.
    """

    bucket_sums: bytes
    max_buckets: int


class FactEntries(Message, frozen=True):
    """Lists the facts held in some of the buckets that differ, without their content.

    Parameters
    ----------
    buckets : tuple of int
        The indexes of the listed buckets; each is listed in full.
    entries : bytes
        Hash and number of each fact in them, 12 bytes each, as in `FactOffer`.
    """

    buckets: tuple[int, ...] = ()
    entries: bytes = b""


class FactExchange(Message, frozen=True):
    """Sends facts and requests others; answered with `FactPush`.

    A router lacks a fact also if it holds one of the same hash with a lower number.

    Parameters
    ----------
    facts : tuple of AgedFact
        Facts that the receiver lacks.
    requested : tuple of int
        Hashes of the facts that the sender lacks. The answer has as many of them as
        fit, in this order.
    max_bytes : int
        Maximum size of the answer in bytes; a single fact may exceed it.
    """

    facts: tuple[AgedFact, ...]
    requested: tuple[int, ...]
    max_bytes: int


def is_urgent(fact: Fact) -> bool:
    """Return whether a fact is pushed immediately rather than in the next round."""
    if fact.topic is FactTopic.MEMBER:
        return fact.key.startswith(SUSPICION_PREFIX)
    return fact.topic in URGENT_TOPICS
