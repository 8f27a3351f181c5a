"""Queue of one pool: lanes by priority, fair queueing of organisations in each."""

import enum
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator

import msgspec

from boragedeck.ids import OrganisationName
from boragedeck.interfaces import SlotRequest
from boragedeck.process.crashes.isolation import RunGuard
from boragedeck.version.tables import Priority, RouteKind

__all__ = ["FairQueue", "Lane", "Ticket"]

MAX_QUEUED = 4096
MAX_QUEUED_PER_ORGANISATION = 1024
MAX_TIMES_PASSED_OVER = 8
TOKENS_PER_COST_UNIT = 1000.0


class Lane(enum.IntEnum):
    """Priority class of a queued request; lower values are served first."""

    RESUME = 0
    CALL = 1
    INTERACTIVE = 2
    BATCH = 3

    @classmethod
    def of(cls, request: SlotRequest) -> "Lane":
        """Return the lane of a request."""
        if request.is_resume:
            return cls.RESUME
        if request.route.kind is RouteKind.CALL:
            return cls.CALL
        if request.route.priority is Priority.INTERACTIVE:
            return cls.INTERACTIVE
        return cls.BATCH


class Ticket:
    """A request that waits for a slot.

    Parameters
    ----------
    request : SlotRequest
        The request.
    expires_at : float
        When the wait must end, in monotonic seconds.
    on_done : callable
        Called once with the result.
    guard : RunGuard, optional
        Keeps the request apart from other requests suspected of crashing upstreams.
    """

    def __init__(
        self,
        request: SlotRequest,
        expires_at: float,
        on_done: Callable,
        guard: RunGuard | None = None,
    ):
        self.guard = guard
        self.request = request
        self.expires_at = expires_at
        self.lane = Lane.of(request)
        self.is_done = False
        self._on_done = on_done

    def finish(self, result) -> None:
        """Deliver the result; further calls have no effect."""
        if not self.is_done:
            self.is_done = True
            self._on_done(result)


class FairQueue:
    """The queued requests of one pool.

    Parameters
    ----------
    weight : callable
        Returns the current weight of an organisation.

    Notes
    -----
    Lanes are served in order of priority, but a lane that was passed over
    `MAX_TIMES_PASSED_OVER` times is served next, so that no lane starves. In the
    resume lane, interactive requests are served first, then those with the earliest
    deadline. The other lanes use start-time fair queueing: each request is tagged
    with the virtual time at which its organisation's earlier requests will have been
    served. State: at most `MAX_QUEUED` requests, at most
    `MAX_QUEUED_PER_ORGANISATION` of them from one organisation, each until its
    deadline.
    """

    def __init__(self, weight: Callable[[OrganisationName], float]):
        self._resumes: list[tuple[bool, float, int, Ticket]] = []
        self._lanes = {lane: _FairLane(weight) for lane in Lane if lane.value}
        self._passed_over = dict.fromkeys(Lane, 0)
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._resumes) + sum(map(len, self._lanes.values()))

    def is_full(self, organisation: OrganisationName) -> bool:
        """Return whether the queue has no room for a new request of an organisation."""
        own = sum(lane.count(organisation) for lane in self._lanes.values())
        return len(self) >= MAX_QUEUED or own >= MAX_QUEUED_PER_ORGANISATION

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        if ticket.lane is Lane.RESUME:
            request = ticket.request
            is_batch = request.route.priority is Priority.BATCH
            item = (is_batch, request.deadline, next(self._sequence), ticket)
            heapq.heappush(self._resumes, item)
        else:
            self._lanes[ticket.lane].push(ticket)

    def ordered(self) -> Iterator[Ticket]:
        """Yield the queued requests in the order in which they should be served."""
        lanes = sorted(Lane, key=lambda lane: (not self._is_due(lane), lane))
        for lane in lanes:
            yield from self._ordered_in_lane(lane)

    def remove(self, ticket: Ticket, *, is_served: bool) -> None:
        """Remove a request.

        Parameters
        ----------
        ticket : Ticket
            The request.
        is_served : bool
            Whether it was given a slot, which counts against its organisation's share.
        """
        if ticket.lane is Lane.RESUME:
            self._resumes = [item for item in self._resumes if item[3] is not ticket]
            heapq.heapify(self._resumes)
        else:
            self._lanes[ticket.lane].remove(ticket, is_served=is_served)
        if is_served:
            self._count_served(ticket.lane)

    def count_ahead_of(self, request: SlotRequest) -> float:
        """Return the expected number of requests served before a new one."""
        lane = Lane.of(request)
        if lane is Lane.RESUME:
            return float(len(self._resumes))
        ahead = float(len(self._resumes))
        ahead += sum(len(self._lanes[other]) for other in self._lanes if other < lane)
        return ahead + self._lanes[lane].count_ahead_of(request.organisation)

    def expired(self, now: float) -> list[Ticket]:
        """Return the requests whose deadline has passed."""
        tickets = itertools.chain.from_iterable(map(self._ordered_in_lane, Lane))
        return [ticket for ticket in tickets if ticket.expires_at <= now]

    def _ordered_in_lane(self, lane: Lane) -> Iterator[Ticket]:
        if lane is Lane.RESUME:
            for item in sorted(self._resumes, key=lambda item: item[:3]):
                yield item[3]
        else:
            yield from self._lanes[lane].ordered()

    def _is_due(self, lane: Lane) -> bool:
        return self._passed_over[lane] >= MAX_TIMES_PASSED_OVER and self._size(lane) > 0

    def _size(self, lane: Lane) -> int:
        return len(self._resumes) if lane is Lane.RESUME else len(self._lanes[lane])

    def _count_served(self, served: Lane) -> None:
        self._passed_over[served] = 0
        for lane in Lane:
            if lane > served:
                waits = self._size(lane) > 0
                self._passed_over[lane] = self._passed_over[lane] + 1 if waits else 0


