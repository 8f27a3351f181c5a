"""Grants the places of one pool in order, and decides which requests are refused.

Handles more requests of different priorities than the replicas have room for. It
neither waits nor reads a clock; `Admission` holds the waiting green threads.
"""

import itertools
from collections.abc import Callable
from functools import partial

import msgspec

from boragedeck.ids import OrganisationName
from boragedeck.process.relaying.placing.place import AdmissionRequest, Place
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.relaying.scheduling.freed_capacity import (
    FreedCapacity,
    busy_work,
    expected_wait_s,
    work_of,
)
from boragedeck.process.relaying.scheduling.memory_claim import MemoryClaim, is_large
from boragedeck.process.relaying.scheduling.service_order import ServiceOrder
from boragedeck.process.relaying.scheduling.waiter import QueueOutcome, Waiter
from boragedeck.version.routing import EngineProfile

__all__ = ["MAX_WAITING", "Forecast", "PlaceSource", "PoolScheduler"]

MAX_WAITING = 128
"""Maximum number of requests that wait for a pool, which bounds the time that it takes
to look for places for all of them."""
CLAIM_AFTER_SHARE = 0.25
"""Share of the time that it may wait after which a large request may claim room. Most
of the time is left for the engine to free it."""
CLAIM_AFTER_WORK = 1.0
"""Work granted to later requests before that, as a multiple of its own. Claimed
room is idle until there is enough of it, so time alone would leave too much idle."""
MIN_SERVICE_S = 0.001
"""Lower bound of the mean service time in estimates."""


class PlaceSource(msgspec.Struct, frozen=True):
    """Reserves places at the replicas of a pool.

    Parameters
    ----------
    grant : callable
        Reserves a place for a request; returns None if no place is free.
    states : callable
        Returns the replicas that may serve a request.
    most_free_tokens : callable
        Returns the largest number of tokens with which a request to the same pool may
        fit anywhere; less than 0 if none does.
    choose_claim : callable
        Returns the engine at which a large request may have room soonest, if any.
    mean_service_s : callable
        Returns the mean time that a request takes at its replica, in seconds.
    note_change : callable
        Called after a claim has changed this router's load.
    """

    grant: Callable[[AdmissionRequest], Place | None]
    states: Callable[[AdmissionRequest], list[ReplicaState]]
    most_free_tokens: Callable[[AdmissionRequest], float]
    choose_claim: Callable[[AdmissionRequest], ReplicaState | None]
    mean_service_s: Callable[[], float]
    note_change: Callable[[], None]


class _Held(msgspec.Struct):
    """What an organisation's running requests hold."""

    running: int = 0
    work: float = 0.0


class Forecast(msgspec.Struct, frozen=True):
    """What is expected of a waiting request.

    Parameters
    ----------
    wait_s : float
        How long it is expected to wait, in seconds.
    ahead : int
        Number of requests before it.
    ahead_work : float
        Their work, in replicas of an engine or places of a service.
    """

    wait_s: float
    ahead: int
    ahead_work: float


