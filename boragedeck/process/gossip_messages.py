"""Messages by which routers pass facts on and compare what they hold."""

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
        FactTopic.ROLLOUT_STOP,
    }
)
"""Topics whose facts don't wait for the next round."""
SUSPICION_PREFIX = "suspect/"
"""Begins the keys of those facts about members that are urgent."""


class AgedFact(msgspec.Struct, frozen=True, array_like=True):
    """A fact on its way.

    Parameters
    ----------
    fact : Fact
        What the origin stated.
    age_s : float
        Time since then, as summed up by the routers on the way, in seconds.
    """

    fact: Fact
    age_s: float


class FactPush(Message, frozen=True):
    """Passes facts on; answered with `Accepted`, and itself an answer."""

    facts: tuple[AgedFact, ...] = ()


class FactOffer(Message, frozen=True):
    """Says which facts the sender has; answered with `FactWanted`.

    Parameters
    ----------
    entries : bytes
        Hash and number of each fact, 12 bytes each.
    """

    entries: bytes


class FactWanted(Message, frozen=True):
    """Says which of the facts offered are new to the receiver.

    Parameters
    ----------
    wanted : tuple of int
        Their hashes.
    """

    wanted: tuple[int, ...]


class FactDigest(Message, frozen=True):
    """Asks where another router holds other facts; answered with `FactEntries`.

    Parameters
    ----------
    bucket_sums : bytes
        The sender's sum of each bucket, 4 bytes each.
    max_buckets : int
        How many buckets the answer may show.
    """

    bucket_sums: bytes
    max_buckets: int


class FactEntries(Message, frozen=True):
    """What is held in some of the buckets that differ.

    Parameters
    ----------
    buckets : tuple of int
        The buckets that are shown whole.
    entries : bytes
        Hash and number of each fact in them, 12 bytes each.
    """

    buckets: tuple[int, ...] = ()
    entries: bytes = b""


class FactExchange(Message, frozen=True):
    """Gives facts that the other side lacks, and asks for others.

    Parameters
    ----------
    facts : tuple of AgedFact
        What the receiver lacks.
    wanted : tuple of int
        Hashes of the facts that the sender lacks; `FactPush` returns them.
    max_bytes : int
        How long the answer may be, in bytes.
    """

    facts: tuple[AgedFact, ...]
    wanted: tuple[int, ...]
    max_bytes: int


def is_urgent(fact: Fact) -> bool:
    """Return whether a fact doesn't wait for the next round."""
    if fact.topic is FactTopic.MEMBER:
        return fact.key.startswith(SUSPICION_PREFIX)
    return fact.topic in URGENT_TOPICS
