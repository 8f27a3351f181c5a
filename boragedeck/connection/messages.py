"""Messages between routers, each a typed struct in MessagePack."""

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
    """Base of all messages between routers; the tag is the class's name."""


class Ping(Message, frozen=True):
    """Asks whether the other side answers."""


class Accepted(Message, frozen=True):
    """Says that a request was carried out and has nothing to return."""


class Refused(Message, frozen=True):
    """Says that a request was not carried out.

    Parameters
    ----------
    code : str
        A word for programs, such as ``"stale_epoch"``.
    text : str
        A sentence for people.
    """

    code: str
    text: str = ""


class FactTopic(enum.Enum):
    """What a fact is about."""

    CONFIG = "config"
    CRASH = "crash"
    LEAVING = "leaving"
    LOAD = "load"
    MEMBER = "member"
    QUARANTINE = "quarantine"
    ROLLOUT_EVIDENCE = "rollout_evidence"
    ROLLOUT_STOP = "rollout_stop"


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """A piece of soft state that spreads from router to router.

    Parameters
    ----------
    topic : FactTopic
        What it is about.
    key : str
        Names the fact within its topic and origin.
    origin : RouterId
        The router that stated it.
    number : int
        The origin's count for this key; the highest one holds.
    body : bytes
        Its content in MessagePack, typed by the topic.
    ttl_s : float
        How long it holds after the origin's last statement, in seconds.
    """

    topic: FactTopic
    key: str
    origin: RouterId
    number: int
    body: bytes = b""
    ttl_s: float = 60.0


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """What travels on a link: a message's bytes under a call's number.

    Parameters
    ----------
    number : int
        Pairs an answer with its call.
    is_answer : bool
        Whether this is an answer.
    body : msgspec.Raw
        The message.
    clock : int
        The sender's `CausalClock` value; 0 where it has none.
    """

    number: int
    is_answer: bool
    body: msgspec.Raw
    clock: int = 0
