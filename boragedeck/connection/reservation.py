"""Reserves bytes for the requests of callers, waits for them, and ends slow callers."""

import enum
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import eventlet
import msgspec
from eventlet.event import Event

from boragedeck.connection.memory_budget import (
    SLOW_AFTER_S,
    Grant,
    Holding,
    MemoryBudget,
    Phase,
    Use,
)
from boragedeck.connection.reading_rate import ReadingRate
from boragedeck.ids import OrganisationName
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService

__all__ = [
    "NO_DEMAND",
    "BudgetEvent",
    "PlaceDemand",
    "Reservation",
    "ReservationService",
    "unlimited_reservations",
]

CUT_WAIT_S = 0.5
"""How long a body waits for the bytes of a request that was ended for it."""
POLL_S = 0.25
"""How often a waiting request looks for callers that have become slow, in seconds."""
READ_AHEAD_BYTES = 64 * 1024
"""Counted in addition to a waiting write, for what is read from the replica
meanwhile."""
MAX_WAITING_SHARE = 1 / 2
"""Share of the places of a pool that answers may keep which wait without prospect."""
SHORTAGE_END_S = 1.0
"""How long no answer lacks room until a shortage counts as over, in seconds."""
LOG_INTERVAL_S = 10.0
MAX_LOG_ADDRESSES = 256
UNLIMITED_BYTES = 1 << 60

_log = PartLog("budget")


class PlaceDemand(msgspec.Struct, frozen=True):
    """The demand for places at the replicas that a request may be sent to.

    Parameters
    ----------
    has_waiting : bool
        Whether requests wait for one.
    running : int
        How many this router's requests keep.
    """

    has_waiting: bool
    running: int


NO_DEMAND = PlaceDemand(has_waiting=False, running=0)


class BudgetEvent(enum.Enum):
    """What the budget has done to a request."""

    REFUSED = "refused"
    """There was no room for its body."""
    TOO_LARGE = "too_large"
    """There is never room for its body."""
    WAITED = "waited"
    """Its answer waited for room."""
    NO_ROOM = "no_room"
    """Its answer found no room in its time."""
    DROPPED = "dropped"
    """Its answer had no prospect of room, and others waited for its replica."""
    CUT_RECEIVING = "cut_receiving"
    """Its body came slowly, and others needed the bytes."""
    CUT_SENDING = "cut_sending"
    """Its answer was read slowly, and others needed the bytes."""


def _ignore_event(event: BudgetEvent) -> None:
    """Do nothing; the default of `ReservationService.on_event`."""


