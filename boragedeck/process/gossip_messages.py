"""Messages with which routers forward facts and compare their fact stores."""

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
"""Topics whose facts are pushed immediately rather than in the next round."""
SUSPICION_PREFIX = "suspect/"
"""Key prefix of suspicions, the member facts that are urgent."""


class AgedFact(msgspec.Struct, frozen=True, array_like=True):
    """A fact with its age, as it is sent between routers.

    Parameters
    ----------
    fact : Fact
        The fact as its origin published it.
    age_s : float
        Time since it was published, summed over the routers that held it, in seconds.
    """

    fact: Fact
    age_s: float


class FactPush(Message, frozen=True):
    """Sends facts; answered with `Accepted`, or itself the answer to a request."""

    facts: tuple[AgedFact, ...] = ()


class FactOffer(Message, frozen=True):
    """Offers facts that the sender holds; answered with `FactWanted`.

    Parameters
    ----------
    entries : bytes
        Hash and number of each fact, 12 bytes each.
    """

    entries: bytes


class FactWanted(Message, frozen=True):
    """Requests those offered facts that are newer than the ones held.

    Parameters
    ----------
    requested : tuple of int
        Hashes of the requested facts.
    """

    requested: tuple[int, ...]


class FactDigest(Message, frozen=True):
    """Requests the buckets that differ; answered with `FactEntries`.

    Parameters
    ----------
    bucket_sums : bytes
        The sender's checksum of each bucket, 4 bytes each.
    max_buckets : int
        Maximum number of buckets in the answer.
    """

    bucket_sums: bytes
    max_buckets: int


class FactEntries(Message, frozen=True):
    """The facts held in some of the buckets that differ.

    Parameters
    ----------
    buckets : tuple of int
        The buckets whose facts are all listed.
    entries : bytes
        Hash and number of each fact in them, 12 bytes each.
    """

    buckets: tuple[int, ...] = ()
    entries: bytes = b""


class FactExchange(Message, frozen=True):
    """Sends facts that the receiver lacks, and requests others.

    Parameters
    ----------
    facts : tuple of AgedFact
        Facts that the receiver lacks.
    requested : tuple of int
        Hashes of the facts that the sender lacks; the answer, `FactPush`, has them.
    max_bytes : int
        Maximum size of the answer in bytes.
    """

    facts: tuple[AgedFact, ...]
    requested: tuple[int, ...]
    max_bytes: int


def is_urgent(fact: Fact) -> bool:
    """Return whether a fact is pushed immediately rather than in the next round."""
    if fact.topic is FactTopic.MEMBER:
        return fact.key.startswith(SUSPICION_PREFIX)
    return fact.topic in URGENT_TOPICS