class PoolScheduler:
    """The waiting requests of one pool.

    Parameters
    ----------
    source : PlaceSource
        Reserves the places.

    Attributes
    ----------
    checked_at : float
        When all waiting requests were last checked for places, on the timer service's
        clock.
    """

    def __init__(self, source: PlaceSource):
        self._source = source
        self._waiting: list[Waiter] = []
        self._order = ServiceOrder()
        self._freed = FreedCapacity()
        self._sequence = itertools.count()
        self._held: dict[OrganisationName | None, _Held] = {}
        self._claim: MemoryClaim | None = None
        self._claimant: Waiter | None = None
        self.checked_at = float("-inf")

    def __len__(self) -> int:
        return len(self._waiting)

    def make_waiter(self, req: AdmissionRequest, now: float) -> Waiter:
        """Return a request that is to be added now."""
        return Waiter(
            req=req, since=now, sequence=next(self._sequence), work=work_of(req)
        )

    def add(
        self, waiter: Waiter, now: float, *, may_wait: bool = True
    ) -> Forecast | None:
        """Give a new request a place if it is its turn; decide whether it may wait.

        Parameters
        ----------
        waiter : Waiter
            The request.
        now : float
            The current time, on the timer service's clock.
        may_wait : bool, optional
            Whether it may wait if a place is expected in time.

        Returns
        -------
        Forecast or None
            What is expected of its wait, whose outcome is set if it is refused; None
            if it got a place.

        Notes
        -----
        A request that has no time to wait is refused like one with too little of it,
        also if its answer has begun.
        """
        self._advance(now)
        self._waiting.append(waiter)
        self.grant_places(now)
        if waiter.outcome is not None:
            return None
        forecast = self.forecast(waiter, now)
        left_s = waiter.req.until - now
        is_hopeless = forecast.wait_s > left_s and not waiter.req.has_begun
        if left_s <= 0.0 or is_hopeless or not may_wait:
            self.remove(waiter, QueueOutcome.NO_TIME, now)
            return forecast
        self._freed.note_asked(waiter.req.priority, waiter.work)
        if len(self._waiting) == 1:
            held = {name: each.work for name, each in self._held.items()}
            self._order.shares.begin(held)
        self._bound_length(waiter, now)
        return forecast

    def remove(self, waiter: Waiter, outcome: QueueOutcome, now: float) -> None:
        """End the wait of a request; no effect on one that has ended."""
        if waiter.outcome is None:
            self._advance(now)
            self._waiting.remove(waiter)
            waiter.end(outcome)
            if waiter is self._claimant:
                self._drop_claim()
                self.grant_places(now)

    def grant_places(self, now: float) -> None:
        """Grant free places in order, until no waiting request fits anywhere."""
        self._advance(now)
        self.checked_at = now
        unfit: set[Waiter] = set()
        while (granted := self._grant_next(unfit, now)) is not None:
            if granted is self._claimant:
                # Room that it had claimed elsewhere is free.
                self._claim = self._claimant = None
                unfit.clear()
            self._note_granted(granted, now)
        self._renew_claim(now)

    def forecast(self, waiter: Waiter, now: float) -> Forecast:
        """Return what is expected of a request, which needn't wait yet."""
        self._advance(now)
        waiting = self._waiting if waiter in self._waiting else [*self._waiting, waiter]
        order = self._order.ordered(waiting, now)
        ahead = order[: order.index(waiter)]
        ahead_work = sum(other.work for other in ahead)
        wait_s = self._expected_wait_s(waiter, ahead, ahead_work)
        return Forecast(wait_s, len(ahead), ahead_work)

    def ahead_of(self, waiter: Waiter, now: float) -> list[AdmissionRequest]:
        """Return the requests that go before one that needn't wait, and may fit."""
        order = self._order.ordered([*self._waiting, waiter], now)
        free_tokens: dict[EngineProfile | None, float] = {}
        ahead = order[: order.index(waiter)]
        return [other.req for other in ahead if self._may_fit(other, free_tokens)]

    def is_full_for(self, waiter: Waiter, now: float) -> bool:
        """Return whether the queue is full of requests that cost more to lose."""
        if len(self._waiting) < MAX_WAITING:
            return False
        return self._order.first_to_refuse([*self._waiting, waiter], now) is waiter

    def _expected_wait_s(
        self, waiter: Waiter, ahead: list[Waiter], ahead_work: float
    ) -> float:
        req, work = waiter.req, waiter.work
        states = self._source.states(req)
        if not states:
            # A replica may join at any moment, so the request isn't refused at once.
            return 0.0
        busy = max(work, busy_work(states, req.pool.engine))
        pool_rate = busy / self._mean_service_s()
        return expected_wait_s(
            ahead_work,
            sum(each.work for each in ahead if each.req.priority == req.priority),
            work,
            self._freed.rate(work, pool_rate),
            self._freed.more_urgent_rate(req.priority, work, pool_rate),
        )

    def _grant_next(self, unfit: set[Waiter], now: float) -> Waiter | None:
        """Grant a place to the first request that fits; add those before to `unfit`.

        Notes
        -----
        The order changes with each grant. As long as places are only taken, a request
        that fits nowhere isn't tried again. All replicas are looked at once for the
        largest room, and again only for requests that may fit into it: with 128
        waiting requests and 1,200 engines, looking for each took 1 s.
        """
        free_tokens: dict[EngineProfile | None, float] = {}
        for waiter in self._order.ordered(self._waiting, now):
            if waiter in unfit:
                continue
            may_fit = self._may_fit(waiter, free_tokens)
            place = self._grant(waiter) if may_fit else None
            if place is not None:
                waiter.end(QueueOutcome.GRANTED, place)
                for other in unfit:
                    other.passed_over += waiter.work
                return waiter
            unfit.add(waiter)
        return None

    def _may_fit(
        self, waiter: Waiter, free_tokens: dict[EngineProfile | None, float]
    ) -> bool:
        """Return whether a request may fit; `free_tokens` keeps the largest room."""
        if waiter is self._claimant:
            return True
        req = waiter.req
        engine = req.pool.engine
        if engine not in free_tokens:
            free_tokens[engine] = self._source.most_free_tokens(req)
        return req.tokens <= free_tokens[engine]

    def _grant(self, waiter: Waiter) -> Place | None:
        """Return a place for a request, to which its claim doesn't apply."""
        is_claimant = waiter is self._claimant
        if is_claimant:
            self._claim.release()
        place = self._source.grant(waiter.req)
        if is_claimant and place is None:
            self._claim.count()
        return place

    def _note_granted(self, waiter: Waiter, now: float) -> None:
        req = waiter.req
        self._waiting.remove(waiter)
        self._note_held(waiter)
        if self._waiting or waiter.since < now:
            self._freed.note_granted(waiter.work)
            self._order.note_granted(waiter, self._waiting, now)
        if waiter.since >= now and self._waiting:
            self._freed.note_asked(req.priority, waiter.work)

    def _note_held(self, waiter: Waiter) -> None:
        organisation = waiter.req.organisation
        held = self._held.setdefault(organisation, _Held())
        held.running += 1
        held.work += waiter.work
        note_released = partial(self._note_released, organisation, waiter.work)
        waiter.place.on_released.append(note_released)

    def _note_released(self, organisation: OrganisationName | None, work: float):
        held = self._held[organisation]
        held.running -= 1
        held.work -= work
        if not held.running:
            del self._held[organisation]

    def _bound_length(self, newest: Waiter, now: float) -> None:
        """Refuse the request that costs least to lose if too many wait."""
        if len(self._waiting) <= MAX_WAITING:
            return
        lost = self._order.first_to_refuse(self._waiting, now)
        is_new = lost is newest
        self.remove(lost, QueueOutcome.FULL if is_new else QueueOutcome.DISPLACED, now)

    def _renew_claim(self, now: float) -> None:
        """Claim room for the first large request that has waited for long, if any."""
        if self._claim is not None:
            if self._claim.is_valid(now):
                return
            self._drop_claim()
        claimant = self._next_claimant(now)
        if claimant is None:
            return
        state = self._source.choose_claim(claimant.req)
        if state is not None:
            until = now + self._mean_service_s()
            self._claim = MemoryClaim(state, claimant.req, until)
            self._claimant = claimant
            self._source.note_change()

    def _next_claimant(self, now: float) -> Waiter | None:
        due = [waiter for waiter in self._waiting if _may_claim(waiter, now)]
        for waiter in self._order.ordered(due, now):
            if is_large(waiter.req, self._source.states(waiter.req)):
                return waiter
        return None

    def _drop_claim(self) -> None:
        self._claim.release()
        self._claim = self._claimant = None
        self._source.note_change()

    def _advance(self, now: float) -> None:
        """Account for the time since the last change of what waits."""
        self._freed.advance(now, bool(self._waiting), self._mean_service_s())

    def _mean_service_s(self) -> float:
        return max(MIN_SERVICE_S, self._source.mean_service_s())


def _may_claim(waiter: Waiter, now: float) -> bool:
    """Return whether a request was passed over for so long that it may claim room."""
    may_wait_s = waiter.req.until - waiter.since
    has_waited = now - waiter.since >= CLAIM_AFTER_SHARE * may_wait_s
    return has_waited and waiter.passed_over >= CLAIM_AFTER_WORK * waiter.work