class ReservationService:
    """Hands out the bytes of a budget.

    Parameters
    ----------
    budget : MemoryBudget
        Decides who gets bytes.
    timers : TimerService
        The source of time.

    Attributes
    ----------
    on_event : callable
        Called with each `BudgetEvent`.
    """

    def __init__(self, budget: MemoryBudget, timers: TimerService):
        self.budget = budget
        self.timers = timers
        self.on_event: Callable[[BudgetEvent], None] = _ignore_event
        # Sent when bytes are given back, and then replaced.
        self._freed = Event()
        self._is_check_due = False
        self._reading_rate = ReadingRate(timers.now())
        # When answers began to find no room, and the last time that one did.
        self._short_since = self._short_at = float("-inf")
        # How many answers wait for room.
        self._waiting = 0
        self._logged_at: dict[str, float] = {}

    def open(self, address: str, cut: Callable[[], None]) -> "Reservation":
        """Return the reservation of a new request.

        Parameters
        ----------
        address : str
            The caller's address.
        cut : callable
            Ends what the caller is slow at.
        """
        return Reservation(self, self.budget.open(address, cut, self.timers.now()))

    def is_full(self) -> bool:
        """Return whether no more bytes may be added."""
        return self.budget.excess() >= 0

    def note(self, event: BudgetEvent, holding: Holding) -> None:
        """Count an event, and log it once in a while for each address."""
        self.on_event(event)
        now, address = self.timers.now(), holding.address
        if now - self._logged_at.get(address, float("-inf")) < LOG_INTERVAL_S:
            return
        if len(self._logged_at) >= MAX_LOG_ADDRESSES:
            self._logged_at.clear()
        self._logged_at[address] = now
        _log.write(
            "Room is scarce.",
            event=event.value,
            address=address,
            organisation=holding.organisation,
            held=holding.total,
            used=self.budget.used,
            limit=self.budget.limit_bytes,
        )

    def note_read(self, count: int) -> None:
        """Record that a caller has read bytes of an answer that is held."""
        self._reading_rate.note_read(count, self.timers.now())

    def note_short(self) -> None:
        """Record that there is no room for an answer."""
        now = self.timers.now()
        if now - self._short_at >= SHORTAGE_END_S:
            self._short_since = now
        self._short_at = now

    @contextmanager
    def count_waiting(self) -> Iterator[None]:
        """Count an answer that waits for room."""
        self._waiting += 1
        try:
            yield
        finally:
            self._waiting -= 1

    def must_drop(
        self, holding: Holding, count: int, until: float, demand: PlaceDemand
    ) -> bool:
        """Return whether an answer that waits for room is given up for other requests.

        Parameters
        ----------
        holding : Holding
            What its request holds.
        count : int
            The bytes that it lacks.
        until : float
            When it waits no longer, on the timer service's monotonic clock.
        demand : PlaceDemand
            The demand for the place that it keeps at its replica.
        """
        now = self.timers.now()
        if not demand.has_waiting or not self._is_hopeless(count, until, now):
            return False
        is_over_share = self._waiting > MAX_WAITING_SHARE * demand.running
        return is_over_share or self.budget.is_suspect(holding, now)

    def _is_hopeless(self, count: int, until: float, now: float) -> bool:
        """Return whether callers read too slowly for bytes to become free in time.

        Notes
        -----
        The others that wait are taken to need as many. What is freed by ending slow
        callers doesn't count: those who wait may be as slow, and their replicas serve
        nobody else meanwhile.
        """
        if now - self._short_since < SLOW_AFTER_S:
            return False
        freed = self._reading_rate.bytes_per_s(now) * (until - now)
        return freed < count * self._waiting

    def cut_one(self, asker: Holding | None, count: int) -> bool:
        """End a slow request if there is one; return whether bytes become free."""
        now = self.timers.now()
        found = self.budget.choose_cut(asker, count, now)
        if found is None:
            return False
        self.budget.note_cut(found, now)
        is_sending = found.phase is Phase.SENDING
        event = BudgetEvent.CUT_SENDING if is_sending else BudgetEvent.CUT_RECEIVING
        self.note(event, found)
        found.cut()
        return True

    def wait_freed(self, timeout_s: float) -> None:
        """Wait until bytes are given back, or for a time in seconds."""
        with eventlet.Timeout(max(0.0, min(timeout_s, POLL_S)), False):
            self._freed.wait()

    def notify_freed(self) -> None:
        """Wake those that wait for bytes."""
        freed, self._freed = self._freed, Event()
        freed.send()

    def schedule_excess_check(self) -> None:
        """End slow requests soon if the sum is over its limit."""
        if self._is_check_due or self.budget.excess() <= 0:
            return
        self._is_check_due = True
        self.timers.call_later(SLOW_AFTER_S, self._end_excess)

    def _end_excess(self) -> None:
        self._is_check_due = False
        while self.budget.excess() > 0 and self.cut_one(None, self.budget.excess()):
            pass
        self.schedule_excess_check()


