"""Chooses the replica for a request, by functions without network or clock.

Handles prompts of thousands of tokens that delay all other streams of their engine,
engines whose memory fills before their slots, failure domains that go down one after
the other, and many routers that choose by the same load reports at once. A replica is
either a model engine, which streams its output, or one of a service, which answers
calls within milliseconds. A miss is defined in `replica_state`.
"""

import enum
import math
import random
from collections.abc import Iterable, Sequence

import msgspec

from boragedeck.ids import FailureDomain
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.version.replicas import ReplicaId
from boragedeck.version.routing import EngineProfile

__all__ = [
    "Obstacle",
    "PlacementRequest",
    "choose_backup",
    "choose_emptiest",
    "choose_replica",
    "compared_replicas",
    "most_free_tokens",
    "obstacle",
    "replica_costs",
    "suspect_domains",
    "sample_size",
    "has_room",
    "work_ahead",
]

MEMORY_SHARE = 0.92
"""Share of an engine's memory that may be filled; outputs may exceed the estimate."""
RUNNING_COST_TOKENS = 400
"""Cost of a running stream, in prompt tokens that are read first."""
FAILURE_COST = 2.0
"""Cost of a failure share of 1.0 (all attempts fail), in fully loaded replicas."""
LOST_DOMAIN_COST = 0.5
"""Cost of a service replica in a failure domain in which the request was lost before,
in fully loaded replicas."""
LOST_DOMAIN_COST_TOKENS = 8000
"""Cost of an engine in such a failure domain, in prompt tokens."""
SUSPECT_S = 2.0
"""How long after a miss the failure domain of the replica is suspect."""
MAX_SAMPLED_ENGINES = 4
"""Number of engines that are sampled at random and compared in a large fleet. If all
routers compared all engines by the same load reports, requests that arrive within the
age of a report would pile up at the engine that looks best to all. A small sample
mostly misses the emptiest engines and still finds one that reads no prompt."""
MAX_ROUTERS_TO_COMPARE_ALL = 12
"""Up to this number, routers learn of each other's choices soon enough to compare all
engines."""


class PlacementRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of a request by which its replica is chosen.

    Parameters
    ----------
    tokens : int
        Memory that the request takes when its output is complete, in tokens.
    now : float
        The current time, on the timer service's monotonic clock.
    tried : frozenset of ReplicaId
        Replicas to which the request was sent before.
    work_tokens : float
        Work of the request itself, in prompt tokens that an engine reads meanwhile.
    engine : EngineProfile or None
        The profile of the engines; None if the replicas are those of a service.
    lost_domains : frozenset of FailureDomain
        Failure domains in which the request was lost before.
    routers : int
        Number of routers that choose among the same replicas.
    is_fresh : bool
        Whether the known loads of the other routers are current.
    """

    tokens: int
    now: float
    work_tokens: float = 0.0
    tried: frozenset[ReplicaId] = frozenset()
    engine: EngineProfile | None = None
    lost_domains: frozenset[FailureDomain] = frozenset()
    routers: int = 1
    is_fresh: bool = True


class Obstacle(enum.Enum):
    """Why a replica can't start a request immediately."""

    TRIED = "tried"
    """The request was sent to it before."""
    NOT_ACCEPTING = "not_accepting"
    """It is leaving, has asked to wait, or gets one request at a time after that."""
    NO_SLOT = "no_slot"
    NO_MEMORY = "no_memory"


def obstacle(state: ReplicaState, req: PlacementRequest) -> Obstacle | None:
    """Return why a replica can't start a request immediately; None if it can."""
    if state.replica.replica in req.tried:
        return Obstacle.TRIED
    return _room_obstacle(state, req)


def has_room(state: ReplicaState, req: PlacementRequest) -> bool:
    """Return whether a replica can start a request immediately.

    Notes
    -----
    Calls end within milliseconds, so stale loads of other routers say nothing about a
    service and are ignored; a service that is full refuses the call itself.
    """
    return _room_obstacle(state, req) is None


def most_free_tokens(states: Iterable[ReplicaState], req: PlacementRequest) -> float:
    """Return the largest number of tokens with which a request may fit anywhere.

    Returns
    -------
    float
        -1.0 if no replica can start a request immediately, however small it is. The
        tokens of `req` and the replicas that it has tried don't count.
    """
    smallest = msgspec.structs.replace(req, tokens=0)
    return max(
        (
            _free_tokens(state, req.engine)
            for state in states
            if _room_obstacle(state, smallest) is None
        ),
        default=-1.0,
    )


def compared_replicas(
    states: Iterable[ReplicaState], req: PlacementRequest
) -> list[ReplicaState]:
    """Return the replicas among which the cost decides.

    Notes
    -----
    A replica whose limit doesn't allow a request now is chosen only if no other has
    room, and one that is avoided after a miss only after that.
    """
    open_states = [state for state in states if obstacle(state, req) is None]
    healthy = [state for state in open_states if state.avoid_until <= req.now]
    free = [state for state in healthy if state.limited_until <= req.now]
    if healthy and not free:
        return [min(healthy, key=lambda state: state.limited_until)]
    return free or open_states


def choose_replica(
    states: Iterable[ReplicaState], req: PlacementRequest, rng: random.Random
) -> ReplicaState | None:
    """Return the replica with the lowest cost for a request; None if none has room."""
    candidates = compared_replicas(states, req)
    if not candidates:
        return None
    if candidates[0].avoid_until <= req.now < candidates[0].limited_until:
        # All are limited; the turns decide, not the cost.
        return candidates[0]
    min_failure_share = min(state.failure_share for state in candidates)
    if req.engine is not None:
        candidates = _sample(candidates, req, rng)
    return min(
        candidates,
        key=lambda state: (_cost(state, req, min_failure_share), rng.random()),
    )


