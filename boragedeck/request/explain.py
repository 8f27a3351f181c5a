"""Says where a request would go now, by the code that decides it, without sending it.

Nothing is reserved, asked of other routers (but for their loads) or counted. What is
drawn at random (the pool, the side of a rollout, the compared engines) is one draw.
"""

import random
from collections.abc import Callable

import msgspec
from result import Result

from boragedeck.connection.caller_channel import CallerChannel
from boragedeck.connection.reservation import unlimited_reservations
from boragedeck.exceptions import RefusedError
from boragedeck.ids import PoolName
from boragedeck.process.relaying.placing.admission import AdmissionPreview
from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.relaying.placing.placement import (
    compared_replicas,
    obstacle,
    replica_costs,
    sample_size,
)
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.relaying.replicas.restraint import Restraint
from boragedeck.process.relaying.rollouts.rollouts import RelayRollouts
from boragedeck.request.explanation import CandidateView, Explanation, RefusalView
from boragedeck.request.open_relay import OpenRelay
from boragedeck.request.relay_components import RelayComponents, log
from boragedeck.request.relay_job import RelayJob, make_relay_job
from boragedeck.request.relay_refusals import (
    crash_refusal,
    stopping_refusal,
    too_late_refusal,
)
from boragedeck.request.relay_request import RelayRequest
from boragedeck.request.route_match import match_request
from boragedeck.version.replicas import Replica
from boragedeck.version.routing import CallKind

__all__ = ["explain"]


class _UnsentRollouts:
    """The rollouts in force, for a request that isn't sent and isn't counted."""

    def __init__(self, rollouts: RelayRollouts):
        self._rollouts = rollouts

    def replica_filter(self, pool: PoolName) -> Callable[[Replica], bool]:
        """See `RelayRollouts.replica_filter`."""
        return self._rollouts.draw_filter(pool)


def explain(
    parts: RelayComponents, router: str, decoded: Result[RelayRequest, RefusedError]
) -> Explanation:
    """Return where a request would go now, and why.

    Parameters
    ----------
    parts : RelayComponents
        The components of the process that relaying uses.
    router : str
        The id of this router.
    decoded : Result
        The request, or its refusal if it can't be decoded.
    """
    parts = msgspec.structs.replace(
        parts, rollouts=_UnsentRollouts(parts.rollouts), rng=random.Random()
    )
    table = parts.table()
    found = Explanation(
        router=router, table=table.version, ages=parts.table_ages.log_fields()
    )
    if decoded.is_err():
        return _refused(found, decoded.err())
    req = decoded.ok()
    try:
        match = match_request(parts, table, req)
    except RefusedError as exc:
        return _refused(found, exc)
    # Nothing is answered on the channel; it only says that no answer has begun.
    reservations = unlimited_reservations(parts.timers)
    channel = CallerChannel(None, reservations.open("", lambda: None))
    job = make_relay_job(parts, req, match, channel)
    found = msgspec.structs.replace(
        found,
        route=match.rule.name,
        kind=match.rule.kind.value,
        organisation=match.organisation,
        backends={each.pool: each.weight for each in match.rule.backends},
        pool=match.pool.name,
        priority=match.priority,
    )
    explanation = _explain_place(found, job)
    log.write(
        "Explained.",
        route=explanation.route,
        choice=explanation.choice,
        refusal=explanation.refusal and explanation.refusal.code,
    )
    return explanation


def _explain_place(found: Explanation, job: RelayJob) -> Explanation:
    admission, now = job.parts.admission, job.parts.timers.now()
    req = job.places.request(job.deadline)
    preview = admission.preview(req)
    refusal = _first_refusal(job) or preview.refusal
    may_wait = refusal is None and preview.choice is None
    has_choice = refusal is None and preview.choice is not None
    found = msgspec.structs.replace(
        found,
        has_fresh_loads=preview.placement.is_fresh,
        compared=_compared(preview),
        waiting=admission.waiting(),
        candidates=_candidates(job, req, preview),
        choice=preview.choice.replica.replica if has_choice else None,
        expected_wait_s=round(admission.expected_wait_s(req), 3) if may_wait else None,
        max_wait_s=round(max(0.0, req.until - now), 3),
    )
    return found if refusal is None else _refused(found, refusal)


def _first_refusal(job: RelayJob) -> RefusedError | None:
    """Return the refusal of a request before a place is asked for, in their order."""
    if job.parts.time_left() < OpenRelay(job).needed_s():
        return stopping_refusal()
    if job.is_blamed():
        return crash_refusal(job)
    is_stream = job.rule.kind is CallKind.STREAM
    late = too_late_refusal(job) if is_stream else None
    return late or job.places.unreached_refusal()


def _compared(preview: AdmissionPreview) -> int:
    placement = preview.placement
    count = len(compared_replicas(preview.states, placement))
    if placement.engine is None:
        return count
    return sample_size(count, placement.routers)


def _candidates(
    job: RelayJob, req: AdmissionRequest, preview: AdmissionPreview
) -> list[CandidateView]:
    compared = compared_replicas(preview.states, preview.placement)
    costs = replica_costs(compared, preview.placement)
    views = [
        _view(job, state, _exclusion(req, preview, state, costs), costs)
        for state in job.parts.registry.all()
        if state.replica.pool == job.pool_name
    ]
    return sorted(views, key=lambda view: (view.cost is None, view.cost, view.replica))


def _exclusion(
    req: AdmissionRequest,
    preview: AdmissionPreview,
    state: ReplicaState,
    costs: dict,
) -> str | None:
    """Return why a replica isn't compared."""
    if state.replica.replica in costs:
        return None
    if state.is_leaving:
        return "leaving"
    if not req.allows(state.replica):
        return "version"
    found = obstacle(state, preview.placement)
    restraint = state.restraints.strongest(preview.placement.now)
    is_strict = restraint is not None and restraint.is_strict
    if found is not None and not is_strict:
        return found.value
    return "passed_over" if restraint is None else restraint.reason.value


def _view(
    job: RelayJob, state: ReplicaState, excluded: str | None, costs: dict
) -> CandidateView:
    replica, now = state.replica, job.parts.timers.now()
    cost = costs.get(replica.replica)
    restraint = state.restraints.strongest(now)
    is_restrained = restraint is not None and excluded == restraint.reason.value
    return CandidateView(
        replica=replica.replica,
        address=str(replica.address),
        failure_domain=replica.failure_domain,
        version=replica.version,
        stage=replica.stage.value,
        path=job.parts.paths.state_of(replica.address).value,
        excluded=excluded,
        excluded_s=_left_s(restraint, now) if is_restrained else None,
        cost=None if cost is None else round(cost, 4),
        speed=state.speed,
        own_running=state.own.running,
        peers_running=state.peers.running,
        tokens=state.tokens,
        unread_tokens=state.unread_tokens,
        failure_share=round(state.failure_share, 3),
        is_limited=state.is_limited,
        is_brittle=state.is_brittle,
        answered_s=_age_s(state.answered_at, now),
        missed_s=_age_s(state.missed_at, now),
    )


def _left_s(restraint: Restraint, now: float) -> float | None:
    left_s = restraint.until - now
    return None if left_s == float("inf") else round(left_s, 3)


def _age_s(at: float, now: float) -> float | None:
    return None if at == float("-inf") else round(now - at, 3)


def _refused(found: Explanation, error: RefusedError) -> Explanation:
    refusal = RefusalView(error.status, error.code, error.message, error.retry_after_s)
    return msgspec.structs.replace(found, refusal=refusal)
