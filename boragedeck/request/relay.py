"""Matches a caller's request to its route and relays it."""

from boragedeck.connection.caller_channel import CallerChannel
from boragedeck.connection.caller_ends import CallerDisconnectedError
from boragedeck.exceptions import RefusedError, RouterStoppingError
from boragedeck.request.open_relay import OpenRelay
from boragedeck.request.relay_call import CallRelay
from boragedeck.request.relay_components import RelayComponents, log, respond_refusal
from boragedeck.request.relay_job import RelayJob, make_relay_job
from boragedeck.request.relay_refusals import crash_refusal, stopping_refusal
from boragedeck.request.relay_request import RelayRequest
from boragedeck.request.relay_stream import StreamRelay
from boragedeck.request.route_match import match_request
from boragedeck.version.routing import CallKind

__all__ = ["relay"]


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
        match = match_request(parts, table, req)
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
    parts.retries.note_request(match.pool.name)
    job = make_relay_job(parts, req, match, channel)
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
