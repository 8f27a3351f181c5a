"""Sends one attempt of a relayed request to a replica and reads the answer's head."""

import eventlet
import msgspec

from boragedeck.connection.caller_ends import CallerDisconnectedError
from boragedeck.connection.exchange import Exchange
from boragedeck.connection.http_message import AnswerHead
from boragedeck.connection.sent_requests import AnswerMatch
from boragedeck.exceptions import (
    AttemptDefectError,
    ForwardDeclinedError,
    UpstreamConnectTimeoutError,
    UpstreamError,
    UpstreamNotAcceptingError,
    UpstreamRefusedError,
    UpstreamSilentError,
)
from boragedeck.process.relaying.placing.place import Place
from boragedeck.request.answer_heads import AnswerWait, read_own_head
from boragedeck.request.relay_components import RelayComponents
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_request import AttemptPlan, Verdict, VerdictKind

__all__ = ["PendingAnswer", "start_attempt", "probe"]

CONNECT_TIMEOUT_S = 0.3
MAX_PROBE_BYTES = 256 * 1024


class PendingAnswer(msgspec.Struct, frozen=True):
    """An answer whose head has been read and whose body has not.

    Parameters
    ----------
    exchange : Exchange
        The exchange, with the body still to be read.
    head : AnswerHead
        The head of the answer.
    verdict : Verdict
        The classification of the answer.
    """

    exchange: Exchange
    head: AnswerHead
    verdict: Verdict


def start_attempt(
    job: RelayJob,
    place: Place,
    plan: AttemptPlan,
    wait: AnswerWait,
) -> PendingAnswer:
    """Send the request to a replica and wait for the head of its answer.

    Parameters
    ----------
    job : RelayJob
        The request.
    place : Place
        The place at the replica to which the request is sent.
    plan : AttemptPlan
        The parts of the message that are specific to this attempt.
    wait : callable
        Waits for what is read until the head of the answer has arrived.

    Raises
    ------
    UpstreamRefusedError, UpstreamNotAcceptingError
        If nothing was sent.
    UpstreamError
        If the replica may have run the request.
    AttemptDefectError
        If an unexpected exception ended the attempt, which counts all the same.
    """
    job.places.tried.add(plan.replica.replica)
    count = _AttemptCount(job)
    try:
        return _start_attempt(job, place, plan, wait, count)
    except (UpstreamError, CallerDisconnectedError):
        raise
    except Exception as exc:
        count.note_defect()
        raise AttemptDefectError(
            f"unexpected {exc!r}", step="attempt", peer=str(plan.replica.address)
        ) from exc


class _AttemptCount:
    """Counts one attempt, once it may have been sent or has ended by a defect."""

    def __init__(self, job: RelayJob):
        self._job = job
        self._is_counted = False
        # Whether a byte may have been sent.
        self.may_be_sent = False

    def note_sent(self) -> None:
        self._is_counted = True
        self._job.attempts.note_sent()

    def note_defect(self) -> None:
        if not self._is_counted:
            self.note_sent()
            if not self.may_be_sent:
                self._job.attempts.note_not_run()


def _start_attempt(
    job: RelayJob,
    place: Place,
    plan: AttemptPlan,
    wait: AnswerWait,
    count: _AttemptCount,
) -> PendingAnswer:
    parts = job.parts
    replica = plan.replica
    message = parts.protocol.message(job.req, plan)

    def check() -> None:
        _check_accepts_requests(job, place)
        # The connection is open, and the request is sent next.
        count.may_be_sent = True

    try:
        exchange = parts.paths.send(
            replica.address,
            message,
            min(CONNECT_TIMEOUT_S, max(0.0, job.left_s())),
            max(0.0, job.left_s()),
            check,
        )
    except UpstreamNotAcceptingError:
        raise
    except UpstreamRefusedError as exc:
        _note_refused(parts, place, exc)
        raise
    except UpstreamError:
        count.note_sent()
        raise
    except BaseException:
        # A thread that is killed may have sent a part, too.
        if count.may_be_sent:
            count.note_sent()
        raise
    place.is_forwarded = exchange.is_forwarded
    count.note_sent()
    try:
        pending = _read_head(job, place, exchange, wait)
    except (ForwardDeclinedError, UpstreamRefusedError) as exc:
        # A gateway that was silent says only now that it has sent nothing.
        exchange.close()
        job.attempts.note_unsent()
        raise UpstreamRefusedError(
            exc.message, step="forward", peer=str(replica.address)
        ) from exc
    except UpstreamNotAcceptingError:
        exchange.close()
        job.attempts.note_unsent()
        raise
    except BaseException:
        exchange.close()
        raise
    try:
        _note_verdict(job, place, pending.verdict)
    except BaseException:
        exchange.close()
        raise
    return pending


