"""Admission of requests to pool queues and their assignment to upstreams."""

import random
from collections.abc import Callable

from eventlet.event import Event
from result import Err, Ok, Result

from boragedeck.exceptions import RefusedError
from boragedeck.ids import FailureDomain, PoolName
from boragedeck.interfaces import ConfigSource, FactBoard, Outcome, Slot, SlotRequest
from boragedeck.process.crashes.isolation import RunGuard
from boragedeck.process.crashes.quarantine import Quarantine
from boragedeck.process.placing.cache_hints import CacheHints
from boragedeck.process.placing.choice import UpstreamSelector
from boragedeck.process.placing.drain_rate import DrainRate
from boragedeck.process.placing.fair_queue import FairQueue, Ticket
from boragedeck.process.placing.retry_budget import RetryBudget
from boragedeck.process.placing.shares import OrganisationShares
from boragedeck.process.placing.slot import UpstreamSlot
from boragedeck.process.placing.upstreams import UpstreamRegistry, UpstreamState
from boragedeck.process.timers import TimerService
from boragedeck.version.tables import Config

__all__ = ["PoolChooser"]

SWEEP_INTERVAL_S = 0.25
MAX_TICKETS_TRIED = 32
"""Maximum number of queued requests that are tried, in order, for a free slot."""
ISOLATION_RETRY_S = 0.05
"""Pause before another upstream is sought, if the claim on the first was denied."""
MAX_EXPECTED_WAIT_SHARE = 0.7
"""Share of the allowed wait above which the expected wait leads to a refusal.

The rest allows for the error of the estimate.
"""
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


