"""Admits requests to replicas: at once, after a wait, or not at all.

Handles more requests than the replicas have places for, as after a burst or the loss of
a failure domain. A request waits only if it can still be served in time; otherwise it
is refused at once, with the time after which to retry.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial

import msgspec
from eventlet.event import Event
from result import Err, Ok, Result

from boragedeck.connection.answer_shortage import PlaceDemand
from boragedeck.exceptions import RefusedError
from boragedeck.ids import PoolName
from boragedeck.process.relaying.placing.place import AdmissionRequest, Place
from boragedeck.process.relaying.placing.placement import (
    PlacementRequest,
    choose_backup,
    choose_emptiest,
    choose_replica,
    most_free_tokens,
)
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import Load, ReplicaState
from boragedeck.process.relaying.scheduling.decisions import Decision, log_decision
from boragedeck.process.relaying.scheduling.pool_scheduler import (
    Forecast,
    PlaceSource,
    PoolScheduler,
)
from boragedeck.process.relaying.scheduling.waiter import QueueOutcome, Waiter
from boragedeck.process.timers import TimerService
from boragedeck.version.routing import EngineProfile

__all__ = ["Admission", "AdmissionPreview", "LoadSource", "expected_wait_s"]

MEAN_SERVICE_WEIGHT = 0.1
"""Weight of the newest request in the moving average of the service time."""
INITIAL_MEAN_SERVICE_S = 0.1
"""Mean service time that is assumed until a request of the pool was served."""
MIN_RETRY_AFTER_S = 0.05
RETRY_SPREAD = 0.5
"""Maximum share that is added at random to a retry time, so that callers which are
refused together don't return together."""
NO_REPLICA_RETRY_S = 0.5
"""Retry time after a wait in vain or if the queue is full, and the maximum if the wait
is refused; a longer hold of all replicas raises it. In pools whose requests have
different priorities, a longer expected wait raises it, too."""
RECHECK_INTERVAL_S = 0.05
"""How often a waiting request checks for places that other routers released."""
SHARED_CHECK_WAITING = 64
"""From this number of waiting requests on, they don't each check for places."""
MAX_RETRY_SHARE = 1 / 3
"""Longest Retry-After that a caller follows, as a share of the time it has left."""


class _Waiter(msgspec.Struct):
    """A waiting request; `is_done` once it has a place or no longer waits."""

    req: AdmissionRequest
    granted: Event = msgspec.field(default_factory=Event)
    is_done: bool = False


class AdmissionPreview(msgspec.Struct, frozen=True):
    """What would be decided about a request for a place.

    Parameters
    ----------
    placement : PlacementRequest
        By what its replica is chosen.
    states : list of ReplicaState
        The replicas that may serve it.
    choice : ReplicaState or None
        The replica that it would get; None if none has room.
    refusal : RefusedError or None
        The refusal that it would get at once; None if it would get a place or wait.
    """

    placement: PlacementRequest
    states: list[ReplicaState]
    choice: ReplicaState | None
    refusal: RefusedError | None


class LoadSource:
    """Source of the other routers' loads; this base class assumes a single router."""

    def refresh(self, pool: PoolName) -> None:
        """Fetch the current loads of a pool if they are not pushed to this router."""

    def routers(self) -> int:
        """Return the number of routers that choose among the same replicas."""
        return 1

    def is_fresh(self, pool: PoolName) -> bool:
        """Return whether the known loads of a pool are current."""
        return True


