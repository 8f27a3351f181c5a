"""Admits requests to their pools' queues and places them on upstreams."""

import random
from collections.abc import Callable

from eventlet.event import Event
from result import Err, Ok, Result

from boragedeck.exceptions import RefusedError
from boragedeck.ids import FailureDomain, PoolName
from boragedeck.interfaces import ConfigSource, FactBoard, Outcome, Slot, Wanted
from boragedeck.process.cache_hints import CacheHints
from boragedeck.process.choice import UpstreamChoice
from boragedeck.process.drain_rate import DrainRate
from boragedeck.process.fair_queue import FairQueue, Ticket
from boragedeck.process.isolation import RunGuard
from boragedeck.process.quarantine import Quarantine
from boragedeck.process.retry_budget import RetryBudget
from boragedeck.process.shares import OrganisationShares
from boragedeck.process.slot import UpstreamSlot
from boragedeck.process.timers import TimerService
from boragedeck.process.upstreams import UpstreamRegistry, UpstreamState
from boragedeck.version.tables import Config

__all__ = ["PoolChooser"]

SWEEP_S = 0.25
MAX_TRIED = 32
APART_RETRY_S = 0.05
QUEUE_USE = 0.7
"""Part of the allowed wait that may be expected; the rest is for its error."""
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


class PoolChooser:
    """Implements `boragedeck.interfaces.Chooser`.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    cfg_source : ConfigSource
        Declares pools and organisations.
    board : FactBoard
        Spreads soft state among routers.
    own_domain : FailureDomain
        Where this router stands.
    rng : random.Random, optional
        The source of random choices.
    quarantine : Quarantine, optional
        Keeps requests that crash upstreams from running.

    Attributes
    ----------
    registry : UpstreamRegistry
        What is known of the upstreams.
    hints : CacheHints
        Where prefixes are cached.
    shares : OrganisationShares
        What each organisation holds.
    budget : RetryBudget
        Bounds the requests that are tried again.
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
                lambda upstream: self.pump(upstream.pool)
            )
        self._choice = UpstreamChoice(self.registry, self.hints, own_domain, self._rng)
        self._queues: dict[PoolName, FairQueue] = {}
        self._drains: dict[PoolName, DrainRate] = {}
        self._pumping: set[PoolName] = set()
        self._apply(cfg_source.current())
        cfg_source.subscribe(self._apply)
        timers.subscribe(SWEEP_S, self.sweep)

    def acquire(self, wanted: Wanted) -> Result[Slot, RefusedError]:
        """See `Chooser.acquire`."""
        allowed = self._allow_retry(wanted)
        if allowed.is_err():
            return allowed
        self._timers.sleep(allowed.ok())
        if self._quarantine is None or not wanted.fingerprint:
            return self._wait(wanted, None)
        until = self._timers.now() + self._patience_s(wanted)
        entered = self._quarantine.admit(wanted, until)
        if entered.is_err():
            return entered
        guard = entered.ok()
        result = Err(None)
        try:
            result = self._acquire_guarded(wanted, guard)
        finally:
            if result.is_err():
                self._quarantine.cancel(guard)
        return result

    def submit(
        self,
        wanted: Wanted,
        on_done: Callable[[Result], None],
        guard: RunGuard | None = None,
    ) -> Ticket:
        """Queue a request without waiting.

        Parameters
        ----------
        wanted : Wanted
            The request.
        on_done : callable
            Called once with the place or the refusal, perhaps before this returns.
        guard : RunGuard, optional
            Says beside which suspects of a crash the request may run.

        Returns
        -------
        Ticket
            The request as it waits.
        """
        now = self._timers.now()
        expires_at = now + self._patience_s(wanted)
        ticket = Ticket(wanted, expires_at, on_done, guard)
        if not wanted.is_resume:
            self.shares.arrive(wanted.organisation)
        refusal = self._refusal(wanted, now)
        if refusal is not None:
            ticket.finish(Err(refusal))
            return ticket
        self._queue(wanted.pool.name).push(ticket)
        self.pump(wanted.pool.name)
        return ticket

    def pump(self, pool: PoolName) -> None:
        """Place waiting requests of a pool while there is room."""
        if pool in self._pumping:
            return
        self._pumping.add(pool)
        try:
            while self._place_next(pool):
                pass
        finally:
            self._pumping.discard(pool)

    def sweep(self) -> None:
        """Refuse requests that have waited too long and place others."""
        now = self._timers.now()
        for pool, queue in list(self._queues.items()):
            for ticket in queue.expired(now):
                self._expire(ticket)
            self.pump(pool)

    def queued(self, pool: PoolName) -> int:
        """Return how many requests of a pool wait here."""
        queue = self._queues.get(pool)
        return 0 if queue is None else len(queue)

    def _allow_retry(self, wanted: Wanted) -> Result[float, RefusedError]:
        """Return how long to wait before a request that has failed is tried again."""
        if not wanted.excluded:
            return Ok(0.0)
        return self.budget.spend(
            wanted.pool.name, len(wanted.excluded), is_resume=wanted.is_resume
        )

    def _acquire_guarded(
        self, wanted: Wanted, guard: RunGuard
    ) -> Result[Slot, RefusedError]:
        while True:
            result = self._wait(wanted, guard)
            if result.is_err():
                return result
            slot = result.ok()
            if self._claim_upstream(slot, guard):
                return result
            # Another router's suspect runs there.
            self._timers.sleep(APART_RETRY_S)

    def _claim_upstream(self, slot: UpstreamSlot, guard: RunGuard) -> bool:
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

    def _wait(
        self, wanted: Wanted, guard: RunGuard | None
    ) -> Result[UpstreamSlot, RefusedError]:
        event = Event()
        ticket = self.submit(wanted, event.send, guard)
        try:
            self._timers.wait(event, ticket.expires_at - self._timers.now())
        except BaseException:
            self._abandon(ticket, event)
            raise
        self._expire(ticket)
        return event.wait()

    def _place_next(self, pool: PoolName) -> bool:
        queue = self._queue(pool)
        if not len(queue):
            return False
        now = self._timers.now()
        states = [s for s in self.registry.pool(pool) if s.takes_new_work(now)]
        for_resumes = [state for state in states if state.has_room_for_resume(now)]
        for_new = [state for state in for_resumes if state.has_room(1.0, now)]
        if not for_resumes:
            return False
        for tried, ticket in enumerate(queue.ordered()):
            if tried >= MAX_TRIED:
                return False
            is_resume = ticket.wanted.is_resume
            chosen = self._pick(ticket, for_resumes if is_resume else for_new, now)
            if chosen is not None:
                queue.remove(ticket, is_served=True)
                ticket.finish(Ok(self._slot(ticket.wanted, chosen)))
                return True
        return False

    def _pick(
        self, ticket: Ticket, states: list[UpstreamState], now: float
    ) -> UpstreamState | None:
        wanted = ticket.wanted
        fitting = [state for state in states if state.serves(wanted.version)]
        if ticket.guard is not None:
            fitting = [
                state
                for state in fitting
                if self._quarantine.may_place(ticket.guard, state.key)
            ]
        use = self.shares.use_limit(wanted.organisation)
        if use < 1.0 and not wanted.is_resume:
            fitting = [state for state in fitting if state.has_room(use, now)]
        fresh = [
            state for state in fitting if state.upstream.name not in wanted.excluded
        ]
        if not fresh and self._only_excluded(wanted, now):
            fresh = [state for state in fitting if not state.health.on_probation()]
        chosen = self._choice.pick(wanted, fresh, now)
        return None if chosen is None else chosen.state

    def _only_excluded(self, wanted: Wanted, now: float) -> bool:
        """Return whether all that could serve a request have failed it before."""
        return all(
            state.upstream.name in wanted.excluded
            for state in self.registry.pool(wanted.pool.name)
            if state.serves(wanted.version) and state.takes_new_work(now)
        )

    def _slot(self, wanted: Wanted, state: UpstreamState) -> UpstreamSlot:
        self.shares.start(wanted.organisation)
        return UpstreamSlot(self._timers, state, wanted, self.hints, self._finished)

    def _finished(self, slot: UpstreamSlot, outcome: Outcome) -> None:
        pool = slot.wanted.pool.name
        self.shares.end(slot.wanted.organisation)
        if outcome is Outcome.COMPLETED:
            self.budget.succeeded(pool)
        if slot.guard is not None:
            version = slot.wanted.version or slot.upstream.version
            self._quarantine.finish(slot.guard, version, slot.generated, outcome)
        if pool in self._drains and outcome is not Outcome.REFUSED:
            self._drains[pool].note_end(self._timers.now())
        self.pump(pool)

    def _refusal(self, wanted: Wanted, now: float) -> RefusedError | None:
        """Return why a request can't be served in time, or None."""
        pool = wanted.pool
        if not self.registry.knows(pool.name):
            self.registry.apply_pool(pool, now)
        queue = self._queue(pool.name)
        if wanted.is_resume:
            return None
        if not self._is_served(wanted):
            text = f"no upstream of pool {pool.name!r} takes this request now"
            return self._refused(text, "no_upstream", MIN_RETRY_AFTER_S)
        wait_s = self._expected_wait_s(wanted, queue, now)
        if queue.is_full(wanted.organisation) or wait_s > QUEUE_USE * self._patience_s(
            wanted
        ):
            return self._overloaded(wanted, wait_s)
        return None

    def _is_served(self, wanted: Wanted) -> bool:
        return any(
            state.serves(wanted.version) and not state.leaves
            for state in self.registry.pool(wanted.pool.name)
        )

    def _expected_wait_s(self, wanted: Wanted, queue: FairQueue, now: float) -> float:
        ahead = queue.ahead_of(wanted)
        if ahead < 1.0:
            return 0.0
        rate = self._drains[wanted.pool.name].per_s(now)
        if rate is None:
            return 0.0
        return ahead / rate

    def _overloaded(self, wanted: Wanted, wait_s: float) -> RefusedError:
        if self.shares.use_limit(wanted.organisation) < 1.0:
            text = f"organisation {wanted.organisation!r} is over its share"
            return self._refused(text, "over_share", wait_s, status=429)
        text = f"pool {wanted.pool.name!r} is overloaded"
        return self._refused(text, "overloaded", wait_s)

    def _refused(
        self, text: str, code: str, wait_s: float, *, status: int = 503
    ) -> RefusedError:
        # Jitter keeps callers that were refused together from coming back so.
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

    def _patience_s(self, wanted: Wanted) -> float:
        limits = wanted.route.limits
        longest_s = limits.deadline_s if wanted.is_resume else limits.queue_s
        return max(0.0, min(longest_s, wanted.deadline - self._timers.now()))

    def _expire(self, ticket: Ticket) -> None:
        if ticket.is_done:
            return
        wanted = ticket.wanted
        self._queue(wanted.pool.name).remove(ticket, is_served=False)
        text = f"no upstream of pool {wanted.pool.name!r} became free in time"
        ticket.finish(Err(self._refused(text, "queue_timeout", MIN_RETRY_AFTER_S)))

    def _abandon(self, ticket: Ticket, event: Event) -> None:
        if not ticket.is_done:
            self._expire(ticket)
            return
        result = event.wait()
        if result.is_ok():
            result.ok().finish(Outcome.CANCELLED)

    def _queue(self, pool: PoolName) -> FairQueue:
        if pool not in self._queues:
            self._queues[pool] = FairQueue(self.shares.weight)
            self._drains[pool] = DrainRate()
        return self._queues[pool]

    def _apply(self, cfg: Config) -> None:
        self.registry.apply(cfg, self._timers.now())
        declared = frozenset(pool.name for pool in cfg.pools)
        self.budget.apply_pools(declared)
        for name in self._queues.keys() - declared:
            if not len(self._queues[name]):
                del self._queues[name]
                del self._drains[name]
