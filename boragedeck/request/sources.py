"""Sources from which an answer is read: this router, another router or a copy."""

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.peer import Address, PeerLinks
from boragedeck.exceptions import PeerError, PeerRefusedError, StaleEpochError
from boragedeck.process.timers import TimerService
from boragedeck.request.answer import Answer, AnswerKey, AnswerState, Chunk
from boragedeck.request.copy_messages import AnswerPart, CopyImage, ReadAnswer

__all__ = [
    "LocalSource",
    "RemoteSource",
    "Source",
    "StoredSource",
    "local_part",
    "read_part",
]

REMOTE_READ_MARGIN_S = 0.7
"""Time that reading from another router may take in addition to its wait."""
MAX_REMOTE_WAIT_S = 0.5
MAX_PART_CHUNKS = 512
"""Maximum number of chunks in a part; the rest follows in the next parts."""


class LocalSource(msgspec.Struct, frozen=True):
    """An answer that this router owns."""

    answer: Answer


class RemoteSource(msgspec.Struct, frozen=True):
    """An answer that another router owns."""

    address: Address


class StoredSource(msgspec.Struct, frozen=True):
    """The last copy of a finished answer."""

    image: CopyImage


Source = LocalSource | RemoteSource | StoredSource


def local_part(
    answer: Answer, after: int, wait_s: float, timers: TimerService
) -> Result[AnswerPart, StaleEpochError]:
    """Return the next part of an answer that this router owns.

    Parameters
    ----------
    answer : Answer
        The answer.
    after : int
        The position after the last token that the reader has.
    wait_s : float
        How long to wait for more output, in seconds.
    timers : TimerService
        The source of time.

    Returns
    -------
    Result
        The part that follows, which may be empty; an error if another router has
        taken the answer over.
    """
    answer.note_read(after)
    if not _has_more(answer, after):
        answer.changed.wait(timers, wait_s)
    if answer.state is AnswerState.SUPERSEDED:
        return Err(StaleEpochError("the answer was taken over", step="read answer"))
    committed = answer.chunks[: answer.committed_count]
    chunks = _chunks_after(committed, after)
    is_complete = len(chunks) < MAX_PART_CHUNKS
    finish = answer.finish if answer.is_finish_committed and is_complete else None
    return Ok(
        AnswerPart(
            spec=answer.spec,
            lineage=tuple(answer.lineage),
            prompt_tokens=len(answer.prompt_ids or ()),
            chunks=chunks,
            finish=finish,
        )
    )


def read_part(
    source: Source,
    key: AnswerKey,
    after: int,
    wait_s: float,
    links: PeerLinks,
    timers: TimerService,
) -> Result[AnswerPart, PeerError | StaleEpochError]:
    """Return the next part of an answer from any source; see `local_part`."""
    match source:
        case LocalSource(answer):
            return local_part(answer, after, wait_s, timers)
        case RemoteSource(address):
            wait_s = min(wait_s, MAX_REMOTE_WAIT_S)
            message = ReadAnswer(key, after, wait_s)
            return links.link(address).call(
                message, AnswerPart, timeout_s=wait_s + REMOTE_READ_MARGIN_S
            )
        case StoredSource(image):
            return _stored_part(image, after)


def _has_more(answer: Answer, after: int) -> bool:
    return (
        answer.committed_end > after
        or answer.is_finish_committed
        or answer.state is AnswerState.SUPERSEDED
    )


def _stored_part(image: CopyImage, after: int) -> Result[AnswerPart, PeerError]:
    end = image.chunks[-1].end if image.chunks else 0
    if after > end:
        text = f"the copy ends at position {end}, the reader is at {after}"
        return Err(PeerRefusedError(text, step="read copy"))
    chunks = _chunks_after(list(image.chunks), after)
    is_complete = len(chunks) < MAX_PART_CHUNKS
    return Ok(
        AnswerPart(
            spec=image.spec,
            lineage=image.lineage,
            prompt_tokens=len(image.prompt_ids or ()),
            chunks=chunks,
            finish=image.finish if is_complete else None,
        )
    )


def _chunks_after(chunks: list[Chunk], after: int) -> tuple[Chunk, ...]:
    first = len(chunks)
    while first > 0 and chunks[first - 1].end > after:
        first -= 1
    return tuple(chunks[first : first + MAX_PART_CHUNKS])