def replica_costs(
    candidates: Sequence[ReplicaState], req: PlacementRequest
) -> dict[ReplicaId, float]:
    """Return the costs of the replicas that are compared; 1.0 is fully loaded."""
    min_failure_share = min((state.failure_share for state in candidates), default=0.0)
    return {
        state.replica.replica: _cost(state, req, min_failure_share)
        for state in candidates
    }


def choose_backup(
    states: Sequence[ReplicaState],
    chosen: ReplicaState,
    req: PlacementRequest,
    rng: random.Random,
) -> ReplicaState | None:
    """Return an engine in another failure domain to hold a copy of a run.

    Returns
    -------
    ReplicaState or None
        None if no engine in another domain has room and isn't avoided.

    Notes
    -----
    The engines of a failure domain that went down appear the emptiest. So engines in
    suspect domains and in domains in which this request was lost are chosen last.
    """
    candidates = [
        state
        for state in states
        if state.replica.failure_domain != chosen.replica.failure_domain
        and state.avoid_until <= req.now
        and has_room(state, req)
    ]
    suspects = req.lost_domains | suspect_domains(states, req.now)
    unsuspected = [
        state for state in candidates if state.replica.failure_domain not in suspects
    ]
    sampled = _sample(unsuspected or candidates, req, rng)
    return min(sampled, key=lambda state: state.tokens, default=None)


def choose_emptiest(
    states: Iterable[ReplicaState], req: PlacementRequest, rng: random.Random
) -> ReplicaState | None:
    """Return the engine with the most free memory, which may have too little of it.

    Returns
    -------
    ReplicaState or None
        None if no engine takes requests that this one may be sent to.
    """
    candidates = [
        state
        for state in states
        if state.replica.replica not in req.tried
        and state.avoid_until <= req.now
        and state.can_accept(req.now)
    ]
    sampled = _sample(candidates, req, rng)
    return min(sampled, key=lambda state: state.tokens, default=None)


def suspect_domains(
    states: Iterable[ReplicaState], now: float
) -> frozenset[FailureDomain]:
    """Return the failure domains with a recent miss that no later answer refutes.

    Parameters
    ----------
    states : iterable of ReplicaState
        The replicas.
    now : float
        The current time, on the timer service's monotonic clock.
    """
    missed_at: dict[FailureDomain, float] = {}
    answered_at: dict[FailureDomain, float] = {}
    for state in states:
        domain = state.replica.failure_domain
        missed_at[domain] = max(state.missed_at, missed_at.get(domain, -math.inf))
        answered_at[domain] = max(state.answered_at, answered_at.get(domain, -math.inf))
    return frozenset(
        domain
        for domain, at in missed_at.items()
        if at > answered_at[domain] and now - at <= SUSPECT_S
    )


def sample_size(engines: int, routers: int) -> int:
    """Return the number of engines that a router compares.

    Parameters
    ----------
    engines : int
        Number of engines that may serve the request.
    routers : int
        Number of routers that choose among them.
    """
    return (
        engines
        if routers <= MAX_ROUTERS_TO_COMPARE_ALL
        else min(engines, MAX_SAMPLED_ENGINES)
    )


def _room_obstacle(state: ReplicaState, req: PlacementRequest) -> Obstacle | None:
    if not state.can_accept(req.now):
        return Obstacle.NOT_ACCEPTING
    if req.engine is None:
        running = state.running if req.is_fresh else state.own.running
        return None if running < state.replica.slots else Obstacle.NO_SLOT
    if state.running >= req.engine.slots:
        return Obstacle.NO_SLOT
    is_within = req.tokens <= _free_tokens(state, req.engine)
    return None if is_within else Obstacle.NO_MEMORY


def _free_tokens(state: ReplicaState, engine: EngineProfile | None) -> float:
    """Return how many tokens a request may take at a replica that has a slot.

    Notes
    -----
    A request that exceeds the limit alone is accepted by an idle engine.
    """
    if engine is None or not state.running:
        return math.inf
    return engine.memory_tokens * MEMORY_SHARE - state.tokens


def work_ahead(state: ReplicaState) -> int:
    """Return the known work at an engine before it has read all prompts, in tokens."""
    return state.unread_tokens + RUNNING_COST_TOKENS * state.running


def _sample(
    states: list[ReplicaState], req: PlacementRequest, rng: random.Random
) -> list[ReplicaState]:
    """Return the engines to compare; see `sample_size`."""
    return rng.sample(states, sample_size(len(states), req.routers))


def _cost(
    state: ReplicaState, req: PlacementRequest, min_failure_share: float
) -> float:
    """Return the cost of a replica; 1.0 is that of a fully loaded one.

    Notes
    -----
    An engine also costs what it takes longer for the work ahead and for the request
    itself than one of speed 1.0: a slow one takes longer even if it is idle.
    """
    cost = FAILURE_COST * (state.failure_share - min_failure_share)
    is_lost = state.replica.failure_domain in req.lost_domains
    if req.engine is None:
        cost += LOST_DOMAIN_COST * is_lost
        return cost + state.running / state.replica.slots
    tokens_ahead = work_ahead(state)
    extra_tokens = (tokens_ahead + req.work_tokens) * (1.0 / state.speed - 1.0)
    tokens_ahead += LOST_DOMAIN_COST_TOKENS * is_lost
    cost += tokens_ahead / req.engine.memory_tokens
    return cost + extra_tokens / req.engine.memory_tokens
