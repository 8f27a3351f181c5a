"""Splits a replica's stream into whole events with their ids."""

import msgspec

__all__ = ["EventError", "EventExcessError", "EventSplitter", "StreamEvent"]

MAX_EVENT_BYTES = 1024 * 1024
MAX_EVENTS_WITHOUT_ID = 64
"""So many events without an id may follow each other, such as keep-alive comments."""


class EventError(ValueError):
    """A stream's events make no sense."""


class EventExcessError(EventError):
    """A stream sends bytes that are no events, perhaps without end."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event.

    Parameters
    ----------
    number : int or None
        Its id; None for an event without one.
    data : bytes
        The event as it came, with its empty line.
    """

    number: int | None
    data: bytes


class EventSplitter:
    """Takes a stream in pieces of any size and returns its whole events.

    Parameters
    ----------
    last_number : int or None
        The last event that was delivered; None before the first.

    Notes
    -----
    Events must follow each other without a gap. Without a known last event, the
    first one says where they begin.
    """

    def __init__(self, last_number: int | None):
        self.last_number = last_number
        self._partial = b""
        self._events_without_id = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun and isn't whole."""
        return bool(self._partial)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole now.

        Raises
        ------
        EventError
            Where an event is missing, comes twice or is too long.
        """
        *complete_events, self._partial = (self._partial + data).split(b"\n\n")
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventExcessError(f"an event is over {MAX_EVENT_BYTES} bytes")
        return [self._event(event + b"\n\n") for event in complete_events]

    def _event(self, data: bytes) -> StreamEvent:
        number = _number(data)
        self._events_without_id = (
            0 if number is not None else self._events_without_id + 1
        )
        if self._events_without_id > MAX_EVENTS_WITHOUT_ID:
            raise EventExcessError(f"over {MAX_EVENTS_WITHOUT_ID} events have no id")
        if number is not None:
            if self.last_number is not None and number != self.last_number + 1:
                raise EventError(f"event {number} follows event {self.last_number}")
            self.last_number = number
        return StreamEvent(number, data)


def _number(data: bytes) -> int | None:
    for line in data.split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon and name == b"id":
            value = value.strip()
            if not value.isdigit():
                raise EventError(f"the id {value[:40]!r} is no number")
            return int(value)
    return None
