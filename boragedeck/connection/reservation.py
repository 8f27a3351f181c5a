"""Reserves bytes for the requests of callers, waits for them, and ends slow callers."""

import enum
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from boragedeck.connection.memory_budget import (
    SLOW_AFTER_S,
    Grant,
    Holding,
    MemoryBudget,
    Phase,
    Use,
)
from boragedeck.exceptions import AnswerRoomError
from boragedeck.ids import OrganisationName
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService

__all__ = [
    "AnswerRoom",
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
PIECEWISE_BYTES = 256 * 1024
"""From this size on, an answer of unknown length reserves the largest size at once, so
that few such answers are read at a time. Those that wait keep what they have."""
ROOM_MARGIN_S = 0.05
"""How long before the end of an attempt its wait for room ends, in seconds."""
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

    def cut_one(self, asker: Holding | None, count: int) -> bool:
        """End a slow request if there is one; return whether bytes become free."""
        found = self.budget.choose_cut(asker, count, self.timers.now())
        if found is None:
            return False
        found.is_cut = True
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

    def take_answer(self, count: int, until: float) -> bool:
        """Reserve bytes of an answer; wait for them until a time.

        Returns
        -------
        bool
            Whether they are reserved.
        """
        holding, service = self._holding, self._service
        grant = service.budget.ask(holding, Use.ANSWER, count)
        if grant is Grant.NO_ROOM:
            service.note(BudgetEvent.WAITED, holding)
        while grant is Grant.NO_ROOM and self.now < until and not holding.is_closed:
            service.cut_one(holding, count)
            service.wait_freed(until - self.now)
            grant = service.budget.ask(holding, Use.ANSWER, count)
        if grant is not Grant.GRANTED:
            service.note(BudgetEvent.NO_ROOM, holding)
        return grant is Grant.GRANTED

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


class AnswerRoom:
    """Room for the answer of one attempt.

    Parameters
    ----------
    reservation : Reservation
        The reservation of the request.
    timeout_s : float
        How long the attempt may take, in seconds.

    Attributes
    ----------
    has_waited : bool
        Whether the replica wasn't read for a while, as there was no room.
    """

    def __init__(self, reservation: Reservation, timeout_s: float):
        self._reservation = reservation
        self._until = reservation.now + timeout_s - ROOM_MARGIN_S
        self._held = 0
        self.has_waited = False

    def hold(self, size: int, length: int | None, max_bytes: int) -> None:
        """Reserve what an answer needs that has reached a size.

        Parameters
        ----------
        size : int
            The bytes that have arrived.
        length : int or None
            The whole length; None if it isn't known.
        max_bytes : int
            The largest size of an answer.

        Raises
        ------
        AnswerRoomError
            If there is no room in time.
        """
        if size <= self._held:
            return
        needed = max(size, min(length or 0, max_bytes))
        if length is None and size > PIECEWISE_BYTES:
            needed = max(size, max_bytes)
        since = self._reservation.now
        is_held = self._reservation.take_answer(needed - self._held, self._until)
        self.has_waited |= self._reservation.now > since
        if not is_held:
            raise AnswerRoomError("no room for the answer", step="read body")
        self._held = needed

    def release(self) -> None:
        """Give the bytes back, as the answer isn't kept."""
        held, self._held = self._held, 0
        self._reservation.give_back_answer(held)


def unlimited_reservations(timers: TimerService) -> ReservationService:
    """Return a service whose budget has no limit."""
    return ReservationService(MemoryBudget(UNLIMITED_BYTES), timers)
