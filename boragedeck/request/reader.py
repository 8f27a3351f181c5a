"""Reads an answer for a caller, from the router or copy that has it."""

from result import Err, Ok, Result

from boragedeck.exceptions import RefusedError
from boragedeck.process.answering.answer_service import AnswerService
from boragedeck.process.observing.logs import PartLog
from boragedeck.request.answer import AnswerKey, Chunk
from boragedeck.request.copy_messages import AnswerPart
from boragedeck.request.event_id import (
    EventId,
    format_event_id,
    lineage_contains,
    parse_event_id,
)
from boragedeck.request.lookup import lost_error
from boragedeck.request.sources import Source, read_part

__all__ = ["AnswerReader"]

_log = PartLog("reader")


class AnswerReader:
    """Reads an answer and follows it to its new owner when the owner changes.

    Parameters
    ----------
    service : AnswerService
        Finds the answer again if its owner is lost.
    key : AnswerKey
        The key of the answer.
    source : Source
        The source to read first.
    received : EventId or None
        The last event that the caller has received.

    Notes
    -----
    Each part is checked: it must continue what the caller has received, both in
    position and in epoch. A part that doesn't is never passed on.
    """

    def __init__(
        self,
        service: AnswerService,
        key: AnswerKey,
        source: Source,
        received: EventId | None = None,
    ):
        self._service = service
        self._key = key
        self._source = source
        self._received = received or EventId(0, 0)
        self._is_open = True
        service.attach(source)

    @property
    def position(self) -> int:
        """The position after the last token that was read."""
        return self._received.position

    def next_part(self, wait_s: float) -> Result[AnswerPart, RefusedError]:
        """Return the next part of the answer, which may be empty.

        Parameters
        ----------
        wait_s : float
            How long to wait for more output, in seconds.

        Returns
        -------
        Result
            The part, or an error if the rest of the answer can't be read.
        """
        result = read_part(
            self._source,
            self._key,
            self.position,
            wait_s,
            self._service.links,
            self._service.timers,
        )
        if result.is_ok():
            return self._check_part(result.ok())
        _log.write("Lost the owner.", answer=str(self._key), error=str(result.err()))
        found = self._service.find(self._key, self._received)
        if found.is_err():
            return found
        self._switch_source(found.ok())
        _log.write(
            "Continues with another source.",
            answer=str(self._key),
            position=self.position,
        )
        return self.next_part(wait_s)

    def close(self) -> None:
        """Stop reading; further calls have no effect."""
        if self._is_open:
            self._is_open = False
            self._service.detach(self._source)

    def _switch_source(self, source: Source) -> None:
        self._service.attach(source)
        self._service.detach(self._source)
        self._source = source

    def _check_part(self, part: AnswerPart) -> Result[AnswerPart, RefusedError]:
        lineage = list(part.lineage)
        if not lineage_contains(lineage, self._received):
            return Err(lost_error("another continuation has replaced it"))
        if part.chunks:
            if not _is_contiguous(part.chunks, self.position):
                return Err(lost_error(f"no event ends at position {self.position}"))
            event_id = format_event_id(lineage, part.chunks[-1].end)
            self._received = parse_event_id(event_id).ok()
        return Ok(part)


def _is_contiguous(chunks: tuple[Chunk, ...], position: int) -> bool:
    for chunk in chunks:
        if chunk.end - len(chunk.token_ids) != position:
            return False
        position = chunk.end
    return True