class Admission:
    """Reserves places at the replicas of all pools and queues waiting requests.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    registry : ReplicaRegistry
        The replicas.
    rng : random.Random
        Breaks ties and spreads retry times.
    loads : LoadSource, optional
        Source of the load that other routers put on the replicas.

    Attributes
    ----------
    on_change : callable
        Called after this router's load on a replica has changed.
    output_token_cost : callable
        Returns how many prompt tokens the engines of a pool read while they produce
        one output token.
    on_decision : callable
        Called with each decision on a request that found no free place, in pools whose
        requests have different priorities.
    """

    def __init__(
        self,
        timers: TimerService,
        registry: ReplicaRegistry,
        rng: random.Random,
        loads: LoadSource | None = None,
    ):
        self._timers = timers
        self._registry = registry
        self._rng = rng
        self._loads = loads or LoadSource()
        self._sequence = itertools.count()
        # Heaps by priority, then by order of arrival.
        self._waiting: dict[PoolName, list[tuple[int, int, _Waiter]]] = {}
        # When the requests that wait for a pool were last checked for places.
        self._checked_at: dict[PoolName, float] = {}
        # Of pools whose requests have different priorities.
        self._schedulers: dict[PoolName, PoolScheduler] = {}
        self._mean_service_s: dict[PoolName, float] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.output_token_cost: Callable[[PoolName], float] = lambda pool: 1.0
        self.on_decision: Callable[[Decision], None] = lambda decision: None
        registry.subscribe(self.grant_waiting)

    def acquire(self, req: AdmissionRequest) -> Result[Place, RefusedError]:
        """Reserve a place, waiting for one if necessary.

        Returns
        -------
        Result
            The place, or ``Err(RefusedError)`` with a `retry_after_s`: at once if a
            wait can't end in time, else when the wait has timed out.
        """
        self._loads.refresh(req.pool.name)
        if req.has_priorities:
            return self._acquire_in_order(req)
        place = self._grant(req)
        if place is not None:
            return Ok(place)
        refusal = self._refusal_without_place(req)
        return self._wait_in_queue(req) if refusal is None else Err(refusal)

    def preview(self, req: AdmissionRequest) -> AdmissionPreview:
        """Return what `acquire` would decide now, and reserve nothing."""
        self._loads.refresh(req.pool.name)
        states, placement = self._states(req), self._placement_request(req)
        choice = self._preview_choice(req)
        refusal = None if choice is not None else self._preview_refusal(req)
        return AdmissionPreview(placement, states, choice, refusal)

    def hold_remaining_s(self, req: AdmissionRequest) -> float:
        """Return the time until the first replica accepts requests again.

        Returns
        -------
        float
            The time in seconds; 0.0 unless all replicas that may serve the request
            asked this router to wait.
        """
        now = self._timers.now()
        # Each waiting request asks many times a second, and mostly the first replica
        # is not held.
        for state in self._registry.iter_pool(req.pool.name):
            if state.held_until <= now and req.allows(state.replica):
                return 0.0
        return min((state.held_until - now for state in self._states(req)), default=0.0)

    def has_candidates(
        self, req: AdmissionRequest, *, unlimited_only: bool = False
    ) -> bool:
        """Return whether a replica may get room for a request while it can wait.

        Parameters
        ----------
        req : AdmissionRequest
            The request.
        unlimited_only : bool, optional
            Whether replicas that name a limit don't count.
        """
        return any(
            state.replica.replica not in req.tried
            and state.held_until <= req.until
            and not (unlimited_only and state.is_limited)
            for state in self._states(req)
        )

    def reserve(self, req: AdmissionRequest, state: ReplicaState) -> Place:
        """Reserve a place at a replica that kept room for the request.

        Notes
        -----
        The place is reserved even if the replica has no room now.
        """
        place = Place(self.note_released, state, req, self._timers.now())
        self.on_change()
        return place

    def find_backup(self, place: Place, req: AdmissionRequest) -> ReplicaState | None:
        """Return an engine to hold a copy of a run's memory; see `choose_backup`."""
        states = self._states(req)
        return choose_backup(
            states, place.state, self._placement_request(req), self._rng
        )

    def expected_wait_s(self, req: AdmissionRequest) -> float:
        """Return how long a request is expected to wait for a place, in seconds."""
        if req.has_priorities:
            scheduler, now = self._scheduler(req.pool.name), self._timers.now()
            return scheduler.forecast(scheduler.make_waiter(req, now), now).wait_s
        states = self._states(req)
        if not states:
            # A replica may join at any moment, so the request isn't refused at once.
            return 0.0
        waiting = self._waiting.get(req.pool.name, [])
        ahead = sum(
            priority <= req.priority and not waiter.is_done
            for priority, _, waiter in waiting
        )
        running = sum(state.running for state in states)
        mean_s = self.mean_service_s(req.pool.name)
        return expected_wait_s(ahead, running, mean_s)

    def mean_service_s(self, pool: PoolName) -> float:
        """Return the mean time that a request takes at its replica, in seconds."""
        return self._mean_service_s.get(pool, INITIAL_MEAN_SERVICE_S)

    def waiting(self) -> int:
        """Return the number of waiting requests."""
        in_order = sum(map(len, self._schedulers.values()))
        return in_order + sum(map(len, self._waiting.values()))

    def place_demand(self, pool: PoolName) -> PlaceDemand:
        """Return the demand for places at a pool's replicas."""
        in_order = self._schedulers.get(pool, ())
        heap = self._waiting.get(pool, ())
        return PlaceDemand(
            waiting=len(in_order) + sum(not waiter.is_done for _, _, waiter in heap),
            running=sum(state.own.running for state in self._registry.iter_pool(pool)),
        )

    def note_released(self, pool: PoolName, since: float, is_served: bool) -> None:
        """Record the service time, and grant the free place to a waiting request."""
        if is_served:
            took_s = self._timers.now() - since
            mean_s = self._mean_service_s.get(pool, took_s)
            self._mean_service_s[pool] = mean_s + MEAN_SERVICE_WEIGHT * (
                took_s - mean_s
            )
        self.on_change()
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant free places to waiting requests.

        Notes
        -----
        They are granted by priority and arrival, or, in pools whose requests have
        different priorities, as `ServiceOrder` says.
        """
        for scheduler in list(self._schedulers.values()):
            scheduler.grant_places(self._timers.now())
        for pool in list(self._waiting):
            self._grant_waiting_for(pool)

    def _grant_waiting_for(self, pool: PoolName) -> None:
        """Grant free places of a pool by priority and arrival.

        Notes
        -----
        All replicas are looked at once for the largest room, and again only after a
        grant and for requests that may fit into it; see `PoolScheduler._grant_next`.
        """
        heap, still_waiting = self._waiting[pool], []
        free_tokens: dict[EngineProfile | None, float] = {}
        while heap:
            entry = heapq.heappop(heap)
            waiter = entry[2]
            if waiter.is_done:
                continue
            engine = waiter.req.pool.engine
            if engine not in free_tokens:
                free_tokens[engine] = self._most_free_tokens(waiter.req)
            may_fit = waiter.req.tokens <= free_tokens[engine]
            place = self._grant(waiter.req) if may_fit else None
            if place is None:
                still_waiting.append(entry)
                continue
            free_tokens.clear()
            waiter.is_done = True
            waiter.granted.send(place)
        if still_waiting:
            # Popped in order, they are a heap already.
            self._waiting[pool] = still_waiting
            self._checked_at[pool] = self._timers.now()
        else:
            del self._waiting[pool]
            self._checked_at.pop(pool, None)

    def _acquire_in_order(self, req: AdmissionRequest) -> Result[Place, RefusedError]:
        """Reserve a place in a pool whose requests have different priorities."""
        now = self._timers.now()
        scheduler = self._scheduler(req.pool.name)
        waiter = scheduler.make_waiter(req, now)
        may_wait = req.has_begun or not self._is_held_too_long(req)
        forecast = scheduler.add(waiter, now, may_wait=may_wait)
        if forecast is None:
            return Ok(waiter.place)
        if waiter.outcome is None:
            self._note_decision(waiter, forecast)
            self._wait_in_order(scheduler, waiter, forecast)
        self._note_decision(waiter, forecast)
        if waiter.outcome is QueueOutcome.GRANTED:
            return Ok(waiter.place)
        # Without replicas, the forecast is 0.0 although the queue may be full.
        is_hopeless = waiter.outcome is QueueOutcome.NO_TIME
        min_wait_s = 0.0 if is_hopeless else NO_REPLICA_RETRY_S
        return Err(self._timely_refusal(req, max(forecast.wait_s, min_wait_s)))

    def _wait_in_order(
        self, scheduler: PoolScheduler, waiter: Waiter, forecast: Forecast
    ) -> None:
        """Wait until a request has a place, is refused, or its time is over."""
        try:
            self._wait_for_turn(scheduler, waiter)
        except BaseException:
            scheduler.remove(waiter, QueueOutcome.LEFT, self._timers.now())
            if waiter.place is not None:
                waiter.place.release()
            self._note_decision(waiter, forecast)
            raise
        scheduler.remove(waiter, QueueOutcome.EXPIRED, self._timers.now())

    def _wait_for_turn(self, scheduler: PoolScheduler, waiter: Waiter) -> None:
        """Wait until the wait of a request has ended, or its time is over.

        Notes
        -----
        Whichever request is checked first checks for all; see `_wait_for_grant`.
        """
        req, timers = waiter.req, self._timers
        while (left_s := req.until - timers.now()) > 0.0:
            if self._is_held_too_long(req) and not req.has_begun:
                return
            if timers.wait(waiter.ended, min(RECHECK_INTERVAL_S, left_s)):
                return
            if timers.now() - scheduler.checked_at >= RECHECK_INTERVAL_S / 2.0:
                self._loads.refresh(req.pool.name)
                scheduler.grant_places(timers.now())

    def _note_decision(self, waiter: Waiter, forecast: Forecast) -> None:
        """Log and count that a request waits, or how its wait has ended.

        Notes
        -----
        An attempt beside another one that takes a free place only doesn't wait.
        """
        if waiter.req.until <= waiter.since:
            return
        now = self._timers.now()
        decision = Decision(
            outcome=waiter.outcome,
            request_id=waiter.req.request_id,
            pool=waiter.req.pool.name,
            priority=waiter.req.priority,
            is_late=waiter.is_late(now),
            work=waiter.work,
            forecast=forecast,
            waited_s=now - waiter.since,
            left_s=waiter.req.until - now,
        )
        log_decision(decision)
        self.on_decision(decision)

    def _scheduler(self, pool: PoolName) -> PoolScheduler:
        if pool not in self._schedulers:
            source = PlaceSource(
                grant=self._grant,
                states=self._states,
                most_free_tokens=self._most_free_tokens,
                choose_claim=self._choose_claim,
                mean_service_s=partial(self.mean_service_s, pool),
                note_change=lambda: self.on_change(),
            )
            self._schedulers[pool] = PoolScheduler(source)
        return self._schedulers[pool]

    def _preview_choice(self, req: AdmissionRequest) -> ReplicaState | None:
        """Return the replica that a request would get now, if any.

        Notes
        -----
        Requests before it in the order take places that other routers have released
        since the last check, so their loads are added while it is chosen.
        """
        ahead: list[AdmissionRequest] = []
        if req.has_priorities:
            scheduler, now = self._scheduler(req.pool.name), self._timers.now()
            ahead = scheduler.ahead_of(scheduler.make_waiter(req, now), now)
        added: list[tuple[ReplicaState, Load]] = []
        try:
            for other in ahead:
                state = self._choose(other)
                if state is not None:
                    added.append((state, Load(1, other.prompt_tokens, other.tokens)))
                    state.own.add(added[-1][1])
            return self._choose(req)
        finally:
            for state, load in added:
                state.own.add(load, -1)

    def _preview_refusal(self, req: AdmissionRequest) -> RefusedError | None:
        """Return the refusal that a request without a place would get at once."""
        refusal = self._refusal_without_place(req)
        if refusal is not None or not req.has_priorities:
            return refusal
        scheduler, now = self._scheduler(req.pool.name), self._timers.now()
        if not scheduler.is_full_for(scheduler.make_waiter(req, now), now):
            return None
        wait_s = max(self.expected_wait_s(req), NO_REPLICA_RETRY_S)
        return self._timely_refusal(req, wait_s)

    def _choose(self, req: AdmissionRequest) -> ReplicaState | None:
        placement = self._placement_request(req)
        return choose_replica(self._states(req), placement, self._rng)

    def _most_free_tokens(self, req: AdmissionRequest) -> float:
        states = self._registry.of_pool(req.pool.name)
        return most_free_tokens(states, self._placement_request(req))

    def _choose_claim(self, req: AdmissionRequest) -> ReplicaState | None:
        states = self._states(req)
        return choose_emptiest(states, self._placement_request(req), self._rng)

    def _wait_in_queue(self, req: AdmissionRequest) -> Result[Place, RefusedError]:
        waiter = _Waiter(req)
        entry = (req.priority, next(self._sequence), waiter)
        heapq.heappush(self._waiting.setdefault(req.pool.name, []), entry)
        try:
            if self._wait_for_grant(waiter):
                # Without a waiter, the place isn't released below.
                place, waiter = waiter.granted.wait(), None
                return Ok(place)
        finally:
            if waiter is not None:
                self._abandon(waiter)
        return Err(self._refusal(req, NO_REPLICA_RETRY_S))

    def _wait_for_grant(self, waiter: _Waiter) -> bool:
        """Wait until a place is granted; return False if none is in time.

        Notes
        -----
        Other routers don't announce that they release places, so loads are refreshed.
        If many wait, whichever is checked first checks for all: if each did, the time
        that it takes would grow with the square of their number.
        """
        req = waiter.req
        pool = req.pool.name
        while (left_s := req.until - self._timers.now()) > 0.0:
            if self._is_held_too_long(req) and not req.has_begun:
                break
            if self._timers.wait(waiter.granted, min(RECHECK_INTERVAL_S, left_s)):
                return True
            if self._is_check_due(pool):
                self._loads.refresh(pool)
                self.grant_waiting()
        return waiter.granted.ready()

    def _is_check_due(self, pool: PoolName) -> bool:
        """Return whether a request that waits for a pool checks for all that do."""
        if len(self._waiting.get(pool, ())) < SHARED_CHECK_WAITING:
            return True
        checked_at = self._checked_at.get(pool, float("-inf"))
        return self._timers.now() - checked_at >= RECHECK_INTERVAL_S / 2.0

    def _abandon(self, waiter: _Waiter) -> None:
        """End a wait, and release the place if one was granted in the meantime."""
        if waiter.granted.ready():
            waiter.granted.wait().release()
        waiter.is_done = True

    def _grant(self, req: AdmissionRequest) -> Place | None:
        state = self._choose(req)
        if state is None:
            return None
        place = Place(self.note_released, state, req, self._timers.now())
        self.on_change()
        return place

    def _states(self, req: AdmissionRequest) -> list[ReplicaState]:
        states = self._registry.of_pool(req.pool.name)
        return [state for state in states if req.allows(state.replica)]

    def _placement_request(self, req: AdmissionRequest) -> PlacementRequest:
        output_tokens = max(0, req.tokens - req.prompt_tokens)
        output_work = output_tokens * self.output_token_cost(req.pool.name)
        return PlacementRequest(
            tokens=req.tokens,
            work_tokens=req.prompt_tokens + output_work,
            now=self._timers.now(),
            tried=req.tried,
            lost_domains=req.lost_domains,
            routers=self._loads.routers(),
            is_fresh=self._loads.is_fresh(req.pool.name),
            engine=req.pool.engine,
        )

    def _is_held_too_long(self, req: AdmissionRequest) -> bool:
        """Return whether all replicas are held off longer than the request can wait.

        Notes
        -----
        The request must also be served in time after the wait.
        """
        hold_remaining_s = self.hold_remaining_s(req)
        needed_s = hold_remaining_s + self.mean_service_s(req.pool.name)
        return hold_remaining_s > 0.0 and needed_s > req.until - self._timers.now()

    def _refusal_without_place(self, req: AdmissionRequest) -> RefusedError | None:
        """Return the refusal of a request without a place; None if it may wait."""
        wait_s = self.expected_wait_s(req)
        left_s = req.until - self._timers.now()
        is_hopeless = wait_s > left_s or self._is_held_too_long(req)
        if left_s <= 0.0 or (is_hopeless and not req.has_begun):
            refuse = self._timely_refusal if req.has_priorities else self._refusal
            return refuse(req, wait_s)
        return None

    def _timely_refusal(self, req: AdmissionRequest, wait_s: float) -> RefusedError:
        """Return a refusal whose retry time its caller can follow."""
        left_s = req.deadline - self._timers.now()
        retry_after_s = min(self._spread(wait_s), MAX_RETRY_SHARE * left_s)
        min_s = max(MIN_RETRY_AFTER_S, self._spread(self.hold_remaining_s(req)))
        return _no_room(req, max(min_s, retry_after_s))

    def _refusal(self, req: AdmissionRequest, wait_s: float) -> RefusedError:
        base_s = max(MIN_RETRY_AFTER_S, min(wait_s, NO_REPLICA_RETRY_S))
        base_s = max(base_s, self.hold_remaining_s(req))
        return _no_room(req, self._spread(base_s))

    def _spread(self, retry_after_s: float) -> float:
        return retry_after_s * (1.0 + RETRY_SPREAD * self._rng.random())


def _no_room(req: AdmissionRequest, retry_after_s: float) -> RefusedError:
    return RefusedError(
        f"no replica of {req.pool.name!r} has room",
        status=503,
        kind="server_error",
        code="no_room",
        retry_after_s=retry_after_s,
        step="admit",
    )


def expected_wait_s(ahead: int, running: int, mean_service_s: float) -> float:
    """Return the expected time that a request waits for a place, in seconds.

    Parameters
    ----------
    ahead : int
        Number of requests that wait before it.
    running : int
        Number of running requests; one ends every `mean_service_s` / `running`.
    mean_service_s : float
        Mean time that a request takes, in seconds.
    """
    return (ahead + 1) * mean_service_s / max(1, running)
