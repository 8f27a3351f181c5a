"""Why a caller whose request was read gets no whole answer."""

import enum

from boragedeck.exceptions import BoragedeckError

__all__ = ["CallerDisconnectedError", "CallerNotReadingError", "UnansweredReason"]


class UnansweredReason(enum.Enum):
    """Why a connection is closed without a whole answer to a request."""

    CALLER_LEFT = "caller_left"
    """The caller has closed or reset the connection."""
    NOT_READING = "not_reading"
    """The caller didn't read its answer until its time was over."""
    BROKEN_OFF = "broken_off"
    """The answer has begun and can't go on."""
    NO_ANSWER = "no_answer"
    """Nothing was sent."""
    DEFECT = "defect"
    """An exception that nobody expected, which the log names."""


class CallerDisconnectedError(BoragedeckError):
    """The caller has closed its connection or does not read its response.

    Attributes
    ----------
    reason : UnansweredReason
        Which of the two.
    """

    reason = UnansweredReason.CALLER_LEFT


class CallerNotReadingError(CallerDisconnectedError):
    """The caller does not read its response."""

    reason = UnansweredReason.NOT_READING
