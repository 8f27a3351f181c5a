"""Ids of server-sent events: a position, and the epoch that it belongs to."""

import msgspec
from result import Err, Ok, Result

from boragedeck.exceptions import RefusedError
from boragedeck.ids import ExecutionStatus
from boragedeck.request.answer import Epoch

__all__ = [
    "MAX_POSITION",
    "MAX_TAG",
    "EventId",
    "follows",
    "format_event_id",
    "parse_event_id",
]

MAX_POSITION = 10_000_000
"""Positions stand in the last seven digits."""
MAX_TAG = 900_000_000


class EventId(msgspec.Struct, frozen=True):
    """A caller's word on how far it has received an answer.

    Parameters
    ----------
    tag : int
        The tag of the epoch that delivered the last event.
    position : int
        The position behind the last token received.
    """

    tag: int
    position: int


def format_event_id(lineage: list[Epoch], position: int) -> str:
    """Return the id of the event that ends at a position.

    Parameters
    ----------
    lineage : list of Epoch
        The answer's epochs.
    position : int
        The position behind the event's last token.
    """
    tag = next(
        (epoch.tag for epoch in reversed(lineage) if epoch.start < position),
        lineage[0].tag,
    )
    return str(tag * MAX_POSITION + position)


def parse_event_id(text: str | None) -> Result[EventId | None, RefusedError]:
    """Read the header `Last-Event-ID`.

    Returns
    -------
    Result
        None where the header is missing or empty.
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


def follows(lineage: list[Epoch], event: EventId) -> bool:
    """Return whether what a caller has is a prefix of an answer.

    Parameters
    ----------
    lineage : list of Epoch
        The answer's epochs.
    event : EventId
        What the caller has.

    Notes
    -----
    An epoch's tokens belong to the answer up to the start of the next epoch.
    What a superseded owner delivered beyond that is another continuation.
    """
    if event.position == 0:
        return True
    for i, epoch in enumerate(lineage):
        if epoch.tag == event.tag:
            is_last = i + 1 == len(lineage)
            return is_last or event.position <= lineage[i + 1].start
    return False