class Reservation:
    """The bytes that are held for one request; must be closed.

    Parameters
    ----------
    service : ReservationService
        Hands the bytes out.
    holding : Holding
        What is held.
    """

    def __init__(self, service: ReservationService, holding: Holding):
        self._service = service
        self._holding = holding
        # An interim answer is sent while the body is still being received.
        self._phase_before_send = Phase.RUNNING

    @property
    def now(self) -> float:
        """The time on the timer service's monotonic clock."""
        return self._service.timers.now()

    @property
    def is_cut(self) -> bool:
        """Whether it was ended, since its caller was slow and others need the bytes."""
        return self._holding.is_cut

    def name_organisation(self, name: OrganisationName | None) -> None:
        """Count the bytes to the caller's organisation, too."""
        if name is not None:
            self._service.budget.name_organisation(self._holding, name)

    def take_body(self, count: int) -> Grant:
        """Reserve bytes of a body; wait only for those of a request that is cut."""
        if not count:
            return Grant.GRANTED
        holding, service = self._holding, self._service
        until = self.now + CUT_WAIT_S
        grant = service.budget.ask(holding, Use.BODY, count)
        while grant is Grant.NO_ROOM and self.now < until:
            if not (service.cut_one(holding, count) or service.budget.has_cut()):
                break
            # A request that was cut may have given its bytes back already.
            if service.budget.has_cut():
                service.wait_freed(until - self.now)
            grant = service.budget.ask(holding, Use.BODY, count)
        if grant is Grant.NO_ROOM:
            service.note(BudgetEvent.REFUSED, holding)
        elif grant is Grant.TOO_LARGE:
            service.note(BudgetEvent.TOO_LARGE, holding)
        elif holding.held[Use.BODY] == count:
            # Neither an idle connection nor a slow head makes a body slow.
            holding.enter(Phase.RECEIVING, self.now)
        return grant

    def drop_body(self) -> None:
        """Give the bytes of a body back that isn't kept."""
        budget, holding = self._service.budget, self._holding
        budget.give_back(holding, Use.BODY, holding.held[Use.BODY])
        self._service.notify_freed()

    def take_answer(
        self, count: int, until: float, demand: Callable[[], PlaceDemand]
    ) -> bool:
        """Reserve bytes of an answer; wait for them until a time.

        Parameters
        ----------
        count : int
            How many bytes.
        until : float
            When to stop waiting, on the timer service's monotonic clock.
        demand : callable
            Returns the demand for the places that waiting answers keep.

        Returns
        -------
        bool
            Whether they are reserved.
        """
        holding, service = self._holding, self._service
        grant = service.budget.ask(holding, Use.ANSWER, count)
        if grant is Grant.NO_ROOM:
            service.note(BudgetEvent.WAITED, holding)
            with service.count_waiting():
                return self._wait_for_room(count, until, demand)
        if grant is Grant.TOO_LARGE:
            service.note(BudgetEvent.NO_ROOM, holding)
        return grant is Grant.GRANTED

    def _wait_for_room(
        self, count: int, until: float, demand: Callable[[], PlaceDemand]
    ) -> bool:
        """Wait for the bytes of an answer; return whether they are reserved."""
        holding, service = self._holding, self._service
        while self.now < until and not holding.is_closed:
            service.note_short()
            is_freed = service.cut_one(holding, count) or service.budget.has_cut()
            if not is_freed and service.must_drop(holding, count, until, demand()):
                service.note(BudgetEvent.DROPPED, holding)
                return False
            service.wait_freed(until - self.now)
            if service.budget.ask(holding, Use.ANSWER, count) is Grant.GRANTED:
                return True
        service.note(BudgetEvent.NO_ROOM, holding)
        return False

    def give_back_answer(self, count: int) -> None:
        """Give back bytes of an answer that isn't kept."""
        self._service.budget.give_back(self._holding, Use.ANSWER, count)
        self._service.notify_freed()

    def add_ahead(self, count: int) -> None:
        """Count bytes of requests that were sent ahead."""
        self._service.budget.add(self._holding, Use.AHEAD, count)

    def note_moved(self, count: int) -> None:
        """Record that the caller has sent or read bytes."""
        self._holding.note_moved(count, self.now)
        if self._holding.phase is Phase.SENDING:
            self._service.note_read(count)

    def note_received(self) -> None:
        """Record that the body has arrived."""
        self._holding.enter(Phase.RUNNING, self.now)

    def begin_sending(self, count: int) -> None:
        """Record that the write of some bytes waits for the caller.

        Notes
        -----
        Bytes that aren't reserved as an answer are counted while they wait, with what
        may be read ahead of them.
        """
        budget, holding = self._service.budget, self._holding
        self._phase_before_send = holding.phase
        holding.enter(Phase.SENDING, self.now)
        if count > holding.held[Use.ANSWER]:
            budget.add(holding, Use.UNSENT, count + READ_AHEAD_BYTES)
            self._service.schedule_excess_check()

    def end_sending(self) -> None:
        """Record that the write has ended."""
        budget, holding = self._service.budget, self._holding
        holding.enter(self._phase_before_send, self.now)
        if holding.held[Use.UNSENT]:
            budget.give_back(holding, Use.UNSENT, holding.held[Use.UNSENT])
            self._service.notify_freed()

    def close(self) -> None:
        """Give all bytes back."""
        if not self._holding.is_closed:
            self._service.budget.close(self._holding)
            self._service.notify_freed()


def unlimited_reservations(timers: TimerService) -> ReservationService:
    """Return a service whose budget has no limit."""
    return ReservationService(MemoryBudget(UNLIMITED_BYTES), timers)