def _note_verdict(job: RelayJob, place: Place, verdict: Verdict) -> None:
    """Count an attempt that hasn't run; find out who else has the address."""
    match verdict.kind:
        case VerdictKind.NOT_RUN:
            job.attempts.note_not_run()
        case VerdictKind.MOVED:
            # The intended replica never received the request.
            job.attempts.note_misdirected()
            _replace_replica_at_address(job, place, verdict)


def _note_refused(
    parts: RelayComponents, place: Place, exc: UpstreamRefusedError
) -> None:
    """Record that a replica is lost, unless it may only be silent."""
    if not isinstance(exc, UpstreamConnectTimeoutError):
        parts.crash_blame.note_lost(place.state)


def _check_accepts_requests(job: RelayJob, place: Place) -> None:
    """Raise an error if the replica has started to leave or asked to wait.

    Notes
    -----
    The replica's state may have changed since it was chosen.
    """
    state = place.state
    restraint = state.restraints.strongest(job.parts.timers.now())
    if restraint is not None and restraint.is_strict:
        raise UpstreamNotAcceptingError(
            f"the replica is {restraint.reason.value}",
            step="send",
            peer=str(state.replica.address),
        )


def _replace_replica_at_address(job: RelayJob, place: Place, verdict: Verdict) -> None:
    """Remove a replica whose address now belongs to another one.

    Notes
    -----
    The other replica takes its place if it serves the models of the same pool. An
    answer that names no other one is no proof that the replica is gone, so it gets no
    further requests and its running ones go on.
    """
    parts, replica = job.parts, place.state.replica
    if verdict.actual_replica in (None, replica.replica):
        parts.registry.remove(replica.replica, "misdirected")
        return
    if job.pool.engine is None:
        parts.registry.note_lost(place.state, "another at its address")
        return

    def fetch_models() -> frozenset[str] | None:
        body = probe(parts, place, CONNECT_TIMEOUT_S)
        return None if body is None else parts.protocol.models(body)

    parts.successors.note_moved(place.state, verdict.actual_replica, fetch_models)


def _read_head(
    job: RelayJob,
    place: Place,
    exchange: Exchange,
    wait: AnswerWait,
) -> PendingAnswer:
    parts = job.parts
    received = read_own_head(exchange, parts.protocol, parts.metrics, wait)
    verdict = parts.protocol.verdict(received.head, received.match)
    state, is_own = place.state, received.match is AnswerMatch.OWN
    if verdict.kind is VerdictKind.MOVED:
        # The answer came from another replica, so its notice concerns that one.
        state = parts.registry.get(verdict.actual_replica)
    elif is_own and verdict.kind is VerdictKind.SUCCESS:
        parts.registry.note_present(state)
    if state is not None:
        parts.notices.handle(state, received.notice, may_lift=is_own)
    return PendingAnswer(exchange, received.head, verdict)


def probe(parts: RelayComponents, place: Place, timeout_s: float) -> bytes | None:
    """Return the body of a replica's answer to a probe; None if there is no answer.

    Notes
    -----
    A probe takes no slot of the replica.
    """
    address = place.state.replica.address
    try:
        with eventlet.Timeout(timeout_s):
            exchange = parts.paths.send(
                address,
                parts.protocol.probe_message(),
                min(timeout_s, CONNECT_TIMEOUT_S),
                timeout_s,
            )
            try:
                received = read_own_head(
                    exchange,
                    parts.protocol,
                    parts.metrics,
                    lambda exchange, read: read(timeout_s),
                )
                parts.notices.handle(place.state, received.notice, may_lift=False)
                return exchange.read_all(timeout_s, MAX_PROBE_BYTES)
            finally:
                exchange.close()
    except UpstreamRefusedError as exc:
        _note_refused(parts, place, exc)
        return None
    except (UpstreamError, UpstreamSilentError, eventlet.Timeout):
        # No answer is a valid result of a probe.
        return None
