"""Messages about answers and their copies."""

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
    """An answer as a copy holder has it.

    Parameters
    ----------
    key : AnswerKey
        Names the answer.
    spec : AnswerSpec
        What to run.
    version : Version or None
        The upstream version of its runs.
    lineage : tuple of Epoch
        All epochs so far.
    prompt_ids : tuple of int or None
        Token ids of the prompt.
    chunks : tuple of Chunk
        The tokens so far.
    finish : Finish or None
        How it ended.
    owner : Address
        Where its owner listens for peers.
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
    """What one answer adds to its copy.

    Parameters
    ----------
    key : AnswerKey
        Names the answer.
    epoch : Epoch
        The owner's epoch.
    start : int
        How many chunks the copy must have.
    chunks : tuple of Chunk
        Those that follow.
    finish : Finish or None
        How the answer ended.
    prompt_ids : tuple of int or None
        Token ids of the prompt, where the copy lacks them.
    version : Version or None
        The upstream version, sent together with `prompt_ids`.
    upstream_url : str or None
        The engine that runs it, where it has changed.
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
    """Adds to copies: whole images for new ones, items for the others."""

    images: tuple[CopyImage, ...]
    items: tuple[CopyItem, ...]


class CopyStatus(enum.Enum):
    """What became of one item."""

    STORED = "stored"
    MISSING = "missing"
    """The holder lacks what comes before: send the whole image."""
    STALE = "stale"
    """Another router owns the answer."""
    FULL = "full"
    """The holder has no room: choose another."""


class CopyAppended(Message, frozen=True):
    """Answers `CopyAppend`: a status for each image, then for each item."""

    statuses: tuple[CopyStatus, ...]


class FindAnswer(Message, frozen=True):
    """Asks for what a router knows of an answer."""

    key: AnswerKey


class Found(Message, frozen=True):
    """What a router knows of an answer.

    Parameters
    ----------
    is_owner : bool
        Whether it owns the answer; otherwise it holds a copy.
    epoch : Epoch
        The last epoch that it knows.
    end : int
        The position behind its last token.
    body_hash : str
        See `AnswerSpec`.
    owner : Address
        Where the owner listens for peers.
    is_finished : bool
        Whether it knows the end.
    """

    is_owner: bool
    epoch: Epoch
    end: int
    body_hash: str
    owner: Address
    is_finished: bool


class NotFound(Message, frozen=True):
    """The router knows nothing of the answer."""


class ClaimAnswer(Message, frozen=True):
    """Claims an id for a new answer, so that two routers don't both start it."""

    key: AnswerKey
    owner: Address


class Claimed(Message, frozen=True):
    """Says who has the claim."""

    owner: Address


class SeizeCopy(Message, frozen=True):
    """Takes an answer over: the copy refuses lower epochs from now on.

    Parameters
    ----------
    key : AnswerKey
        Names the answer.
    seen : Epoch
        The epoch that the new owner has seen; it must be the copy's.
    tag : int
        The new epoch's tag.
    owner : Address
        Where the new owner listens for peers.
    """

    key: AnswerKey
    seen: Epoch
    tag: int
    owner: Address


class HandOver(Message, frozen=True):
    """Asks a copy holder to take an answer over, since its owner is leaving."""

    key: AnswerKey
    epoch: Epoch


class ReadAnswer(Message, frozen=True):
    """Reads on from an owner, for a caller at another router.

    Parameters
    ----------
    key : AnswerKey
        Names the answer.
    after : int
        The position behind the last token that the reader has.
    wait_s : float
        How long to wait for something new, in seconds.
    """

    key: AnswerKey
    after: int
    wait_s: float


class AnswerPart(Message, frozen=True):
    """What followed a position of an answer.

    Parameters
    ----------
    spec : AnswerSpec
        What runs.
    lineage : tuple of Epoch
        All epochs so far.
    prompt_tokens : int
        Length of the prompt, or 0 where it isn't known yet.
    chunks : tuple of Chunk
        The committed tokens that follow.
    finish : Finish or None
        Set behind the last token.
    """

    spec: AnswerSpec
    lineage: tuple[Epoch, ...]
    prompt_tokens: int
    chunks: tuple[Chunk, ...]
    finish: Finish | None


class CancelAnswer(Message, frozen=True):
    """Stops an answer at its owner."""

    key: AnswerKey
