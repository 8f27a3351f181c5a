"""One request on its way: what is known of it, and what its attempts share."""

import random
from collections.abc import Callable

import msgspec
from result import Result

from boragedeck.connection.caller_edge import CallerChannel
from boragedeck.connection.exchange import Headers
from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.exceptions import RefusedError, UpstreamExcessError
from boragedeck.ids import (
    FailureDomain,
    OrganisationName,
    PoolName,
    UpstreamName,
)
from boragedeck.interfaces import Outcome, Sample
from boragedeck.process.logs import PartLog
from boragedeck.process.relaying.admission import Admission, AdmissionRequest, Place
from boragedeck.process.relaying.crash_blame import CrashBlame, fingerprint_of
from boragedeck.process.relaying.durations import RequestDurations
from boragedeck.process.relaying.registry import ReplicaRegistry
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replica_notices import ReplicaNotices
from boragedeck.process.relaying.retry_share import RetryShare
from boragedeck.process.relaying.rollouts import RelayRollouts
from boragedeck.process.relaying.stream_pace import StreamTimeEstimator
from boragedeck.process.timers import TimerService
from boragedeck.request.events import EventExcessError
from boragedeck.request.relay_request import (
    RelayRequest,
    ReplicaProtocol,
)
from boragedeck.version.replicas import ReplicaId
from boragedeck.version.routing import RelayPool, RouteRule, RoutingTable

__all__ = ["RelayJob", "RelayParts", "log", "respond_refusal"]

FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.25
"""Between attempts where every replica has been tried."""
ANSWER_MARGIN_SHARE = 0.05
MAX_ANSWER_MARGIN_S = 0.05
"""So long before its caller gives up a request gets its final answer."""
WAIT_SHARE = 0.4
"""Of a caller's time, what a request that has not run may wait: when it is refused
then, the caller can still come back and be served."""

log = PartLog("relay")


class RelayParts(msgspec.Struct, frozen=True):
    """What relaying needs of the process.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    rng : random.Random
        The source of chance.
    table : callable
        Returns the routing table in force.
    admission : Admission
        Gives out places.
    registry : ReplicaRegistry
        The replicas.
    upstreams : UpstreamPool
        Connections to them.
    notices : ReplicaNotices
        Takes what replicas say of themselves.
    protocol : ReplicaProtocol
        How requests and answers are written.
    retries : RetryShare
        Bounds repeats.
    rollouts : RelayRollouts
        Decides which versions serve a request, and learns how they did.
    durations : RequestDurations
        Knows how long requests take.
    pace : StreamTimeEstimator
        Knows how long streams take.
    blame : CrashBlame
        Knows requests that crash their replicas.
    metrics : RelayMetrics
        Where figures go.
    time_left : callable
        Returns how long this process still serves, in seconds.
    refusal_headers : callable
        Returns the headers of an answer that the router gives itself, from the
        request's id and when the caller may come back.
    """

    timers: TimerService
    rng: random.Random
    table: Callable[[], RoutingTable]
    admission: Admission
    registry: ReplicaRegistry
    upstreams: UpstreamPool
    notices: ReplicaNotices
    protocol: ReplicaProtocol
    retries: RetryShare
    rollouts: RelayRollouts
    durations: RequestDurations
    pace: StreamTimeEstimator
    blame: CrashBlame
    metrics: RelayMetrics
    time_left: Callable[[], float]
    refusal_headers: Callable[[str | None, float | None], Headers]


