"""Orders waiting requests by priority, lateness and organisation.

Handles a burst of the least urgent requests that is followed by one of the most urgent,
and long bursts of urgent requests under which the others must not starve.
"""

from collections.abc import Iterable

import msgspec

from boragedeck.ids import OrganisationName
from boragedeck.process.relaying.scheduling.organisation_shares import (
    OrganisationShares,
)
from boragedeck.process.relaying.scheduling.waiter import Waiter

__all__ = [
    "GUARANTEED_SHARE",
    "MAX_COUNTED_PRIORITIES",
    "MAX_TIMES_PASSED_OVER",
    "Lane",
    "ServiceOrder",
]

MAX_TIMES_PASSED_OVER = 7
"""How often a priority is passed over until it is next. An eighth of the places then
goes to it, which serves a route that makes up half of the requests a quarter as often
as all of them."""
GUARANTEED_SHARE = 1.0 / (MAX_TIMES_PASSED_OVER + 1)
"""Share of the places that a priority gets while its requests wait."""
MAX_COUNTED_PRIORITIES = 64


class Lane(msgspec.Struct, frozen=True, order=True):
    """Key of waiting requests of one priority that are all late, or all in time.

    Parameters
    ----------
    priority : int
        The priority of the requests; 0 is the most urgent.
    is_late : bool
        Whether their objectives can't be met any more, so that they lose nothing by
        waiting until their time is over.
    """

    priority: int
    is_late: bool


class ServiceOrder:
    """The order in which the waiting requests of one pool get places.

    Notes
    -----
    State: two counts for each of at most `MAX_COUNTED_PRIORITIES` priorities, and the
    shares of organisations.
    """

    def __init__(self):
        self.shares = OrganisationShares()
        # How often each priority was passed over for more urgent ones, and the late
        # requests of each priority for those that can still meet their objectives.
        self._passed_over: dict[int, int] = {}
        self._late_passed_over: dict[int, int] = {}
        # Whether the last place went to a priority that was due, before a more urgent.
        self._was_inverted = False

    def ordered(self, waiters: Iterable[Waiter], now: float) -> list[Waiter]:
        """Return the requests in the order in which they get places.

        Notes
        -----
        An answer that has begun can't be refused any more, and its caller notices each
        pause, so it comes before all others.
        """
        begun: list[Waiter] = []
        lanes: dict[Lane, list[Waiter]] = {}
        for waiter in waiters:
            if waiter.req.has_begun:
                begun.append(waiter)
            else:
                lanes.setdefault(_lane(waiter, now), []).append(waiter)
        begun.sort(key=lambda waiter: (waiter.req.until, waiter.sequence))
        order = begun
        for lane in sorted(lanes, key=self._rank):
            order += self._ordered_in_lane(lanes[lane], lane)
        return order

    def note_granted(
        self, granted: Waiter, others: Iterable[Waiter], now: float
    ) -> None:
        """Record that a request got a place while others wait.

        Parameters
        ----------
        granted : Waiter
            The request.
        others : iterable of Waiter
            The requests that still wait.
        now : float
            The current time, on the timer service's clock.
        """
        self.shares.note_granted(granted.req.organisation, granted.work)
        if granted.req.has_begun:
            return
        served = _lane(granted, now)
        waiting = {_lane(other, now) for other in others if not other.req.has_begun}
        priorities = {lane.priority for lane in waiting}
        is_inverted = any(priority < served.priority for priority in priorities)
        self._was_inverted = is_inverted and self._overdue(served.priority) > 0
        self._passed_over.pop(served.priority, None)
        for priority in priorities:
            if priority > served.priority:
                _count(self._passed_over, priority)
        if served.is_late:
            self._late_passed_over.pop(served.priority, None)
        elif Lane(served.priority, True) in waiting:
            _count(self._late_passed_over, served.priority)

    def first_to_refuse(self, waiters: Iterable[Waiter], now: float) -> Waiter:
        """Return the request whose refusal costs least."""
        return max(
            waiters,
            key=lambda waiter: (
                not waiter.req.has_begun,
                _lane(waiter, now),
                not waiter.req.is_resumed,
                waiter.work,
                waiter.sequence,
            ),
        )

    def _rank(self, lane: Lane) -> tuple[int, int, bool]:
        """Return the order of a lane; lower ones are served first."""
        late_passed_over = self._late_passed_over.get(lane.priority, 0)
        is_late_due = late_passed_over >= MAX_TIMES_PASSED_OVER
        is_behind = lane.is_late is not is_late_due
        return -self._overdue(lane.priority), lane.priority, is_behind

    def _overdue(self, priority: int) -> int:
        """Return how often a priority was passed over if it is due now, otherwise 0.

        Notes
        -----
        Every other place at least is granted by urgency, however many are due.
        """
        passed_over = self._passed_over.get(priority, 0)
        is_due = passed_over >= MAX_TIMES_PASSED_OVER and not self._was_inverted
        return passed_over if is_due else 0

    def _ordered_in_lane(self, waiters: list[Waiter], lane: Lane) -> list[Waiter]:
        by_organisation: dict[OrganisationName | None, list[Waiter]] = {}
        for waiter in waiters:
            by_organisation.setdefault(waiter.req.organisation, []).append(waiter)
        turns: list[tuple[float, int, Waiter]] = []
        for organisation, own in by_organisation.items():
            turn = self.shares.next_turn(organisation)
            for waiter in sorted(own, key=lambda each: _key_in_lane(each, lane)):
                turns.append((turn, waiter.sequence, waiter))
                turn += waiter.work
        turns.sort(key=lambda turn: turn[:2])
        return [waiter for _, _, waiter in turns]


def _count(counts: dict[int, int], priority: int) -> None:
    """Count one more; priorities beyond the bound begin anew with all others."""
    if priority not in counts and len(counts) >= MAX_COUNTED_PRIORITIES:
        counts.clear()
    counts[priority] = counts.get(priority, 0) + 1


def _lane(waiter: Waiter, now: float) -> Lane:
    return Lane(waiter.req.priority, waiter.is_late(now))


def _key_in_lane(waiter: Waiter, lane: Lane) -> tuple[bool, float, float, int]:
    """Return the order of one organisation's requests in a lane.

    Notes
    -----
    A stream that its caller resumes has been delivered in part. Late requests are
    served as they came.
    """
    goal_at = 0.0 if lane.is_late else waiter.req.goal_at
    work = 0.0 if lane.is_late else waiter.work
    return not waiter.req.is_resumed, goal_at, work, waiter.sequence
