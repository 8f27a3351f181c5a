"""Matches a caller's request to its route and relays it."""

from boragedeck.connection.caller_channel import CallerChannel
from boragedeck.connection.caller_ends import CallerDisconnectedError
from boragedeck.exceptions import RefusedError, RouterStoppingError
from boragedeck.ids import OrganisationName
from boragedeck.request.open_relay import OpenRelay
from boragedeck.request.relay_call import CallRelay
from boragedeck.request.relay_components import RelayComponents, log, respond_refusal
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_refusals import crash_refusal, stopping_refusal
from boragedeck.request.relay_request import RelayRequest
from boragedeck.request.relay_stream import StreamRelay
from boragedeck.version.routing import (
    CallKind,
    RelayPool,
    RouteRule,
    RoutingTable,
    choose_backend,
)

__all__ = ["relay"]

NO_TABLE_RETRY_SHARE = 1 / 3
"""Longest Retry-After that a caller follows, as a share of its time-out. A caller may
retry only once, and a table that is missing at start takes seconds to arrive."""
NO_TABLE_JITTER_SHARE = 0.25
"""Retries are spread over this share of the wait."""
NO_TABLE_CALLER_TIMEOUT_S = 2.0
"""Assumed time-out of a caller that sent none."""


def relay(parts: RelayComponents, req: RelayRequest, channel: CallerChannel) -> None:
    """Answer one request.

    Parameters
    ----------
    parts : RelayComponents
        The components of the process that relaying uses.
    req : RelayRequest
        The request.
    channel : CallerChannel
        The channel on which the caller is answered.
    """
    table = parts.table()
    try:
        rule = _match_route(parts, table, req)
        organisation = _authenticate(table, rule, req)
    except RefusedError as exc:
        log.write(
            "Refused.",
            request=req.request_id,
            status=exc.status,
            code=exc.code,
            table=table.version,
            path=req.path,
            **parts.table_ages.log_fields(),
        )
        respond_refusal(parts, req.request_id, exc, channel)
        parts.metrics.requests.labels("none", exc.code).inc()
        return
    name = choose_backend(rule, parts.rng)
    pool = table.pools.get(name, RelayPool(name, 0))
    priority = table.priorities.get(organisation, rule.priority)
    parts.retries.note_request(name)
    job = RelayJob(
        parts,
        req,
        rule,
        pool,
        organisation,
        priority,
        channel,
        has_priorities=parts.priority_pools.has_priorities(table, name),
    )
    channel.deadline = job.deadlines.answer_end
    open_relay = OpenRelay(job)
    if parts.time_left() < open_relay.needed_s():
        job.refuse(stopping_refusal())
        return
    try:
        _run(job, open_relay)
    except CallerDisconnectedError:
        job.note_caller_left()
        raise


def _run(job: RelayJob, open_relay: OpenRelay) -> None:
    """Relay a request; answer it all the same if it is given up by a stop."""
    is_stream = job.rule.kind is CallKind.STREAM
    relaying = StreamRelay(job) if is_stream else CallRelay(job)
    try:
        # Nothing waits before this, so that a stop ends all waits.
        with job.parts.open_requests.track(open_relay):
            if _admit(job):
                relaying.run()
    except RouterStoppingError:
        # Its attempts have ended, so that it is known whether it may have run.
        job.is_given_up = True
        relaying.give_up()


def _admit(job: RelayJob) -> bool:
    """Return whether a request may be sent; refuse it if it crashes replicas."""
    job.is_trial = job.is_blamed()
    # This may ask another router for a trial.
    is_admitted = job.parts.crash_blame.admits(job.traits, job.req.request_id)
    if not is_admitted:
        job.refuse(crash_refusal(job))
    return is_admitted


def _match_route(
    parts: RelayComponents, table: RoutingTable, req: RelayRequest
) -> RouteRule:
    if not table.version:
        caller_timeout_s = req.caller_timeout_s or NO_TABLE_CALLER_TIMEOUT_S
        spread = parts.rng.uniform(1.0 - NO_TABLE_JITTER_SHARE, 1.0)
        raise RefusedError(
            "no routing table is known yet",
            status=503,
            kind="server_error",
            code="no_table",
            retry_after_s=NO_TABLE_RETRY_SHARE * caller_timeout_s * spread,
            step="route",
        )
    rule = table.match(req.host, req.path)
    if rule is None:
        raise RefusedError(
            "no route matches this host and path",
            status=404,
            kind="invalid_request_error",
            code="no_route",
            step="route",
        )
    return rule


def _authenticate(
    table: RoutingTable, rule: RouteRule, req: RelayRequest
) -> OrganisationName | None:
    if rule.is_public or not table.needs_keys:
        return None
    organisation = table.organisations.get(req.key or "")
    if organisation is None:
        raise RefusedError(
            "no organisation has this API key",
            status=401,
            kind="authentication_error",
            code="bad_key",
            step="route",
        )
    return organisation
