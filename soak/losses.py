"""Decides by the users' rules whether a request without a whole answer was lost."""

from collections.abc import Iterable
from typing import Protocol

import msgspec

from soak.history import Impairment

__all__ = ["Ending", "Work", "crosses_close", "is_excused"]

CONTACT_S = 3.0
GRACE_S = 8.0
AFTER_GRACE_S = 1.0
"""How long after its time a stop still counts."""
LAST_SHARE = 1 / 6
"""Share of a stop's time, at its end, in which what is at work may be ended."""
LEAVE_S = 3.0
"""How long after the SIGTERM a request may be sent and be ended so."""
LOSS_SLACK_S = 0.2


class Work(Protocol):
    """A run of a request at a replica that didn't reject it.

    Attributes
    ----------
    began, ended : float
        When the replica began and ended it, in monotonic seconds.
    broke_off : bool
        Whether the replica itself broke it off.
    """

    began: float
    ended: float
    broke_off: bool


class Ending(msgspec.Struct, frozen=True):
    """The end of a request without a whole answer, in monotonic seconds.

    Parameters
    ----------
    sent : float
        When its first byte was sent.
    sent_whole : float
        When its last byte was sent; infinite if it wasn't.
    over : float
        When its time limit or its route's timeout is reached.
    ended : float
        When its caller saw the end.
    """

    sent: float
    sent_whole: float
    over: float
    ended: float


def crosses_close(ending: Ending, *, is_passed_on: bool) -> bool:
    """Return whether a request crossed the close of its connection.

    Parameters
    ----------
    ending : Ending
        The request's end.
    is_passed_on : bool
        Whether a replica has read it.
    """
    return not is_passed_on and ending.ended <= ending.sent_whole + LOSS_SLACK_S


def is_excused(
    ending: Ending,
    runs: Iterable[Work],
    stops: Iterable[float] = (),
    impairments: Iterable[Impairment] = (),
) -> bool:
    """Return whether a request may end without a whole answer.

    Parameters
    ----------
    ending : Ending
        The request's end.
    runs : iterable of Work
        Its runs, without those that a replica rejected.
    stops : iterable of float
        When its router got SIGTERM, in monotonic seconds.
    impairments : iterable of Impairment
        The unplanned impairments of its router.
    """
    begun = [run for run in runs if run.began < ending.ended]
    return (
        ending.ended >= ending.over
        or _has_broken_off(ending, begun)
        or any(_is_impaired(ending, each) for each in impairments)
        or any(_is_at_work_at_end(ending, begun, stop) for stop in stops)
    )


def _has_broken_off(ending: Ending, runs: list[Work]) -> bool:
    """Return whether a replica broke off the run that was the last to end."""
    last = max(runs, key=lambda run: run.ended, default=None)
    return last is not None and last.broke_off and last.ended <= ending.ended


def _is_impaired(ending: Ending, impairment: Impairment) -> bool:
    is_before_end = impairment.begin <= ending.ended
    return is_before_end and impairment.end >= ending.sent - CONTACT_S


def _is_at_work_at_end(ending: Ending, runs: list[Work], stop: float) -> bool:
    """Return whether a replica was still at work in the last sixth of a stop."""
    begin = stop + (1.0 - LAST_SHARE) * GRACE_S
    if ending.sent > stop + LEAVE_S:
        return False
    if not begin <= ending.ended <= stop + GRACE_S + AFTER_GRACE_S:
        return False
    return any(run.ended >= begin for run in runs)