class PoolChooser:
    """Queues requests by pool and assigns them to upstreams.

    Implements `boragedeck.interfaces.Chooser`.

    Parameters
    ----------
    timers : TimerService
        Provides the time and timers.
    cfg_source : ConfigSource
        Declares pools and organisations.
    board : FactBoard
        Shares soft state among routers.
    own_domain : FailureDomain
        The failure domain of this router.
    rng : random.Random, optional
        The source of random choices.
    quarantine : Quarantine, optional
        Prevents requests that crash upstreams from running.

    Attributes
    ----------
    registry : UpstreamRegistry
        The state of each upstream as this router knows it.
    hints : CacheHints
        Records which upstreams have which prompt prefixes in their cache.
    shares : OrganisationShares
        Use of the fleet by each organisation.
    budget : RetryBudget
        Limits retries.
    """

    def __init__(
        self,
        timers: TimerService,
        cfg_source: ConfigSource,
        board: FactBoard,
        own_domain: FailureDomain,
        rng: random.Random | None = None,
        quarantine: Quarantine | None = None,
    ):
        self.registry = UpstreamRegistry()
        self.hints = CacheHints()
        self.shares = OrganisationShares(timers, cfg_source, board)
        self._timers = timers
        self._rng = rng or random.Random()
        self.budget = RetryBudget(timers, self._rng)
        self._quarantine = quarantine
        if quarantine is not None:
            quarantine.subscribe_upstream_freed(
                lambda upstream: self.dispatch(upstream.pool)
            )
        self._selector = UpstreamSelector(
            self.registry, self.hints, own_domain, self._rng
        )
        self._queues: dict[PoolName, FairQueue] = {}
        self._drain_rates: dict[PoolName, DrainRate] = {}
        self._dispatching: set[PoolName] = set()
        self._apply_config(cfg_source.current())
        cfg_source.subscribe(self._apply_config)
        timers.subscribe(SWEEP_INTERVAL_S, self.sweep)

    def acquire(self, request: SlotRequest) -> Result[Slot, RefusedError]:
        """See `Chooser.acquire`."""
        allowed = self._spend_retry(request)
        if allowed.is_err():
            return allowed
        self._timers.sleep(allowed.ok())
        if self._quarantine is None or not request.fingerprint:
            return self._wait_for_slot(request, None)
        until = self._timers.now() + self._max_wait_s(request)
        admitted = self._quarantine.admit(request, until)
        if admitted.is_err():
            return admitted
        guard = admitted.ok()
        # Stays an error if an exception is raised, so that the claims are released.
        result = Err(None)
        try:
            result = self._acquire_guarded(request, guard)
        finally:
            if result.is_err():
                self._quarantine.cancel(guard)
        return result

    def submit(
        self,
        request: SlotRequest,
        on_done: Callable[[Result], None],
        guard: RunGuard | None = None,
    ) -> Ticket:
        """Queue a request without waiting.

        Parameters
        ----------
        request : SlotRequest
            The request.
        on_done : callable
            Called once with the slot or the refusal, possibly before `submit` returns.
        guard : RunGuard, optional
            Keeps the request apart from other requests suspected of crashing upstreams.

        Returns
        -------
        Ticket
            The queued request.
        """
        now = self._timers.now()
        expires_at = now + self._max_wait_s(request)
        ticket = Ticket(request, expires_at, on_done, guard)
        if not request.is_resume:
            self.shares.record_arrival(request.organisation)
        refusal = self._admission_error(request, now)
        if refusal is not None:
            ticket.finish(Err(refusal))
            return ticket
        self._queue(request.pool.name).push(ticket)
        self.dispatch(request.pool.name)
        return ticket

    def dispatch(self, pool: PoolName) -> None:
        """Assign queued requests of a pool to upstreams while there is room."""
        if pool in self._dispatching:
            return
        self._dispatching.add(pool)
        try:
            while self._place_next(pool):
                pass
        finally:
            self._dispatching.discard(pool)

    def sweep(self) -> None:
        """Refuse requests that have waited too long and dispatch the others."""
        now = self._timers.now()
        for pool, queue in list(self._queues.items()):
            for ticket in queue.expired(now):
                self._expire(ticket)
            self.dispatch(pool)

    def queued(self, pool: PoolName) -> int:
        """Return the number of requests of a pool queued in this router."""
        queue = self._queues.get(pool)
        return 0 if queue is None else len(queue)

    def _spend_retry(self, request: SlotRequest) -> Result[float, RefusedError]:
        """Spend a retry if the request has failed before.

        Returns
        -------
        Result
            How long to wait before the attempt, in seconds, or ``Err(RefusedError)`` if
            the retry budget is spent.
        """
        if not request.excluded:
            return Ok(0.0)
        return self.budget.spend(
            request.pool.name, len(request.excluded), is_resume=request.is_resume
        )

    def _acquire_guarded(
        self, request: SlotRequest, guard: RunGuard
    ) -> Result[Slot, RefusedError]:
        while True:
            result = self._wait_for_slot(request, guard)
            if result.is_err():
                return result
            slot = result.ok()
            if self._claim_upstream(slot, guard):
                return result
            # A suspect request of another router runs on this upstream.
            self._timers.sleep(ISOLATION_RETRY_S)

    def _claim_upstream(self, slot: UpstreamSlot, guard: RunGuard) -> bool:
        """Claim a slot's upstream; if the claim is denied, free the slot."""
        is_placed = False
        try:
            is_placed = self._quarantine.place(guard, slot.state.key)
        finally:
            if not is_placed:
                slot.finish(Outcome.CANCELLED)
        if is_placed:
            slot.guard = guard
            slot.on_tokens = lambda count: self._quarantine.note_tokens(guard, count)
        return is_placed

    def _wait_for_slot(
        self, request: SlotRequest, guard: RunGuard | None
    ) -> Result[UpstreamSlot, RefusedError]:
        event = Event()
        ticket = self.submit(request, event.send, guard)
        try:
            self._timers.wait(event, ticket.expires_at - self._timers.now())
        except BaseException:
            self._cancel_wait(ticket, event)
            raise
        self._expire(ticket)
        return event.wait()

    def _place_next(self, pool: PoolName) -> bool:
        """Assign the first queued request that fits; return False if there is none."""
        queue = self._queue(pool)
        if not len(queue):
            return False
        now = self._timers.now()
        states = [s for s in self.registry.pool(pool) if s.accepts_requests(now)]
        upstreams_for_resumes = [
            state for state in states if state.has_room_for_resume(now)
        ]
        upstreams_for_new = [
            state for state in upstreams_for_resumes if state.has_room(1.0, now)
        ]
        if not upstreams_for_resumes:
            return False
        for tried, ticket in enumerate(queue.ordered()):
            if tried >= MAX_TICKETS_TRIED:
                return False
            is_resume = ticket.request.is_resume
            chosen = self._select_upstream(
                ticket, upstreams_for_resumes if is_resume else upstreams_for_new, now
            )
            if chosen is not None:
                queue.remove(ticket, is_served=True)
                ticket.finish(Ok(self._make_slot(ticket.request, chosen)))
                return True
        return False

    def _select_upstream(
        self, ticket: Ticket, states: list[UpstreamState], now: float
    ) -> UpstreamState | None:
        """Return the upstream for a queued request; None if it must wait."""
        request = ticket.request
        eligible = [state for state in states if state.serves(request.version)]
        if ticket.guard is not None:
            eligible = [
                state
                for state in eligible
                if self._quarantine.may_place(ticket.guard, state.key)
            ]
        limit_share = self.shares.limit_share(request.organisation)
        if limit_share < 1.0 and not request.is_resume:
            eligible = [state for state in eligible if state.has_room(limit_share, now)]
        candidates = [
            state for state in eligible if state.upstream.name not in request.excluded
        ]
        if not candidates and self._all_excluded(request, now):
            candidates = [
                state for state in eligible if not state.health.is_on_probation()
            ]
        chosen = self._selector.select(request, candidates, now)
        return None if chosen is None else chosen.state

    def _all_excluded(self, request: SlotRequest, now: float) -> bool:
        """Return whether the request has failed on every upstream that can serve it."""
        return all(
            state.upstream.name in request.excluded
            for state in self.registry.pool(request.pool.name)
            if state.serves(request.version) and state.accepts_requests(now)
        )

    def _make_slot(self, request: SlotRequest, state: UpstreamState) -> UpstreamSlot:
        self.shares.record_start(request.organisation)
        return UpstreamSlot(
            self._timers, state, request, self.hints, self._on_slot_finished
        )

    def _on_slot_finished(self, slot: UpstreamSlot, outcome: Outcome) -> None:
        pool = slot.request.pool.name
        self.shares.record_end(slot.request.organisation)
        if outcome is Outcome.COMPLETED:
            self.budget.record_success(pool)
        if slot.guard is not None:
            version = slot.request.version or slot.upstream.version
            self._quarantine.finish(slot.guard, version, slot.generated_tokens, outcome)
        if pool in self._drain_rates and outcome is not Outcome.REFUSED:
            self._drain_rates[pool].record_end(self._timers.now())
        self.dispatch(pool)

    def _admission_error(self, request: SlotRequest, now: float) -> RefusedError | None:
        """Return an error if a request can't be served in time, else None."""
        pool = request.pool
        if not self.registry.has_pool(pool.name):
            self.registry.apply_pool(pool, now)
        queue = self._queue(pool.name)
        if request.is_resume:
            return None
        if not self._has_serving_upstream(request):
            text = f"no upstream of pool {pool.name!r} takes this request now"
            return self._refusal_error(text, "no_upstream", MIN_RETRY_AFTER_S)
        wait_s = self._expected_wait_s(request, queue, now)
        if queue.is_full(
            request.organisation
        ) or wait_s > MAX_EXPECTED_WAIT_SHARE * self._max_wait_s(request):
            return self._overload_error(request, wait_s)
        return None

    def _has_serving_upstream(self, request: SlotRequest) -> bool:
        return any(
            state.serves(request.version) and not state.is_shutting_down
            for state in self.registry.pool(request.pool.name)
        )

    def _expected_wait_s(
        self, request: SlotRequest, queue: FairQueue, now: float
    ) -> float:
        ahead = queue.count_ahead_of(request)
        if ahead < 1.0:
            return 0.0
        rate = self._drain_rates[request.pool.name].per_s(now)
        # Without a known rate no request is refused for its expected wait.
        if rate is None:
            return 0.0
        return ahead / rate

    def _overload_error(self, request: SlotRequest, wait_s: float) -> RefusedError:
        if self.shares.limit_share(request.organisation) < 1.0:
            text = f"organisation {request.organisation!r} is over its share"
            return self._refusal_error(text, "over_share", wait_s, status=429)
        text = f"pool {request.pool.name!r} is overloaded"
        return self._refusal_error(text, "overloaded", wait_s)

    def _refusal_error(
        self, text: str, code: str, wait_s: float, *, status: int = 503
    ) -> RefusedError:
        # Jitter keeps callers that were refused together from retrying together.
        wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        kind = "rate_limit_error" if status == 429 else "server_error"
        return RefusedError(
            text,
            status=status,
            kind=kind,
            code=code,
            retry_after_s=wait_s * self._rng.uniform(1.0, 1.5),
            step="admission",
        )

    def _max_wait_s(self, request: SlotRequest) -> float:
        limits = request.route.limits
        longest_s = limits.deadline_s if request.is_resume else limits.queue_s
        return max(0.0, min(longest_s, request.deadline - self._timers.now()))

    def _expire(self, ticket: Ticket) -> None:
        """Refuse a queued request, unless it has a result already."""
        if ticket.is_done:
            return
        request = ticket.request
        self._queue(request.pool.name).remove(ticket, is_served=False)
        text = f"no upstream of pool {request.pool.name!r} became free in time"
        ticket.finish(
            Err(self._refusal_error(text, "queue_timeout", MIN_RETRY_AFTER_S))
        )

    def _cancel_wait(self, ticket: Ticket, event: Event) -> None:
        """Remove a request from the queue, or free the slot that it got meanwhile."""
        if not ticket.is_done:
            self._expire(ticket)
            return
        result = event.wait()
        if result.is_ok():
            result.ok().finish(Outcome.CANCELLED)

    def _queue(self, pool: PoolName) -> FairQueue:
        if pool not in self._queues:
            self._queues[pool] = FairQueue(self.shares.weight)
            self._drain_rates[pool] = DrainRate()
        return self._queues[pool]

    def _apply_config(self, cfg: Config) -> None:
        self.registry.apply(cfg, self._timers.now())
        declared = frozenset(pool.name for pool in cfg.pools)
        self.budget.apply_pools(declared)
        for name in self._queues.keys() - declared:
            if not len(self._queues[name]):
                del self._queues[name]
                del self._drain_rates[name]
