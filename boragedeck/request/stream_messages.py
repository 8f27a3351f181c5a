"""What an attempt of a stream reports to the thread that has the caller."""

import enum

import msgspec

__all__ = [
    "AttemptOutcome",
    "Ended",
    "Events",
    "Heard",
    "Silent",
    "StreamMessage",
]


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    COMPLETE = "complete"
    NOT_TAKEN = "not_taken"
    """The request did not run."""
    LOST = "lost"
    """The stream broke off, or the request may have run without an answer."""


class Events(msgspec.Struct, frozen=True):
    """Complete events have arrived.

    Parameters
    ----------
    data : bytes
        The events.
    follows : int or None
        Number of the event that they follow in the run; None if it begins with them.
    position : int or None
        Number of the last one of them.
    """

    data: bytes
    follows: int | None
    position: int | None


class Silent(msgspec.Struct, frozen=True):
    """The replica sends nothing; repeated while that lasts.

    Parameters
    ----------
    since : float
        When it was found to be silent, on the timer service's monotonic clock.
    may_work : bool
        Whether nothing says that it stands still, since it asked not to be probed.
    """

    since: float
    may_work: bool


class Heard(msgspec.Struct, frozen=True):
    """The replica was silent, and has answered a probe."""


class Ended(msgspec.Struct, frozen=True):
    """The attempt has ended.

    Parameters
    ----------
    outcome : AttemptOutcome
        How it ended.
    position : int or None
        Number of the last event that it has read; None before the first.
    """

    outcome: AttemptOutcome
    position: int | None


StreamMessage = Events | Silent | Heard | Ended
