"""One attempt of a relayed request at a replica, up to the head of its answer."""

from collections.abc import Callable
from functools import partial

import eventlet
import msgspec

from boragedeck.connection.exchange import AnswerHead, Exchange
from boragedeck.exceptions import (
    UpstreamError,
    UpstreamRefusedError,
    UpstreamSilentError,
    UpstreamUnwillingError,
)
from boragedeck.process.relaying.admission import Place
from boragedeck.request.relay_job import RelayJob, RelayParts, log
from boragedeck.request.relay_request import AttemptPlan, Verdict, VerdictKind

__all__ = ["Opened", "open_attempt", "probe"]

CONNECT_TIMEOUT_S = 0.3
SEND_TIMEOUT_S = 2.0
SKIP_TIMEOUT_S = 0.3
"""How long an answer that belongs to an earlier request is read."""
MAX_PROBE_BYTES = 256 * 1024


class Opened(msgspec.Struct, frozen=True):
    """An attempt whose answer has begun.

    Parameters
    ----------
    exchange : Exchange
        The exchange, its body not read.
    head : AnswerHead
        The head of the answer.
    verdict : Verdict
        What it means.
    """

    exchange: Exchange
    head: AnswerHead
    verdict: Verdict


def open_attempt(
    job: RelayJob,
    place: Place,
    plan: AttemptPlan,
    wait_head: Callable[[Exchange], AnswerHead],
) -> Opened:
    """Send the request to a replica and wait for the head of its answer.

    Parameters
    ----------
    job : RelayJob
        The request.
    place : Place
        Where it goes.
    plan : AttemptPlan
        What the attempt adds.
    wait_head : callable
        Waits for the head of the exchange that it is given.

    Raises
    ------
    UpstreamRefusedError, UpstreamUnwillingError
        Where nothing was sent.
    UpstreamError
        Where the replica may have run the request.
    """
    parts = job.parts
    replica = plan.replica
    message = parts.protocol.message(job.req, plan)
    job.tried.add(replica.replica)
    try:
        exchange = parts.upstreams.send(
            replica.address,
            message,
            min(CONNECT_TIMEOUT_S, max(0.0, job.left_s())),
            SEND_TIMEOUT_S,
            partial(_check_willing, job, place),
        )
    except UpstreamUnwillingError:
        raise
    except UpstreamRefusedError:
        parts.blame.note_lost(place.state)
        raise
    except UpstreamError:
        job.note_sent()
        job.may_have_run = True
        raise
    job.note_sent()
    ran_before, job.may_have_run = job.may_have_run, True
    try:
        opened = _read_head(job, place, exchange, wait_head)
    except BaseException:
        exchange.close()
        raise
    match opened.verdict.kind:
        case VerdictKind.NOT_RUN:
            job.may_have_run = ran_before
        case VerdictKind.MOVED:
            # It never was at the replica that it was sent to.
            job.may_have_run = ran_before
            job.sent -= 1
            _replace_moved(job, place, opened.verdict)
    return opened


def _check_willing(job: RelayJob, place: Place) -> None:
    """Keep a request back whose replica left or asked to wait since it was chosen."""
    state = place.state
    restraint = state.restraints.strongest(job.parts.timers.now())
    if restraint is not None and restraint.is_strict:
        raise UpstreamUnwillingError(
            f"the replica is {restraint.reason.value}",
            step="send",
            peer=str(state.replica.address),
        )


def _replace_moved(job: RelayJob, place: Place, verdict: Verdict) -> None:
    """Forget a replica whose address another one has, or take that one instead."""
    parts, replica = job.parts, place.state.replica
    if verdict.found is not None and job.pool.engine is not None:
        body = probe(parts, place, CONNECT_TIMEOUT_S)
        models = frozenset() if body is None else parts.protocol.models(body)
        if parts.table().pool_of_models(models) == replica.pool:
            parts.registry.add_successor(replica.replica, verdict.found)
            return
    parts.registry.remove_lost(replica.replica, "another at its address")


def _read_head(
    job: RelayJob,
    place: Place,
    exchange: Exchange,
    wait_head: Callable[[Exchange], AnswerHead],
) -> Opened:
    parts = job.parts
    while True:
        head = wait_head(exchange)
        verdict = parts.protocol.judge(job.req, head)
        state = place.state
        if verdict.kind is VerdictKind.MOVED:
            # Another replica answered.
            state = parts.registry.get(verdict.found)
        if state is not None:
            parts.notices.handle(state, parts.protocol.notice(head))
        if verdict.kind is not VerdictKind.STRAY:
            return Opened(exchange, head, verdict)
        log.write("Skipped a stray answer.", request=job.req.request_id)
        exchange.skip(min(SKIP_TIMEOUT_S, job.left_s()))


def probe(parts: RelayParts, place: Place, timeout_s: float) -> bytes | None:
    """Return what a replica answers to a question that needs no slot."""
    address = place.state.replica.address
    try:
        with eventlet.Timeout(timeout_s):
            exchange = parts.upstreams.send(
                address, parts.protocol.probe(), timeout_s, timeout_s
            )
            try:
                head = exchange.head(timeout_s)
                parts.notices.handle(place.state, parts.protocol.notice(head))
                return exchange.read_all(timeout_s, MAX_PROBE_BYTES)
            finally:
                exchange.close()
    except (UpstreamError, UpstreamSilentError, eventlet.Timeout):
        # Silence is the answer that the caller of this function asks for.
        return None
