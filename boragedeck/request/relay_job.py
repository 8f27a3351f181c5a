"""State of one relayed request that all of its attempts share."""

from boragedeck.connection.caller_channel import CallerChannel
from boragedeck.exceptions import RefusedError, UpstreamAnswerTooLargeError
from boragedeck.ids import OrganisationName, PoolName
from boragedeck.process.relaying.crashes.crash_identity import (
    RequestTraits,
    family_of,
    fingerprint_of,
)
from boragedeck.process.relaying.placing.place import AdmissionRequest, Place
from boragedeck.process.relaying.relay_metrics import OrderCheck
from boragedeck.request.attempt_counts import AttemptCounts
from boragedeck.request.attempt_evidence import AttemptEvidence
from boragedeck.request.events import EventExcessError, EventOrderError
from boragedeck.request.place_finder import PlaceFinder
from boragedeck.request.relay_components import RelayComponents, log, respond_refusal
from boragedeck.request.relay_request import RelayRequest
from boragedeck.request.request_deadlines import request_deadlines
from boragedeck.request.route_match import RouteMatch
from boragedeck.version.routing import CallKind, RelayPool, RouteRule

__all__ = ["RelayJob", "make_relay_job"]

MAX_WAIT_SHARE = 0.4
"""Share of the time until its final answer is due that a request which has not run may
wait. If it is refused then, the caller still has time to retry and be served."""
DEADLINE_RESOLUTION_S = 0.002
"""How much earlier than its deadline a replica may end a request; it is told whole
milliseconds."""
REPEAT_POLL_S = 0.25
"""How often a request that waits for a repeat asks whether one is allowed."""
MAX_LOGGED_PARTS = 8


