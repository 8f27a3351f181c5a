"""Choice of the upstream with the least expected time to the first token."""

import random
from collections.abc import Sequence

import msgspec
import xxhash

from boragedeck.ids import FailureDomain
from boragedeck.interfaces import Wanted
from boragedeck.process.cache_hints import CacheHints
from boragedeck.process.upstreams import UpstreamKey, UpstreamRegistry, UpstreamState

__all__ = ["Chosen", "UpstreamChoice", "rendezvous_score"]

PREFILL_TOKENS_PER_S = 8000.0
OTHER_DOMAIN_S = 0.002
DOUBT_S = 1.0
BOUNDED_LOAD = 1.25
BOUNDED_LOAD_SLACK = 2.0
NEAR_BEST_S = 0.005
SHARED_TARGET_TRUST = 0.5
MAX_RUN_S = 60.0


class Chosen(msgspec.Struct, frozen=True):
    """A candidate with its cost.

    Parameters
    ----------
    state : UpstreamState
        The upstream.
    cost_s : float
        Expected time to the first token with all penalties, in seconds.
    """

    state: UpstreamState
    cost_s: float


class UpstreamChoice:
    """Chooses among the upstreams that may take a request.

    Parameters
    ----------
    registry : UpstreamRegistry
        What is known of the upstreams.
    hints : CacheHints
        Where prefixes are cached.
    own_domain : FailureDomain
        Where this router stands.
    rng : random.Random
        The source of the random choices.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        hints: CacheHints,
        own_domain: FailureDomain,
        rng: random.Random,
    ):
        self._registry = registry
        self._hints = hints
        self._own_domain = own_domain
        self._rng = rng

    def pick(
        self, wanted: Wanted, candidates: Sequence[UpstreamState], now: float
    ) -> Chosen | None:
        """Choose an upstream.

        Parameters
        ----------
        wanted : Wanted
            The request.
        candidates : sequence of UpstreamState
            Those that may take it.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Chosen or None
            None where there is no candidate.
        """
        if not candidates:
            return None
        target = max(candidates, key=lambda state: _score(wanted, state))
        gap_s = self._registry.median_gap_s(wanted.pool.name)
        costed = [
            Chosen(state, self._cost_s(wanted, state, state is target, gap_s, now))
            for state in candidates
        ]
        best = min(costed, key=lambda chosen: chosen.cost_s)
        near = [
            chosen
            for chosen in costed
            if chosen.cost_s <= best.cost_s + max(NEAR_BEST_S, gap_s)
        ]
        preferred = next((chosen for chosen in near if chosen.state is target), None)
        if preferred is not None and self._within_bound(target, candidates, now):
            return preferred
        # Two random choices among the near best keep routers that read the same
        # report from all sending to the same upstream.
        pair = self._rng.sample(near, min(2, len(near)))
        return min(pair, key=lambda chosen: chosen.cost_s)

    def _cost_s(
        self,
        wanted: Wanted,
        state: UpstreamState,
        is_target: bool,
        gap_s: float,
        now: float,
    ) -> float:
        slowdown = max(1.0, (state.gap_s or gap_s) / gap_s)
        total = state.load.total(now)
        cost = self._wait_s(state, now)
        prefill_s = self._prefill_s(wanted, state, is_target, now)
        prefill_s += state.load.prefill_tokens / PREFILL_TOKENS_PER_S
        cost += prefill_s * slowdown
        cost += gap_s * slowdown * total / max(0.01, state.upstream.weight)
        if state.health.on_probation():
            cost += DOUBT_S
        if state.upstream.failure_domain != self._own_domain:
            spare = max(0.0, 1.0 - total / state.limit.value)
            cost += OTHER_DOMAIN_S * spare
        return cost

    def _wait_s(self, state: UpstreamState, now: float) -> float:
        limit = state.limit.value
        queued = state.load.queued(limit, now)
        # One place comes free at each end of a run.
        return queued * min(state.run_s, MAX_RUN_S) / max(1.0, limit)

    def _prefill_s(
        self, wanted: Wanted, state: UpstreamState, is_target: bool, now: float
    ) -> float:
        cached = self._hints.cached_tokens(
            wanted.prefix_hash, state.key, wanted.prompt_tokens, now
        )
        if is_target:
            # Other routers send the prefix here too, without telling us.
            cached = max(cached, SHARED_TARGET_TRUST * wanted.prompt_tokens)
        return (wanted.prompt_tokens - cached) / PREFILL_TOKENS_PER_S

    def _within_bound(
        self, target: UpstreamState, candidates: Sequence[UpstreamState], now: float
    ) -> bool:
        loads = [state.load.total(now) for state in candidates]
        mean = sum(loads) / len(loads)
        return target.load.total(now) <= BOUNDED_LOAD * mean + BOUNDED_LOAD_SLACK


def rendezvous_score(prefix_hash: int, upstream: UpstreamKey) -> int:
    """Return an upstream's rank for a prefix; the highest one is preferred."""
    name = f"{prefix_hash}/{upstream.pool}/{upstream.upstream}".encode()
    return xxhash.xxh3_64_intdigest(name)


def _score(wanted: Wanted, state: UpstreamState) -> int:
    return rendezvous_score(wanted.prefix_hash, state.key)
