"""Messages between routers: typed structs, encoded as MessagePack.

A call is a message that the other router answers with one message.
"""

import enum

import msgspec

from boragedeck.ids import RouterId

__all__ = [
    "Accepted",
    "Fact",
    "FactTopic",
    "Frame",
    "Message",
    "Ping",
    "Refused",
]


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages between routers; its tag is the class name."""


class Ping(Message, frozen=True):
    """Asks whether the peer answers."""


class Accepted(Message, frozen=True):
    """Answers a call that was carried out and has no result."""


class Refused(Message, frozen=True):
    """Answers a call that was refused or that failed.

    Parameters
    ----------
    code : str
        ``"bad_message"`` if the call could not be decoded, ``"refused"`` if its handler
        refused it, and ``"failed"`` if the handler raised another error, so that it may
        have carried out a part of the call.
    text : str
        A human-readable explanation.
    """

    code: str
    text: str = ""


class FactTopic(enum.Enum):
    """Subject of a fact."""

    BRITTLE_REPLICA = "brittle_replica"
    """Replicas that fall over if they have to reject many requests."""
    CONFIG = "config"
    """The revision that the origin has, and where to fetch it."""
    CRASH = "crash"
    """Requests under which upstreams crashed."""
    LEAVING = "leaving"
    """Routers, VMs and replicas that are about to stop."""
    LOAD = "load"
    """Load that the origin has measured or causes."""
    MEMBER = "member"
    """Announcements of routers, and suspicions that a router is dead."""
    QUARANTINE = "quarantine"
    """Requests that are known to crash upstreams."""
    REPLICA_LIMIT = "replica_limit"
    """Limits that replicas in need name on the requests of all routers."""
    REPLICA_SUCCESSOR = "replica_successor"
    """Replicas that started under another id at the address of one before."""
    ROLLOUT_EVIDENCE = "rollout_evidence"
    """What the origin has observed of the versions in a rollout."""
    ROLLOUT_STOP = "rollout_stop"
    """Rollouts whose new version was rejected."""
    UNKNOWN = "unknown"
    """A topic of a newer build; such facts are skipped."""

    @classmethod
    def _missing_(cls, value: object) -> "FactTopic":
        return cls.UNKNOWN


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """An item of soft state (not stored, and expires) that routers spread by gossip.

    Parameters
    ----------
    topic : FactTopic
        Subject of the fact.
    key : str
        Identifies the fact within its topic and origin.
    origin : RouterId
        The router that published it.
    number : int
        Grows with each fact that the origin publishes; of the facts with the same
        topic, origin and key, only the one with the highest number is valid.
    body : bytes
        Content in MessagePack; the topic determines its type.
    ttl_s : float
        How long it is valid after the origin last published it, in seconds.
    """

    topic: FactTopic
    key: str
    origin: RouterId
    number: int
    body: bytes = b""
    ttl_s: float = 60.0


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Frame of a link between routers: an encoded message and the number of its call.

    Parameters
    ----------
    number : int
        Number of the call; an answer has the number of its call.
    is_answer : bool
        Whether the frame is an answer.
    body : msgspec.Raw
        The encoded message.
    clock : int
        The sender's `CausalClock` value; 0 if it has none.
    """

    number: int
    is_answer: bool
    body: msgspec.Raw
    clock: int = 0
