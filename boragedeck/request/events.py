"""Splits a replica's stream into whole events with their ids."""

import msgspec

__all__ = ["EventError", "EventExcessError", "EventSplitter", "StreamEvent"]

MAX_EVENT_BYTES = 1024 * 1024
MAX_UNNUMBERED = 64
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
    last : int or None
        The last event that was delivered; None before the first.

    Notes
    -----
    Events must follow each other without a gap. Without a known last event, the
    first one says where they begin.
    """

    def __init__(self, last: int | None):
        self.last = last
        self._rest = b""
        self._unnumbered = 0

    @property
    def has_rest(self) -> bool:
        """Whether an event has begun and isn't whole."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole now.

        Raises
        ------
        EventError
            Where an event is missing, comes twice or is too long.
        """
        *wholes, self._rest = (self._rest + data).split(b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventExcessError(f"an event is over {MAX_EVENT_BYTES} bytes")
        return [self._event(whole + b"\n\n") for whole in wholes]

    def _event(self, data: bytes) -> StreamEvent:
        number = _number(data)
        self._unnumbered = 0 if number is not None else self._unnumbered + 1
        if self._unnumbered > MAX_UNNUMBERED:
            raise EventExcessError(f"over {MAX_UNNUMBERED} events have no id")
        if number is not None:
            if self.last is not None and number != self.last + 1:
                raise EventError(f"event {number} follows event {self.last}")
            self.last = number
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
