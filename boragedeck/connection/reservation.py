"""Reserves bytes for the requests of callers, waits for them, and ends slow callers."""

import enum
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from boragedeck.connection.answer_shortage import (
    NO_DEMAND,
    AnswerShortage,
    PlaceDemand,
)
from boragedeck.connection.memory_budget import (
    SLOW_AFTER_S,
    Grant,
    Holding,
    MemoryBudget,
    Phase,
    Use,
)
from boragedeck.ids import OrganisationName, PoolName
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService

__all__ = [
    "BudgetEvent",
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
LOG_INTERVAL_S = 10.0
MAX_LOG_ADDRESSES = 256
UNLIMITED_BYTES = 1 << 60

_log = PartLog("budget")


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
    CUT_FOR_PLACE = "cut_for_place"
    """Its stream wasn't read, and others waited for its place at a replica."""


def _no_demand(pool: PoolName) -> PlaceDemand:
    """Return no demand; the default of `ReservationService.demand_of`."""
    return NO_DEMAND


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
    demand_of : callable
        Returns the demand for places at the replicas of a pool.
    shortage : AnswerShortage
        Decides which answers that wait are dropped.
    """

    def __init__(self, budget: MemoryBudget, timers: TimerService):
        self.budget = budget
        self.timers = timers
        self.on_event: Callable[[BudgetEvent], None] = _ignore_event
        # Sent when bytes are given back, and then replaced.
        self._freed = Event()
        self._is_check_due = False
        self.demand_of: Callable[[PoolName], PlaceDemand] = _no_demand
        self.shortage = AnswerShortage(timers.now())
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

    def must_drop(self, holding: Holding, count: int, until: float) -> bool:
        """Return whether an answer is given up; see `AnswerShortage.must_drop`."""
        now = self.timers.now()
        is_suspect = self.budget.is_suspect(holding, now)
        demand = self._demand_for(holding.pool)
        return self.shortage.must_drop(count, until, demand, now, is_suspect=is_suspect)

    def cut_one(self, asker: Holding | None, count: int) -> bool:
        """End a slow request if there is one; return whether bytes become free."""
        now = self.timers.now()
        found = self.budget.choose_cut(asker, count, now)
        if found is None:
            return False
        is_sending = found.phase is Phase.SENDING
        event = BudgetEvent.CUT_SENDING if is_sending else BudgetEvent.CUT_RECEIVING
        self._cut(found, event)
        return True

    def wait_freed(self, timeout_s: float) -> None:
        """Wait until bytes are given back, or for a time in seconds."""
        with eventlet.Timeout(max(0.0, min(timeout_s, POLL_S)), False):
            self._freed.wait()

    def notify_freed(self) -> None:
        """Wake those that wait for bytes."""
        freed, self._freed = self._freed, Event()
        freed.send()

    def schedule_check(self) -> None:
        """End slow requests soon if others need their bytes or places."""
        is_needed = self.budget.excess() > 0 or self.budget.held[Use.UNSENT] > 0
        if is_needed and not self._is_check_due:
            self._is_check_due = True
            self.timers.call_later(SLOW_AFTER_S, self._check)

    def _check(self) -> None:
        self._is_check_due = False
        while self.budget.excess() > 0 and self.cut_one(None, self.budget.excess()):
            pass
        self._end_slow_streams()
        self.schedule_check()

    def _end_slow_streams(self) -> None:
        """End streams that aren't read if requests wait for their places."""
        for pool, slow in self.budget.slow_streams(self.timers.now()).items():
            for holding in slow[: self.demand_of(pool).waiting]:
                self._cut(holding, BudgetEvent.CUT_FOR_PLACE)

    def _cut(self, holding: Holding, event: BudgetEvent) -> None:
        self.budget.note_cut(holding, self.timers.now())
        self.note(event, holding)
        holding.cut()

    def _demand_for(self, pool: PoolName | None) -> PlaceDemand:
        return NO_DEMAND if pool is None else self.demand_of(pool)


class Reservation:
    """The bytes that are held for one request; must be closed.

    Parameters
    ----------
    service : ReservationService
        Hands the bytes out.
    holding : Holding
        What is held.

    Attributes
    ----------
    room_waits : int
        How often answers to the request found no room at once.
    """

    def __init__(self, service: ReservationService, holding: Holding):
        self._service = service
        self._holding = holding
        self.room_waits = 0
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

    def name_pool(self, pool: PoolName) -> None:
        """Record at whose replicas the request may keep a place."""
        self._holding.pool = pool

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

    def take_answer(self, count: int, until: float) -> bool:
        """Reserve bytes of an answer; wait for them until a time.

        Parameters
        ----------
        count : int
            How many bytes.
        until : float
            When to stop waiting, on the timer service's monotonic clock.

        Returns
        -------
        bool
            Whether they are reserved.
        """
        holding, service = self._holding, self._service
        grant = service.budget.ask(holding, Use.ANSWER, count)
        if grant is Grant.NO_ROOM:
            self.room_waits += 1
            service.note(BudgetEvent.WAITED, holding)
            with service.shortage.count_waiting():
                return self._wait_for_room(count, until)
        if grant is Grant.TOO_LARGE:
            service.note(BudgetEvent.NO_ROOM, holding)
        return grant is Grant.GRANTED

    def _wait_for_room(self, count: int, until: float) -> bool:
        """Wait for the bytes of an answer; return whether they are reserved."""
        holding, service = self._holding, self._service
        while self.now < until and not holding.is_closed:
            service.shortage.note_short(self.now)
            is_freed = service.cut_one(holding, count) or service.budget.has_cut()
            if not is_freed and service.must_drop(holding, count, until):
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
            self._service.shortage.note_read(count, self.now)

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
            self._service.schedule_check()

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
