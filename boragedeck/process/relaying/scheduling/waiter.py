"""A request that waits for a place, and how its wait ended."""

import enum

import msgspec
from eventlet.event import Event

from boragedeck.process.relaying.placing.place import AdmissionRequest, Place

__all__ = ["QueueOutcome", "Waiter"]


class QueueOutcome(enum.Enum):
    """How a request that found no free place ended."""

    GRANTED = "granted"
    NO_TIME = "no_time"
    """Refused at once, since the expected wait is longer than it may wait."""
    FULL = "full"
    """Refused at once, since the queue is full of requests that cost more to lose."""
    DISPLACED = "displaced"
    """Refused while it waited, for one that costs more to lose in a full queue."""
    EXPIRED = "expired"
    """Refused, since no place was free in time."""
    LEFT = "left"
    """Its handler ended, as after its caller has disconnected."""


class Waiter(msgspec.Struct, eq=False, kw_only=True):
    """A waiting request.

    Parameters
    ----------
    req : AdmissionRequest
        The request.
    since : float
        When it began to wait, on the timer service's clock.
    sequence : int
        Increases with each request.
    work : float
        The share of a replica that it takes; see `work_of`.
    passed_over : float
        The work of requests that got places although they came after it in the order.
    ended : Event
        Sent when the wait ends.
    outcome : QueueOutcome or None
        How the wait ended; None while it waits.
    place : Place or None
        The place, if one was granted.
    """

    req: AdmissionRequest
    since: float
    sequence: int
    work: float
    passed_over: float = 0.0
    ended: Event = msgspec.field(default_factory=Event)
    outcome: QueueOutcome | None = None
    place: Place | None = None

    def end(self, outcome: QueueOutcome, place: Place | None = None) -> None:
        """End the wait; further calls have no effect."""
        if self.outcome is None:
            self.outcome = outcome
            self.place = place
            self.ended.send()

    def is_late(self, now: float) -> bool:
        """Return whether the objective is missed even if a place is granted now."""
        return now + self.req.needed_s > self.req.goal_at
