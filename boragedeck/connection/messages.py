"""Messages between routers: typed structs, encoded as MessagePack."""

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
    """Reports that a request was carried out; it has no result."""


class Refused(Message, frozen=True):
    """Reports that a request was not carried out.

    Parameters
    ----------
    code : str
        A machine-readable code, such as ``"stale_epoch"``.
    text : str
        A human-readable explanation.
    """

    code: str
    text: str = ""


class FactTopic(enum.Enum):
    """Subject of a fact."""

    CONFIG = "config"
    CRASH = "crash"
    LEAVING = "leaving"
    LOAD = "load"
    MEMBER = "member"
    QUARANTINE = "quarantine"
    ROLLOUT_EVIDENCE = "rollout_evidence"
    ROLLOUT_STOP = "rollout_stop"


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """An item of soft state that routers spread by gossip.

    Parameters
    ----------
    topic : FactTopic
        Subject of the fact.
    key : str
        Identifies the fact within its topic and origin.
    origin : RouterId
        The router that published it.
    number : int
        Version that the origin counts for this key; the highest one is valid.
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
    """Frame of a link: an encoded message with the number of its call.

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
