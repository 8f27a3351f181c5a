"""Ids of server-sent events; an id encodes a position and the tag of its epoch."""

import msgspec
from result import Err, Ok, Result

from boragedeck.exceptions import RefusedError
from boragedeck.ids import ExecutionStatus
from boragedeck.request.answer import Epoch

__all__ = [
    "MAX_POSITION",
    "MAX_TAG",
    "EventId",
    "lineage_contains",
    "format_event_id",
    "parse_event_id",
]

MAX_POSITION = 10_000_000
"""The position is encoded in the last seven digits of an event id."""
MAX_TAG = 900_000_000


class EventId(msgspec.Struct, frozen=True):
    """The last event of an answer that a caller has received.

    Parameters
    ----------
    tag : int
        The tag of the epoch in which the event was delivered.
    position : int
        The position after the last token received.
    """

    tag: int
    position: int


def format_event_id(lineage: list[Epoch], position: int) -> str:
    """Return the id of the event that ends at a position.

    Parameters
    ----------
    lineage : list of Epoch
        The epochs of the answer.
    position : int
        The position after the last token of the event.
    """
    tag = next(
        (epoch.tag for epoch in reversed(lineage) if epoch.start < position),
        lineage[0].tag,
    )
    return str(tag * MAX_POSITION + position)


def parse_event_id(text: str | None) -> Result[EventId | None, RefusedError]:
    """Parse the header `Last-Event-ID`.

    Returns
    -------
    Result
        None if the header is missing or empty.
    """
    if not text:
        return Ok(None)
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        return Err(
            RefusedError(
                f"Last-Event-ID must be the id of an event, not {text[:40]!r}",
                status=400,
                kind="invalid_request_error",
                code="bad_last_event_id",
                ran=ExecutionStatus.UNKNOWN,
                step="read Last-Event-ID",
            )
        )
    tag, position = divmod(int(text), MAX_POSITION)
    return Ok(EventId(tag, position))


def lineage_contains(lineage: list[Epoch], event: EventId) -> bool:
    """Return whether the tokens that a caller has received are a prefix of an answer.

    Parameters
    ----------
    lineage : list of Epoch
        The epochs of the answer.
    event : EventId
        The last event that the caller has received.

    Notes
    -----
    The tokens of an epoch belong to the answer up to the start of the next epoch.
    Tokens that a superseded owner delivered after that position belong to a different
    continuation.
    """
    if event.position == 0:
        return True
    for i, epoch in enumerate(lineage):
        if epoch.tag == event.tag:
            is_last = i + 1 == len(lineage)
            return is_last or event.position <= lineage[i + 1].start
    return False
