"""Chooses the replica for a request; plain functions without network or clock.

The load this answers: prompts of thousands of tokens that delay every stream beside
them, engines whose memory fills before their slots, and failure domains that go down
in turn, with reports that many routers read at once.
"""

import math
import random
from collections.abc import Iterable, Sequence

import msgspec

from boragedeck.ids import FailureDomain
from boragedeck.process.relaying.replica_state import ReplicaState
from boragedeck.version.replicas import ReplicaId
from boragedeck.version.routing import EngineProfile

__all__ = [
    "PlaceRequest",
    "choose_backup",
    "choose_replica",
    "doubted_domains",
    "drawn_engines",
    "has_room",
]

MEMORY_SHARE = 0.92
"""Of an engine's memory, what may be promised; outputs may be longer than expected."""
RUNNING_COST_TOKENS = 400
"""What a running stream costs a new one, in prompt tokens read ahead of it."""
FAILURE_COST = 2.0
"""What a share of failures of one costs, in full replicas."""
LOST_DOMAIN_COST = 0.5
"""What a service costs in a failure domain where the request was lost before, in full
replicas."""
LOST_DOMAIN_COST_TOKENS = 8000
"""What an engine there costs, in prompt tokens."""
DOUBT_S = 2.0
"""For so long a miss speaks against the engines beside the one that was missed."""
DRAWN = 4
"""So many engines are compared, drawn at random, where many routers choose by the same
knowledge. Requests that come within its age meet at the engine that looks best to all;
few draws miss the emptiest engines and still find one that reads no prompt."""
FRESH_ROUTERS = 12
"""So few routers hear of each other's choices soon enough to compare all engines."""


class PlaceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a request when its replica is chosen.

    Parameters
    ----------
    tokens : int
        Memory that it takes at its end, in tokens.
    now : float
        The time, on the timer service's monotonic clock.
    tried : frozenset of ReplicaId
        Replicas that it was sent to before.
    engine : EngineProfile or None
        Set where the replicas are engines.
    lost_domains : frozenset of FailureDomain
        Where it was lost before.
    routers : int
        Routers that choose among the same replicas.
    is_fresh : bool
        Whether the other routers' loads are known as they are now.
    """

    tokens: int
    now: float
    tried: frozenset[ReplicaId] = frozenset()
    engine: EngineProfile | None = None
    lost_domains: frozenset[FailureDomain] = frozenset()
    routers: int = 1
    is_fresh: bool = True


def has_room(state: ReplicaState, req: PlaceRequest) -> bool:
    """Return whether a replica can begin a request at once.

    Notes
    -----
    Calls end within milliseconds, so loads of other routers that aren't fresh say
    nothing about a service; it refuses by itself what it has no room for.
    """
    if not state.may_begin(req.now):
        return False
    if req.engine is None:
        running = state.running if req.is_fresh else state.own.running
        return running < state.replica.slots
    if state.running >= req.engine.slots:
        return False
    limit = req.engine.kv_capacity_tokens * MEMORY_SHARE
    # A request larger than that is left to the engine where nothing else runs.
    return not state.running or state.tokens + req.tokens <= limit


def choose_replica(
    states: Iterable[ReplicaState], req: PlaceRequest, rng: random.Random
) -> ReplicaState | None:
    """Return the replica that serves a request soonest; None where none has room.

    Notes
    -----
    A replica that lately failed is taken only where no other has room.
    """
    open_states = [
        state
        for state in states
        if state.replica.replica not in req.tried and has_room(state, req)
    ]
    healthy = [state for state in open_states if state.avoid_until <= req.now]
    candidates = healthy or open_states
    if not candidates:
        return None
    least = min(state.failure_share for state in candidates)
    if req.engine is not None:
        candidates = _draw(candidates, req, rng)
    return min(candidates, key=lambda state: (_cost(state, req, least), rng.random()))


def choose_backup(
    states: Sequence[ReplicaState],
    chosen: ReplicaState,
    req: PlaceRequest,
    rng: random.Random,
) -> ReplicaState | None:
    """Return an engine in another failure domain to hold a copy of a run.

    Notes
    -----
    The engines of a domain that went down look emptiest of all. A domain counts as down
    where the newest that was heard of it, by this request or by others, is a miss.
    """
    candidates = [
        state
        for state in states
        if state.replica.failure_domain != chosen.replica.failure_domain
        and state.avoid_until <= req.now
        and has_room(state, req)
    ]
    doubted = req.lost_domains | doubted_domains(states, req.now)
    sound = [
        state for state in candidates if state.replica.failure_domain not in doubted
    ]
    drawn = _draw(sound or candidates, req, rng)
    return min(drawn, key=lambda state: state.tokens, default=None)


def doubted_domains(
    states: Iterable[ReplicaState], now: float
) -> frozenset[FailureDomain]:
    """Return the failure domains of which the newest that was heard is a miss.

    Parameters
    ----------
    states : iterable of ReplicaState
        The replicas.
    now : float
        The time, on the timer service's monotonic clock.
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
        if at > answered_at[domain] and now - at <= DOUBT_S
    )


def drawn_engines(engines: int, routers: int) -> int:
    """Return how many of the engines a router compares.

    Parameters
    ----------
    engines : int
        Engines that may serve.
    routers : int
        Routers that choose among them.
    """
    return engines if routers <= FRESH_ROUTERS else min(engines, DRAWN)


def _draw(
    states: list[ReplicaState], req: PlaceRequest, rng: random.Random
) -> list[ReplicaState]:
    return rng.sample(states, drawn_engines(len(states), req.routers))


def _cost(state: ReplicaState, req: PlaceRequest, least: float) -> float:
    """Return the cost of a replica, in shares of a full one."""
    cost = FAILURE_COST * (state.failure_share - least)
    is_lost = state.replica.failure_domain in req.lost_domains
    if req.engine is None:
        cost += LOST_DOMAIN_COST * is_lost
        return cost + state.running / state.replica.slots
    ahead = state.unread_tokens + RUNNING_COST_TOKENS * state.running
    ahead += LOST_DOMAIN_COST_TOKENS * is_lost
    return cost + ahead / req.engine.kv_capacity_tokens
