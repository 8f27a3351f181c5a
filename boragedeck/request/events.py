"""Splits the stream of a replica into complete events with their ids."""

import msgspec

__all__ = [
    "EventError",
    "EventExcessError",
    "EventOrderError",
    "EventSplitter",
    "StreamEvent",
]

MAX_EVENT_BYTES = 1024 * 1024
FIRST_NUMBERS = 0, 1
"""Numbers with which a run may begin."""
MAX_EVENTS_WITHOUT_ID = 64
"""Maximum number of consecutive events without an id, such as keep-alive comments."""


class EventError(ValueError):
    """The events of a stream are invalid."""


class EventOrderError(EventError):
    """An event is missing or repeated."""


class EventExcessError(EventError):
    """A stream sends a too long event, or too many events without an id.

    Notes
    -----
    Such a stream may never end.
    """


class StreamEvent(msgspec.Struct, frozen=True):
    """A complete event.

    Parameters
    ----------
    number : int or None
        The id of the event; None if it has none.
    data : bytes
        The event as received, including the empty line at its end.
    """

    number: int | None
    data: bytes


class EventSplitter:
    """Takes a stream in pieces of any size and returns its complete events.

    Parameters
    ----------
    last_number : int or None
        The number of the last event that was delivered; None before the first.

    Notes
    -----
    The numbers of the events must be consecutive, and begin with one of
    `FIRST_NUMBERS` if no event has been delivered.
    """

    def __init__(self, last_number: int | None):
        self.last_number = last_number
        self._partial = b""
        self._events_without_id = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event has been received."""
        return bool(self._partial)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add data; return the events that are now complete.

        Raises
        ------
        EventError
            If an event has an invalid id.
        EventOrderError
            If an event is missing or repeated.
        EventExcessError
            If an event is too long, or too many events have no id.
        """
        *complete_events, self._partial = (self._partial + data).split(b"\n\n")
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventExcessError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return [self._event(event + b"\n\n") for event in complete_events]

    def _event(self, data: bytes) -> StreamEvent:
        number = _number(data)
        self._events_without_id = (
            0 if number is not None else self._events_without_id + 1
        )
        if self._events_without_id > MAX_EVENTS_WITHOUT_ID:
            raise EventExcessError(
                f"more than {MAX_EVENTS_WITHOUT_ID} consecutive events have no id"
            )
        if number is not None:
            self._check_order(number)
            self.last_number = number
        return StreamEvent(number, data)

    def _check_order(self, number: int) -> None:
        last = self.last_number
        if last is None and number not in FIRST_NUMBERS:
            raise EventOrderError(f"the first event is event {number}")
        if last is not None and number != last + 1:
            raise EventOrderError(f"event {number} follows event {last}")


def _number(data: bytes) -> int | None:
    for line in data.split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon and name == b"id":
            value = value.strip()
            if not value.isdigit():
                raise EventError(f"the event id {value[:40]!r} is not a number")
            return int(value)
    return None