class RelayJob:
    """A request that is being relayed on a known route.

    Parameters
    ----------
    parts : RelayComponents
        The components of the process that relaying uses.
    req : RelayRequest
        The request.
    rule : RouteRule
        The route of the request.
    pool : RelayPool
        The pool whose replicas serve it.
    organisation : OrganisationName or None
        The caller's organisation.
    priority : int
        The priority; 0 is the highest.
    channel : CallerChannel
        The channel on which the caller is answered.
    rank : int, optional
        Its rank by urgency among the requests to the pool; None if they have none.

    Attributes
    ----------
    attempts : AttemptCounts
        The attempts that were sent.
    deadlines : RequestDeadlines
        When the request's time is over.
    places : PlaceFinder
        Finds the places of the attempts.
    """

    def __init__(
        self,
        parts: RelayComponents,
        req: RelayRequest,
        rule: RouteRule,
        pool: RelayPool,
        organisation: OrganisationName | None,
        priority: int,
        channel: CallerChannel,
        *,
        rank: int | None = None,
    ):
        self.parts = parts
        self.req = req
        self.rule = rule
        self.pool = pool
        self.organisation = organisation
        self.priority = priority
        self.rank = rank
        self.channel = channel
        channel.reservation.name_organisation(organisation)
        channel.reservation.name_pool(pool.name)
        self.deadlines = request_deadlines(req, rule)
        self.traits = RequestTraits(
            pool.name,
            fingerprint_of(
                organisation, req.method, req.host, req.target, req.body.data
            ),
            req.shared_parts,
            family_of(organisation, req.path, req.body.data),
        )
        # Whether it is given up because this process stops.
        self.is_given_up = False
        # Whether it is sent although it is blamed, to find out if it still crashes.
        self.is_trial = False
        # Replicas that were lost just when the answer had begun there.
        self.lost_at_begin = 0
        self.attempts = AttemptCounts()
        self.evidence = AttemptEvidence(parts.rollouts, parts.timers, rule.name)
        self.places = PlaceFinder(
            parts,
            AdmissionRequest(
                pool=pool,
                priority=priority if rank is None else rank,
                prompt_tokens=req.prompt_tokens,
                tokens=req.tokens,
                until=req.arrived + MAX_WAIT_SHARE * self._final_answer_s(),
                allows=parts.rollouts.replica_filter(pool.name),
                request_id=req.request_id,
                deadline=self.deadlines.answer_end,
                has_priorities=rank is not None,
                organisation=organisation,
                goal_at=req.arrived + rule.goal_s,
                needed_s=self._needed_s(),
                is_resumed=req.resume_after is not None,
            ),
            self.attempts,
        )

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request."""
        return self.attempts.may_have_run

    @property
    def pool_name(self) -> PoolName:
        """The name of the pool."""
        return self.pool.name

    @property
    def deadline(self) -> float:
        """When the router ends the request, on the timer service's monotonic clock."""
        if self.channel.has_begun:
            return self.deadlines.answer_end
        return self.deadlines.final_answer

    def left_s(self) -> float:
        """Return the time until `deadline`, in seconds; less than 0 after it."""
        return self.deadline - self.parts.timers.now()

    def replica_left_s(self) -> float:
        """Return how long a replica may work, in seconds; less than 0 if no more."""
        return self.deadlines.answer_end - self.parts.timers.now()

    def is_replica_time_over(self) -> bool:
        """Return whether replicas end the request by themselves, as they were told."""
        return self.replica_left_s() <= DEADLINE_RESOLUTION_S

    def is_call_time_over(self) -> bool:
        """Return whether replicas end the request, a call, as they were told."""
        return self.left_s() <= DEADLINE_RESOLUTION_S

    def begin_clean_up(self) -> None:
        """Record that the handler ends its attempts, and isn't ended meanwhile."""
        self.channel.is_interrupted = True

    def note_start(self, place: Place) -> None:
        """Record that an attempt begins; `note_end` must follow."""
        self.attempts.note_start(place)
        self.evidence.note_start(place)

    def note_end(self, place: Place) -> None:
        """Record that an attempt has ended, which may be said twice."""
        self.attempts.note_end(place)
        self.evidence.note_end(place)

    def is_blamed(self) -> bool:
        """Return whether the request, or a part of it, crashes replicas."""
        return self.parts.crash_blame.is_blamed(self.traits)

    def may_send_again(
        self, extra_attempts: int = 0, *, max_wait_s: float = 0.0
    ) -> bool:
        """Return whether another attempt is allowed, and charge it to the shared limit.

        Parameters
        ----------
        extra_attempts : int, optional
            Number of attempts that are allowed beyond those of the route.
        max_wait_s : float, optional
            How long to wait until the shared limit allows it, in seconds.

        Notes
        -----
        The limit on repeats is shared by all requests of the pool. The first attempt
        is not charged.
        """
        timers = self.parts.timers
        until = timers.now() + max_wait_s
        while self.has_attempts_left(extra_attempts):
            if self.take_repeat():
                return True
            if timers.now() >= until:
                return False
            timers.sleep(REPEAT_POLL_S)
        return False

    def has_attempts_left(self, extra_attempts: int = 0) -> bool:
        """Return whether time, route, and what is known of crashes allow an attempt."""
        if self.is_replica_time_over():
            return False
        max_attempts = self.rule.max_attempts + extra_attempts
        return self.attempts.sent < max_attempts and not self.is_blamed()

    def take_repeat(self) -> bool:
        """Charge another attempt to the shared limit; return whether that allows it."""
        return self.attempts.delivered == 0 or self.parts.retries.take(self.pool_name)

    def refuse(self, error: RefusedError) -> None:
        """Send the caller a refusal as the final answer."""
        log.write(
            "Refused.",
            request=self.req.request_id,
            route=self.rule.name,
            status=error.status,
            code=error.code,
            reason=error.message,
            sent=self.attempts.sent,
            retry_after_s=error.retry_after_s,
            **self.parts.table_ages.log_fields(),
            age_s=round(self.parts.timers.now() - self.req.arrived, 3),
        )
        respond_refusal(self.parts, self.req.request_id, error, self.channel)
        self.parts.metrics.requests.labels(self.rule.kind.value, error.code).inc()

    def note_served(self) -> float:
        """Record that the request was served; return the time it took, in seconds."""
        took_s = self._count_end("served")
        if not self.req.resume_after:
            # What it waited for a place isn't a part of it.
            served_s = self.parts.timers.now() - self.attempts.first_start
            self.parts.durations.note(self.pool_name, served_s)
        return took_s

    def note_failed(self) -> float:
        """Record that a replica's failure was passed on; return the time it took."""
        return self._count_end("failed")

    def note_caller_left(self) -> None:
        """Record that the caller disconnected before its answer was complete."""
        log.write(
            "Caller left.",
            request=self.req.request_id,
            route=self.rule.name,
            sent=self.attempts.sent,
            age_s=round(self.parts.timers.now() - self.req.arrived, 3),
        )
        self._count_end("left")

    def is_own_loss(self, place: Place) -> bool:
        """Return whether this router can't reach a replica that others reach."""
        return self.parts.paths.is_own_loss(place.state.replica.address)

    def note_miss(self, place: Place) -> None:
        """Record that a replica was not reached, or that its answer was lost.

        Notes
        -----
        What this router loses with its own path says nothing about the replica, but the
        replica may have ended since the path was checked.
        """
        if self.is_own_loss(place):
            self.parts.paths.check_again(place.state.replica.address)
            return
        if not place.state.is_leaving:
            self.places.lost_domains.add(place.state.replica.failure_domain)
        self.parts.registry.note_miss(place.state)

    def note_attempt_failed(self, place: Place, error: Exception | str) -> None:
        """Log an attempt that failed."""
        if isinstance(error, UpstreamAnswerTooLargeError | EventExcessError):
            self.parts.metrics.oversized_answers.labels(self.rule.kind.value).inc()
        if isinstance(error, EventOrderError):
            self.note_order_broken(OrderCheck.READ)
        log.write(
            "Attempt failed.",
            request=self.req.request_id,
            replica=place.state.replica.replica,
            domain=place.state.replica.failure_domain,
            error=str(error),
            organisation=self.organisation,
            shared_parts=list(self.req.shared_parts[:MAX_LOGGED_PARTS]),
            has_output=place.has_output,
            sent=self.attempts.sent,
            after_s=round(self.parts.timers.now() - place.since, 3),
        )

    def note_order_broken(self, check: OrderCheck) -> None:
        """Count a stream in which an event is missing or repeated."""
        self.parts.metrics.order_breaks.labels(check.value).inc()

    def _needed_s(self) -> float:
        """Return how long the objective takes at a replica, as expected, in seconds."""
        if self.rule.kind is CallKind.STREAM:
            return self.parts.pace.read_s(self.pool_name, self.req.prompt_tokens)
        return self.parts.admission.mean_service_s(self.pool_name)

    def _final_answer_s(self) -> float:
        """Return how long after its arrival the request is given up, in seconds."""
        return self.deadlines.final_answer - self.req.arrived

    def _count_end(self, outcome: str) -> float:
        self.parts.metrics.requests.labels(self.rule.kind.value, outcome).inc()
        return self.parts.timers.now() - self.req.arrived


def make_relay_job(
    parts: RelayComponents,
    req: RelayRequest,
    match: RouteMatch,
    channel: CallerChannel,
) -> RelayJob:
    """Return the job of a request that matches a route."""
    return RelayJob(
        parts,
        req,
        match.rule,
        match.pool,
        match.organisation,
        match.priority,
        channel,
        rank=match.rank,
    )
