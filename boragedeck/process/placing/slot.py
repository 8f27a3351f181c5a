"""A slot on an upstream, which updates the upstream's statistics from its run."""

from collections.abc import Callable

from boragedeck.interfaces import Outcome, SlotRequest
from boragedeck.process.crashes.isolation import RunGuard
from boragedeck.process.placing.cache_hints import CacheHints
from boragedeck.process.placing.choice import PREFILL_TOKENS_PER_S
from boragedeck.process.placing.upstreams import UpstreamState
from boragedeck.process.timers import TimerService
from boragedeck.version.tables import Upstream

__all__ = ["UpstreamSlot"]

MAX_GAP_S = 1.0


class UpstreamSlot:
    """Slot on an upstream; implements `boragedeck.interfaces.Slot`.

    Parameters
    ----------
    timers : TimerService
        Provides the time and timers.
    state : UpstreamState
        The upstream that the slot belongs to.
    request : SlotRequest
        The request that holds the slot.
    hints : CacheHints
        Records which upstreams have which prompt prefixes in their cache.
    on_finish : callable
        Called once with this slot and the outcome.

    Attributes
    ----------
    generated_tokens : int
        Number of tokens generated so far.
    guard : RunGuard or None
        Keeps the request apart from other requests suspected of crashing upstreams.
    on_tokens : callable or None
        Called after each batch of tokens with the number generated so far.
    """

    def __init__(
        self,
        timers: TimerService,
        state: UpstreamState,
        request: SlotRequest,
        hints: CacheHints,
        on_finish: Callable[["UpstreamSlot", Outcome], None],
    ):
        self.upstream: Upstream = state.upstream
        self.state = state
        self.request = request
        self.generated_tokens = 0
        self.guard: RunGuard | None = None
        self.on_tokens: Callable[[int], None] | None = None
        self._timers = timers
        self._hints = hints
        self._on_finish = on_finish
        self._is_finished = False
        self._started_at = timers.now()
        self._last_output_at: float | None = None
        self._prefill_tokens = request.prompt_tokens - hints.cached_tokens(
            request.prefix_hash, state.key, request.prompt_tokens, self._started_at
        )
        state.load.record_start(self._started_at)
        state.load.prefill_tokens += self._prefill_tokens

    def first_token(self) -> None:
        """See `Slot.first_token`."""
        if self._last_output_at is not None or self._is_finished:
            return
        now = self._last_output_at = self._timers.now()
        state, request = self.state, self.request
        state.load.prefill_tokens -= self._prefill_tokens
        state.observe_success(self._started_at, now)
        prefill_s = request.prompt_tokens / PREFILL_TOKENS_PER_S
        latency_s = now - self._started_at - prefill_s
        state.limit.observe_latency(latency_s, state.load.total(now), now)
        self._hints.stored(request.prefix_hash, state.key, request.prompt_tokens, now)

    def tokens(self, count: int) -> None:
        """See `Slot.tokens`."""
        if self._is_finished:
            return
        now = self._timers.now()
        self.generated_tokens += count
        if self._last_output_at is not None and count > 0:
            # A longer gap is due to a slow reader or a silent stream and says
            # nothing about the engine's speed.
            gap_s = (now - self._last_output_at) / count
            if gap_s <= MAX_GAP_S:
                self.state.observe_gap(gap_s)
        self._last_output_at = now
        if self.on_tokens is not None:
            self.on_tokens(self.generated_tokens)

    def finish(self, outcome: Outcome) -> None:
        """See `Slot.finish`."""
        if self._is_finished:
            return
        self._is_finished = True
        now = self._timers.now()
        state = self.state
        if self._last_output_at is None:
            state.load.prefill_tokens -= self._prefill_tokens
        if outcome is Outcome.COMPLETED:
            self._observe_completion(now)
        state.observe_failure(outcome, now)
        state.load.record_end(now)
        if outcome is Outcome.CRASHED:
            self._hints.forget(state.key)
        self._on_finish(self, outcome)

    def _observe_completion(self, now: float) -> None:
        state = self.state
        if self._last_output_at is None:
            latency_s = now - self._started_at
            state.limit.observe_latency(latency_s, state.load.total(now), now)
        state.observe_success(self._started_at, now)
        state.observe_run(now - self._started_at)
