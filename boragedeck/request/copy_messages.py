"""Messages between routers about answers and their copies."""

import enum
from typing import Annotated

import msgspec

from boragedeck.connection.messages import Message
from boragedeck.connection.peer import Address
from boragedeck.ids import Version
from boragedeck.request.answer import AnswerKey, AnswerSpec, Chunk, Epoch, Finish

__all__ = [
    "AnswerPart",
    "CancelAnswer",
    "ClaimAnswer",
    "Claimed",
    "CopyAppend",
    "CopyAppended",
    "CopyImage",
    "CopyItem",
    "CopyStatus",
    "FindAnswer",
    "Found",
    "HandOver",
    "NotFound",
    "ReadAnswer",
    "SeizeCopy",
]


class CopyImage(Message, frozen=True):
    """The complete copy of an answer.

    Parameters
    ----------
    key : AnswerKey
        The key of the answer.
    spec : AnswerSpec
        The specification of the answer.
    version : Version or None
        The upstream version of its runs.
    lineage : tuple of Epoch
        All epochs so far.
    prompt_ids : tuple of int or None
        Token ids of the prompt.
    chunks : tuple of Chunk
        The tokens so far.
    finish : Finish or None
        How the answer ended.
    owner : Address
        The peer address of the owner.
    upstream_url : str
        The engine that runs it, so that a run can be stopped without its owner.
    """

    key: AnswerKey
    spec: AnswerSpec
    version: Version | None
    lineage: Annotated[tuple[Epoch, ...], msgspec.Meta(min_length=1)]
    prompt_ids: tuple[int, ...] | None
    chunks: tuple[Chunk, ...]
    finish: Finish | None
    owner: Address
    upstream_url: str = ""


class CopyItem(msgspec.Struct, frozen=True, array_like=True):
    """An addition to the copy of one answer.

    Parameters
    ----------
    key : AnswerKey
        The key of the answer.
    epoch : Epoch
        The epoch of the owner.
    start : int
        Number of chunks that the copy must already have.
    chunks : tuple of Chunk
        The chunks that follow.
    finish : Finish or None
        How the answer ended.
    prompt_ids : tuple of int or None
        Token ids of the prompt, if the copy lacks them.
    version : Version or None
        The upstream version, sent together with `prompt_ids`.
    upstream_url : str or None
        The engine that runs the answer, if it has changed.
    """

    key: AnswerKey
    epoch: Epoch
    start: int
    chunks: tuple[Chunk, ...]
    finish: Finish | None
    prompt_ids: tuple[int, ...] | None = None
    version: Version | None = None
    upstream_url: str | None = None


class CopyAppend(Message, frozen=True):
    """Adds to copies: images create or replace copies, items extend them."""

    images: tuple[CopyImage, ...]
    items: tuple[CopyItem, ...]


class CopyStatus(enum.Enum):
    """The result of storing one image or item."""

    STORED = "stored"
    MISSING = "missing"
    """The holder lacks the preceding chunks: send the complete image."""
    STALE = "stale"
    """Another router owns the answer."""
    FULL = "full"
    """The holder is full: choose another."""


class CopyAppended(Message, frozen=True):
    """The response to `CopyAppend`: a status for each image, then for each item."""

    statuses: tuple[CopyStatus, ...]


class FindAnswer(Message, frozen=True):
    """Asks a router what it knows about an answer."""

    key: AnswerKey


class Found(Message, frozen=True):
    """What a router knows about an answer.

    Parameters
    ----------
    is_owner : bool
        Whether the router owns the answer; otherwise it holds a copy.
    epoch : Epoch
        The last epoch that the router knows.
    end : int
        The position after the last token that the router has.
    body_hash : str
        See `AnswerSpec`.
    owner : Address
        The peer address of the owner.
    is_finished : bool
        Whether the router knows how the answer ended.
    """

    is_owner: bool
    epoch: Epoch
    end: int
    body_hash: str
    owner: Address
    is_finished: bool


class NotFound(Message, frozen=True):
    """Reports that the router does not know the answer."""


class ClaimAnswer(Message, frozen=True):
    """Claims an id for a new answer so that only one router starts it."""

    key: AnswerKey
    owner: Address


class Claimed(Message, frozen=True):
    """Reports which router has the claim."""

    owner: Address


class SeizeCopy(Message, frozen=True):
    """Takes an answer over: from now on, the copy refuses lower epochs.

    Parameters
    ----------
    key : AnswerKey
        The key of the answer.
    seen : Epoch
        The epoch that the new owner has seen; it must be the epoch of the copy.
    tag : int
        The tag of the new epoch.
    owner : Address
        The peer address of the new owner.
    """

    key: AnswerKey
    seen: Epoch
    tag: int
    owner: Address


class HandOver(Message, frozen=True):
    """Asks a copy holder to take an answer over because its owner is leaving."""

    key: AnswerKey
    epoch: Epoch


class ReadAnswer(Message, frozen=True):
    """Reads the next part from the owner, for a caller of another router.

    Parameters
    ----------
    key : AnswerKey
        The key of the answer.
    after : int
        The position after the last token that the reader has.
    wait_s : float
        How long to wait for more output, in seconds.
    """

    key: AnswerKey
    after: int
    wait_s: float


class AnswerPart(Message, frozen=True):
    """The part of an answer that follows a position.

    Parameters
    ----------
    spec : AnswerSpec
        The specification of the answer.
    lineage : tuple of Epoch
        All epochs so far.
    prompt_tokens : int
        Length of the prompt, in tokens; 0 if it isn't known yet.
    chunks : tuple of Chunk
        The committed tokens that follow.
    finish : Finish or None
        How the answer ended; set only if the part includes the last token.
    """

    spec: AnswerSpec
    lineage: tuple[Epoch, ...]
    prompt_tokens: int
    chunks: tuple[Chunk, ...]
    finish: Finish | None


class CancelAnswer(Message, frozen=True):
    """Asks the owner of an answer to cancel it."""

    key: AnswerKey
