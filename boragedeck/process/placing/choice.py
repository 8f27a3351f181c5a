"""Selection of the upstream with the lowest expected time to first token."""

import random
from collections.abc import Sequence

import msgspec
import xxhash

from boragedeck.ids import FailureDomain
from boragedeck.interfaces import SlotRequest
from boragedeck.process.placing.cache_hints import CacheHints
from boragedeck.process.placing.upstreams import (
    UpstreamKey,
    UpstreamRegistry,
    UpstreamState,
)

__all__ = ["CostedUpstream", "UpstreamSelector", "rendezvous_score"]

PREFILL_TOKENS_PER_S = 8000.0
OTHER_DOMAIN_PENALTY_S = 0.002
PROBATION_PENALTY_S = 1.0
BOUNDED_LOAD_FACTOR = 1.25
BOUNDED_LOAD_SLACK_REQUESTS = 2.0
NEAR_BEST_MARGIN_S = 0.005
AFFINITY_CACHED_SHARE = 0.5
MAX_RUN_S = 60.0


class CostedUpstream(msgspec.Struct, frozen=True):
    """A candidate upstream with its cost.

    Parameters
    ----------
    state : UpstreamState
        The upstream.
    cost_s : float
        Expected time to first token plus all penalties, in seconds.
    """

    state: UpstreamState
    cost_s: float


class UpstreamSelector:
    """Selects one of the upstreams that may serve a request.

    Parameters
    ----------
    registry : UpstreamRegistry
        The state of each upstream as this router knows it.
    hints : CacheHints
        Records which upstreams have which prompt prefixes in their cache.
    own_domain : FailureDomain
        The failure domain of this router.
    rng : random.Random
        The source of the random choices.

    Notes
    -----
    The affinity target of a request is the candidate with the highest rendezvous score
    for its prompt prefix, so that routers send a prefix to the same upstream. It is
    preferred if it costs little more than the best one and isn't overloaded. A gap is
    the time between two tokens of a run.
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

    def select(
        self, request: SlotRequest, candidates: Sequence[UpstreamState], now: float
    ) -> CostedUpstream | None:
        """Select an upstream.

        Parameters
        ----------
        request : SlotRequest
            The request.
        candidates : sequence of UpstreamState
            The upstreams that may serve the request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        CostedUpstream or None
            None if there is no candidate.
        """
        if not candidates:
            return None
        affinity_target = max(
            candidates, key=lambda state: _affinity_score(request, state)
        )
        gap_s = self._registry.median_gap_s(request.pool.name)
        costed_upstreams = [
            CostedUpstream(
                state,
                self._cost_s(request, state, state is affinity_target, gap_s, now),
            )
            for state in candidates
        ]
        best = min(costed_upstreams, key=lambda costed: costed.cost_s)
        near_best = [
            costed
            for costed in costed_upstreams
            if costed.cost_s <= best.cost_s + max(NEAR_BEST_MARGIN_S, gap_s)
        ]
        preferred = next(
            (costed for costed in near_best if costed.state is affinity_target), None
        )
        if preferred is not None and self._is_within_load_bound(
            affinity_target, candidates, now
        ):
            return preferred
        # Taking the better of two random upstreams among the near best prevents
        # routers that see the same load report from all choosing the same upstream.
        sampled = self._rng.sample(near_best, min(2, len(near_best)))
        return min(sampled, key=lambda costed: costed.cost_s)

    def _cost_s(
        self,
        request: SlotRequest,
        state: UpstreamState,
        is_affinity_target: bool,
        gap_s: float,
        now: float,
    ) -> float:
        slowdown = max(1.0, (state.gap_s or gap_s) / gap_s)
        total = state.load.total(now)
        cost = self._wait_s(state, now)
        prefill_s = self._prefill_s(request, state, is_affinity_target, now)
        prefill_s += state.load.prefill_tokens / PREFILL_TOKENS_PER_S
        cost += prefill_s * slowdown
        cost += gap_s * slowdown * total / max(0.01, state.upstream.weight)
        if state.health.is_on_probation():
            cost += PROBATION_PENALTY_S
        if state.upstream.failure_domain != self._own_domain:
            spare_share = max(0.0, 1.0 - total / state.limit.value)
            cost += OTHER_DOMAIN_PENALTY_S * spare_share
        return cost

    def _wait_s(self, state: UpstreamState, now: float) -> float:
        limit = state.limit.value
        queued = state.load.queued(limit, now)
        # Each run that ends frees one slot.
        return queued * min(state.run_s, MAX_RUN_S) / max(1.0, limit)

    def _prefill_s(
        self,
        request: SlotRequest,
        state: UpstreamState,
        is_affinity_target: bool,
        now: float,
    ) -> float:
        cached = self._hints.cached_tokens(
            request.prefix_hash, state.key, request.prompt_tokens, now
        )
        if is_affinity_target:
            # Other routers also send this prefix here, but their requests leave no
            # hints in this router.
            cached = max(cached, AFFINITY_CACHED_SHARE * request.prompt_tokens)
        return (request.prompt_tokens - cached) / PREFILL_TOKENS_PER_S

    def _is_within_load_bound(
        self,
        affinity_target: UpstreamState,
        candidates: Sequence[UpstreamState],
        now: float,
    ) -> bool:
        loads = [state.load.total(now) for state in candidates]
        mean = sum(loads) / len(loads)
        return (
            affinity_target.load.total(now)
            <= BOUNDED_LOAD_FACTOR * mean + BOUNDED_LOAD_SLACK_REQUESTS
        )


def rendezvous_score(prefix_hash: int, upstream: UpstreamKey) -> int:
    """Return an upstream's score for a prefix; the highest score is preferred."""
    name = f"{prefix_hash}/{upstream.pool}/{upstream.upstream}".encode()
    return xxhash.xxh3_64_intdigest(name)


def _affinity_score(request: SlotRequest, state: UpstreamState) -> int:
    return rendezvous_score(request.prefix_hash, state.key)