class RelayJob:
    """A request whose route is known.

    Parameters
    ----------
    parts : RelayParts
        What it needs of the process.
    req : RelayRequest
        The request.
    rule : RouteRule
        Its route.
    pool : RelayPool
        Where it goes.
    organisation : OrganisationName or None
        The caller's organisation.
    priority : int
        0 goes first.
    channel : CallerChannel
        The response.
    """

    def __init__(
        self,
        parts: RelayParts,
        req: RelayRequest,
        rule: RouteRule,
        pool: RelayPool,
        organisation: OrganisationName | None,
        priority: int,
        channel: CallerChannel,
    ):
        self.parts = parts
        self.req = req
        self.rule = rule
        self.pool = pool
        self.organisation = organisation
        self.priority = priority
        self.channel = channel
        patience_s = _patience_s(req, rule)
        self.deadline = req.arrived + patience_s
        self._wait_until = req.arrived + WAIT_SHARE * patience_s
        self.fingerprint = fingerprint_of(organisation, req.path, req.body)
        self.allows = parts.rollouts.replica_filter(pool.name)
        self.tried: set[ReplicaId] = set()
        self._lost_domains: set[FailureDomain] = set()
        self.sent = 0
        self.arrivals = 0
        self._pause_s = FIRST_PAUSE_S
        self.may_have_run = False

    @property
    def pool_name(self) -> PoolName:
        """The pool's name."""
        return self.pool.name

    def left_s(self) -> float:
        """Return the time until the final answer is due, in seconds."""
        return self.deadline - self.parts.timers.now()

    def is_blamed(self) -> bool:
        """Whether the request has crashed too many replicas to be sent again."""
        return self.parts.blame.is_blamed(self.fingerprint)

    def note_sent(self) -> None:
        """Count an attempt that a replica may have seen."""
        self.sent += 1
        self.arrivals += 1

    def may_send_again(self) -> bool:
        """Whether a further attempt is allowed; counts against the shared bound."""
        if self.sent >= self.rule.max_attempts or self.is_blamed():
            return False
        return self.arrivals == 0 or self.parts.retries.take(self.pool_name)

    def acquire(self, until: float) -> Result[Place, RefusedError]:
        """Wait for a place at a replica that was not tried yet."""
        if self.tried and not self._has_untried():
            self.tried.clear()
            if until > self.parts.timers.now():
                self._pause()
        return self.parts.admission.acquire(self.ask(until))

    def return_s(self) -> float:
        """Return in how long a replica takes requests again, where all asked to wait.

        See `Admission.hold_remaining_s`.
        """
        return self.parts.admission.hold_remaining_s(self.ask(self.deadline))

    def ask(self, until: float) -> AdmissionRequest:
        """Return the request for a place."""
        return AdmissionRequest(
            pool=self.pool,
            priority=self.priority,
            prompt_tokens=self.req.prompt_tokens,
            tokens=self.req.tokens,
            until=min(until, self.deadline if self.may_have_run else self._wait_until),
            tried=frozenset(self.tried),
            lost_domains=frozenset(self._lost_domains),
            allows=self.allows,
        )

    def refuse(self, error: RefusedError) -> None:
        """Give the caller a final answer of the router's own."""
        log.write(
            "Refused.",
            request=self.req.request_id,
            route=self.rule.name,
            status=error.status,
            code=error.code,
            reason=error.message,
            sent=self.sent,
            retry_after_s=error.retry_after_s,
            age_s=round(self.parts.timers.now() - self.req.arrived, 3),
        )
        respond_refusal(self.parts, self.req.request_id, error, self.channel)
        self.parts.metrics.requests.labels(self.rule.kind.value, error.code).inc()

    def note_served(self) -> float:
        """Note that the request was served; returns how long it took, in seconds."""
        took_s = self._note_end("served")
        if not self.req.resume_after:
            self.parts.durations.note(self.pool_name, took_s)
        return took_s

    def note_failed(self) -> float:
        """Note that the caller got a replica's failure; returns how long it took."""
        return self._note_end("failed")

    def note_left(self) -> None:
        """Note that the caller left before its answer was complete."""
        log.write(
            "Caller left.",
            request=self.req.request_id,
            route=self.rule.name,
            sent=self.sent,
            age_s=round(self.parts.timers.now() - self.req.arrived, 3),
        )
        self._note_end("left")

    def note_outcome(
        self, place: Place, outcome: Outcome | None, first_output_s: float | None = None
    ) -> None:
        """Take how an attempt ended, for the judgement of its version.

        Parameters
        ----------
        place : Place
            Where it was.
        outcome : Outcome or None
            How it ended; None while it goes on.
        first_output_s : float or None
            From its start to its first output, or to its whole answer.
        """
        replica = place.state.replica
        # Versions are compared within a domain and a route: one route may be bad.
        stratum = FailureDomain(f"{replica.failure_domain} {self.rule.name}")
        sample = Sample(
            route=self.rule.name,
            version=replica.version,
            upstream=UpstreamName(replica.replica),
            failure_domain=stratum,
            outcome=outcome,
            first_token_s=first_output_s,
            gap_s=None,
            tokens=0,
            age_s=self.parts.timers.now() - place.since,
        )
        self.parts.rollouts.note(replica, sample)

    def note_miss(self, place: Place) -> None:
        """Note that an attempt did not reach its replica, or lost it."""
        if not place.state.is_leaving:
            self._lost_domains.add(place.state.replica.failure_domain)
        self.parts.registry.note_miss(place.state)

    def note_attempt_failed(self, place: Place, error: Exception | str) -> None:
        """Log an attempt that brought no answer."""
        if isinstance(error, UpstreamExcessError | EventExcessError):
            self.parts.metrics.excess.labels(self.rule.kind.value).inc()
        log.write(
            "Attempt failed.",
            request=self.req.request_id,
            replica=place.state.replica.replica,
            domain=place.state.replica.failure_domain,
            error=str(error),
            sent=self.sent,
            after_s=round(self.parts.timers.now() - place.since, 3),
        )

    def _note_end(self, outcome: str) -> float:
        self.parts.metrics.requests.labels(self.rule.kind.value, outcome).inc()
        return self.parts.timers.now() - self.req.arrived

    def _pause(self) -> None:
        """Wait for replicas that failed, which are all there are."""
        wait_s = self._pause_s * self.parts.rng.uniform(0.5, 1.0)
        self._pause_s = min(MAX_PAUSE_S, 2.0 * self._pause_s)
        self.parts.timers.sleep(max(0.0, min(wait_s, self.left_s())))

    def _has_untried(self) -> bool:
        now = self.parts.timers.now()
        return any(
            state.replica.replica not in self.tried
            and self.allows(state.replica)
            and state.restraints.may_send(now)
            for state in self.parts.registry.of_pool(self.pool_name)
        )


def _patience_s(req: RelayRequest, rule: RouteRule) -> float:
    if req.patience_s is None:
        return rule.timeout_s
    margin_s = min(MAX_ANSWER_MARGIN_S, ANSWER_MARGIN_SHARE * req.patience_s)
    return min(rule.timeout_s, req.patience_s - margin_s)


def respond_refusal(
    parts: RelayParts,
    request_id: str | None,
    error: RefusedError,
    channel: CallerChannel,
) -> None:
    """Send an answer of the router's own."""
    headers = parts.refusal_headers(request_id, error.retry_after_s)
    channel.respond(error.status, headers, error.message.encode())