class _TaggedTicket(msgspec.Struct, frozen=True):
    """A ticket with the virtual time at which its turn comes."""

    start: float
    ticket: Ticket


class _FairLane:
    """Queue of one lane with start-time fair queueing of organisations."""

    def __init__(self, weight: Callable[[OrganisationName], float]):
        self._weight = weight
        self._queues: dict[OrganisationName, deque[_TaggedTicket]] = {}
        self._virtual_finish: dict[OrganisationName, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def count(self, organisation: OrganisationName) -> int:
        return len(self._queues.get(organisation, ()))

    def push(self, ticket: Ticket) -> None:
        organisation = ticket.request.organisation
        start = max(self._virtual_time, self._virtual_finish.get(organisation, 0.0))
        cost = 1.0 + ticket.request.prompt_tokens / TOKENS_PER_COST_UNIT
        weight = max(1e-6, self._weight(organisation))
        self._virtual_finish[organisation] = start + cost / weight
        self._queues.setdefault(organisation, deque()).append(
            _TaggedTicket(start, ticket)
        )

    def ordered(self) -> Iterator[Ticket]:
        merged = heapq.merge(*self._queues.values(), key=lambda tagged: tagged.start)
        for tagged in merged:
            yield tagged.ticket

    def remove(self, ticket: Ticket, *, is_served: bool) -> None:
        organisation = ticket.request.organisation
        queue = self._queues[organisation]
        tagged = next(item for item in queue if item.ticket is ticket)
        queue.remove(tagged)
        if is_served:
            self._virtual_time = max(self._virtual_time, tagged.start)
        if not queue:
            del self._queues[organisation]
            self._drop_past_finish_times()

    def count_ahead_of(self, organisation: OrganisationName) -> float:
        own = self.count(organisation)
        weight = max(1e-6, self._weight(organisation))
        # While this organisation's requests are served, every other organisation
        # is served in proportion to its weight, up to its number of queued requests.
        others = (
            min(len(queue), (own + 1) * self._weight(other) / weight)
            for other, queue in self._queues.items()
            if other != organisation
        )
        return own + sum(others)

    def _drop_past_finish_times(self) -> None:
        for organisation in list(self._virtual_finish):
            is_past = self._virtual_finish[organisation] <= self._virtual_time
            if is_past and organisation not in self._queues:
                del self._virtual_finish[organisation]
