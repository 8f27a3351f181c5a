"""The planned stop of a router: it ends what it serves within the operators' time."""

from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService
from boragedeck.request.open_requests import OpenRequests

__all__ = ["DrainPeriod", "DrainableEdge"]

LEAVE_PERIOD_S = 3.0
"""How long after the stop has begun the platform may still send callers here."""
LEAVE_SHARE = 0.5
"""The longest such time as a share of the whole stop."""
LATE_MARGIN_S = 0.2
"""How long before that time is over a request may count as sent after it."""
GRACE_MARGIN_S = 0.4
"""How long before the operators' time is over the stop ends."""
GRACE_MARGIN_SHARE = 1 / 12
"""The longest such time as a share of the stop. Only its last sixth ends answers."""
FINAL_ANSWERS_S = 0.3
"""How long before the end of the stop what hasn't begun is answered."""
FINAL_ANSWERS_SHARE = 1 / 24
"""The longest such time as a share of the stop."""
LAST_SHARE = 0.5
"""Share of the margin that the last answers may use if the process is late."""
POLL_S = 0.05
MAX_LOGGED_IDS = 16

_log = PartLog("daemon")


class DrainableEdge(Protocol):
    """A server of callers that can stop without aborting requests."""

    is_leaving: bool

    def stop_accepting(self) -> None:
        """Accept no further connections."""

    def close_idle(self) -> None:
        """Close the connections without a request."""

    def active_requests(self) -> int:
        """Return the number of requests at which it is still at work."""

    def unanswered_requests(self) -> int:
        """Return the number of requests that aren't answered yet."""

    def refuse_incomplete(self) -> None:
        """Refuse the requests that haven't arrived as a whole."""

    def unanswered_ids(self, most: int) -> list[str]:
        """Return the ids of some requests that were read and aren't answered yet."""


class StopTimes(msgspec.Struct, frozen=True):
    """The parts of a planned stop, on the timer service's monotonic clock.

    Parameters
    ----------
    late_from : float
        From when on what arrives must not be ended by the stop.
    accepts_until : float
        Until when callers are accepted.
    final_answers_at : float
        When what hasn't begun is answered.
    ends_at : float
        When the stop ends what is left.
    latest_end_s : float
        How long after the final answers a late process may end, in seconds.
    """

    late_from: float
    accepts_until: float
    final_answers_at: float
    ends_at: float
    latest_end_s: float


def _stop_times(now: float, grace_s: float) -> StopTimes:
    margin_s = min(GRACE_MARGIN_S, GRACE_MARGIN_SHARE * grace_s)
    accepts_until = now + min(LEAVE_PERIOD_S, LEAVE_SHARE * grace_s)
    ends_at = now + grace_s - margin_s
    return StopTimes(
        late_from=accepts_until - LATE_MARGIN_S,
        accepts_until=accepts_until,
        final_answers_at=ends_at - min(FINAL_ANSWERS_S, FINAL_ANSWERS_SHARE * grace_s),
        ends_at=ends_at,
        latest_end_s=LAST_SHARE * margin_s,
    )


_NO_STOP = StopTimes(*5 * [float("inf")])


class DrainPeriod:
    """The time from a router's stop signal to its end.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    grace_s : callable
        Returns the longest time that a stop may take, in seconds.
    """

    def __init__(self, timers: TimerService, grace_s: Callable[[], float]):
        self._timers = timers
        self._grace_s = grace_s
        self._times = _NO_STOP

    def is_begun(self) -> bool:
        """Return whether the router is stopping."""
        return self._times is not _NO_STOP

    def is_late(self) -> bool:
        """Return whether a request that arrives now must not be ended by the stop."""
        return self._timers.now() >= self._times.late_from

    def time_left(self) -> float:
        """Return how long requests can still be served, in seconds."""
        return self._times.ends_at - self._timers.now()

    def run(self, edges: Iterable[DrainableEdge], requests: OpenRequests) -> None:
        """Finish all requests, and return when they are answered or the time is over.

        Parameters
        ----------
        edges : iterable of DrainableEdge
            The servers of callers and of other routers.
        requests : OpenRequests
            The requests of callers.

        Notes
        -----
        The platform may send callers here until it has seen that this router isn't
        ready, so requests that can end in time are accepted for another
        `LEAVE_PERIOD_S`. What waits is answered as soon as it can't be served in time
        any more, and what hasn't begun shortly before the end.
        """
        edges = tuple(edges)
        grace_s = self._grace_s()
        times = self._times = _stop_times(self._timers.now(), grace_s)
        _log.write("Stop begins.", grace_s=grace_s, **requests.counts())
        for edge in edges:
            edge.is_leaving = True
        self._serve_on(requests, times.accepts_until, lambda: True)
        for edge in edges:
            edge.stop_accepting()
            edge.close_idle()
        self._serve_on(
            requests, times.final_answers_at, lambda: _active_requests(edges) > 0
        )
        self._answer_all(edges, requests)
        self._log_end(edges, requests)

    def _serve_on(
        self, requests: OpenRequests, until: float, is_needed: Callable[[], bool]
    ) -> None:
        """Give up what can't be served any more, while that is needed."""
        while is_needed() and (left_s := until - self._timers.now()) > 0.0:
            requests.end_outlasting(self.time_left())
            self._timers.sleep(min(POLL_S, left_s))

    def _answer_all(
        self, edges: tuple[DrainableEdge, ...], requests: OpenRequests
    ) -> None:
        """Answer what hasn't begun, and wait until all are answered or time is over."""
        for edge in edges:
            edge.refuse_incomplete()
        requests.end_unbegun(self.time_left())
        # A process that stood still until now needs some time all the same.
        latest_end = self._timers.now() + self._times.latest_end_s
        until = max(self._times.ends_at, latest_end)
        while _active_requests(edges) and self._timers.now() < until:
            self._timers.sleep(POLL_S)

    def _log_end(
        self, edges: tuple[DrainableEdge, ...], requests: OpenRequests
    ) -> None:
        requests.log_unanswered()
        ids = [each for edge in edges for each in edge.unanswered_ids(MAX_LOGGED_IDS)]
        _log.write(
            "Drained.",
            unanswered=sum(edge.unanswered_requests() for edge in edges),
            requests=ids[:MAX_LOGGED_IDS],
            left_s=round(self.time_left(), 3),
        )


def _active_requests(edges: Iterable[DrainableEdge]) -> int:
    return sum(edge.active_requests() for edge in edges)
