"""Relays one call; the answer is read completely before it is sent to the caller."""

from collections.abc import Callable
from typing import TypeVar

import eventlet
import msgspec
from eventlet.queue import Empty, LightQueue

from boragedeck.connection.answer_room import AnswerRoom
from boragedeck.connection.exchange import Exchange
from boragedeck.connection.http_message import Headers
from boragedeck.exceptions import (
    AnswerRoomError,
    AnswerUnreadError,
    AttemptDefectError,
    RefusedError,
    UpstreamError,
    UpstreamNotAcceptingError,
    UpstreamRefusedError,
    UpstreamSilentError,
)
from boragedeck.interfaces import Outcome
from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.threads import end_thread, spawn_task
from boragedeck.request.answer_progress import AnswerProgress
from boragedeck.request.relay_attempt import PendingAnswer, start_attempt
from boragedeck.request.relay_components import log
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_refusals import final_refusal
from boragedeck.request.relay_request import AttemptPlan, VerdictKind
from boragedeck.request.silence_verdict import judge_late_answer

__all__ = ["CallRelay"]

T = TypeVar("T")

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Limit of the size of an answer's body; a longer answer counts as lost."""
HEDGE_DELAY_SHARE = 0.6
"""Share of the latency objective, counted from the arrival of the call, after which the
call is hedged: a second attempt starts at another replica, in parallel to the first."""


class CompleteAnswer(msgspec.Struct, frozen=True):
    """The complete answer of a replica.

    `is_success` says whether the answer's head was classified as
    `VerdictKind.SUCCESS`; see `ReplicaProtocol.verdict`.
    """

    status: int
    headers: Headers
    body: bytes
    is_success: bool


class NotTaken(msgspec.Struct, frozen=True):
    """The replica did not run the request or could not be reached."""

    reason: str


class AnswerLost(msgspec.Struct, frozen=True):
    """The replica may have run the request, but no valid answer was received."""

    reason: str


class AnswerDropped(msgspec.Struct, frozen=True):
    """The replica may have run the request, and there was no room for its answer."""

    reason: str


class Doubtful(msgspec.Struct, frozen=True):
    """The gateway is silent, so the replica may never receive the request."""


AttemptResult = CompleteAnswer | NotTaken | AnswerLost | AnswerDropped
AttemptMessage = AttemptResult | Doubtful


class AttemptReport(msgspec.Struct, frozen=True):
    """What an attempt reports: a doubt while it runs, or its result."""

    attempt: eventlet.greenthread.GreenThread
    message: AttemptMessage


class CallRelay:
    """Relays one call.

    Parameters
    ----------
    job : RelayJob
        The request.
    """

    def __init__(self, job: RelayJob):
        self._job = job
        self._reports: LightQueue[AttemptReport] = LightQueue()
        # An attempt counts as running until its result has been read.
        self._running_attempts: dict[eventlet.greenthread.GreenThread, Place] = {}
        self._failed_answer: CompleteAnswer | None = None
        self._failure_reason = "the replica did not answer"
        self._acquire_error: RefusedError | None = None

    def run(self) -> None:
        """Relay the call and answer the caller."""
        job = self._job
        try:
            acquired = job.places.acquire(job.deadline)
            if acquired.is_err():
                job.refuse(acquired.err())
                return
            self._start_attempt(acquired.ok())
            self._respond(self._wait_for_answer())
        finally:
            self._end_attempts()

    def give_up(self) -> None:
        """Answer the caller with what replicas have answered, or with a failure."""
        self._respond(self._unread_answer() or self._failed_answer)

    def _end_attempts(self) -> None:
        self._job.begin_clean_up()
        for attempt, place in list(self._running_attempts.items()):
            # A thread that is ended before it has started wouldn't release its place.
            # For the others, a second release has no effect.
            place.release()
            self._job.note_end(place)
            end_thread(attempt)

    def _unread_answer(self) -> CompleteAnswer | None:
        """Return a successful answer that hasn't been read; keep a failed one."""
        while not self._reports.empty():
            match self._reports.get().message:
                case CompleteAnswer(is_success=True) as answer:
                    return answer
                case CompleteAnswer() as answer:
                    self._failed_answer = answer
        return None

    def _wait_for_answer(self) -> CompleteAnswer | None:
        """Wait for a successful answer; start further attempts if that is allowed.

        Returns
        -------
        CompleteAnswer or None
            The first successful answer, or else the latest failed one; None if no
            replica has answered.
        """
        while self._running_attempts:
            match self._next_result():
                case CompleteAnswer(is_success=True) as answer:
                    return answer
                case CompleteAnswer() as answer:
                    self._failed_answer = answer
                    self._failure_reason = f"status {answer.status}"
                    self._start_further_attempt()
                case NotTaken(reason):
                    self._failure_reason = reason
                    self._start_further_attempt()
                case AnswerLost(reason):
                    self._failure_reason = reason
                    self._start_further_attempt()
                case AnswerDropped(reason):
                    # Another answer would lack room, too.
                    self._failure_reason = reason
                case Doubtful():
                    if len(self._running_attempts) == 1:
                        self._start_further_attempt()
                case None:
                    if self._job.left_s() <= 0.0:
                        return self._failed_answer
                    # The first attempt takes long, so the call is hedged.
                    self._start_further_attempt()
        return self._failed_answer

    def _next_result(self) -> AttemptMessage | None:
        """Return the next message; None if a hedge is due or no time is left."""
        wait_s = self._job.left_s()
        if self._is_hedge_pending():
            goal_s = self._job.rule.goal_s
            hedge_at = self._job.req.arrived + HEDGE_DELAY_SHARE * goal_s
            wait_s = min(wait_s, hedge_at - self._job.parts.timers.now())
        try:
            report = self._reports.get(timeout=max(0.0, wait_s))
        except Empty:
            return None
        if not isinstance(report.message, Doubtful):
            self._running_attempts.pop(report.attempt, None)
        return report.message

    def _is_hedge_pending(self) -> bool:
        """Return whether a hedge is allowed and its time has not come yet."""
        job = self._job
        if (
            job.parts.timers.now()
            >= job.req.arrived + HEDGE_DELAY_SHARE * job.rule.goal_s
        ):
            return False
        is_only_attempt = len(self._running_attempts) == 1 and job.attempts.sent <= 1
        return is_only_attempt and job.rule.may_repeat and job.rule.max_attempts > 1

    def _start_further_attempt(self) -> None:
        job = self._job
        if job.may_have_run and not job.rule.may_repeat:
            return
        if job.left_s() <= 0.0 or not job.may_send_again():
            return
        # Don't wait for a place while another attempt is still running.
        until = job.parts.timers.now() if self._running_attempts else job.deadline
        acquired = job.places.acquire(until)
        if acquired.is_ok():
            self._start_attempt(acquired.ok())
        else:
            self._acquire_error = acquired.err()

    def _start_attempt(self, place: Place) -> None:
        log.write(
            "Sent.",
            request=self._job.req.request_id,
            route=self._job.rule.name,
            replica=place.state.replica.replica,
            version=place.state.replica.version,
            domain=place.state.replica.failure_domain,
            running=place.state.running,
            failure_share=round(place.state.failure_share, 3),
            attempt=self._job.attempts.sent + 1,
            **self._job.parts.table_ages.log_fields(),
        )
        self._job.note_start(place)
        attempt = spawn_task(self._run_and_report, place)
        self._running_attempts[attempt] = place

    def _run_and_report(self, place: Place) -> None:
        # This result remains if the thread is killed.
        result: AttemptResult = AnswerLost("stopped")
        try:
            result = self._run_attempt(place)
        finally:
            has_answer = isinstance(result, CompleteAnswer)
            place.release(has_answer)
            self._job.note_end(place)
            self._report(result)

    def _report(self, message: AttemptMessage) -> None:
        """Report from the current attempt's thread."""
        self._reports.put(AttemptReport(eventlet.getcurrent(), message))

    def _run_attempt(self, place: Place) -> AttemptResult:
        job, state = self._job, place.state
        plan = AttemptPlan(
            replica=state.replica,
            organisation=job.organisation,
            left_s=job.left_s(),
            priority=job.rank,
        )
        progress = AnswerProgress(job.parts.crash_blame, job.traits)
        try:
            pending = start_attempt(job, place, plan, self._wait)
            try:
                return self._read_answer(place, pending, progress)
            finally:
                pending.exchange.close()
        except UpstreamNotAcceptingError as exc:
            # The replica began to leave or asked to wait after it had been chosen.
            job.note_attempt_failed(place, exc)
            return NotTaken(exc.message)
        except UpstreamRefusedError as exc:
            # The replica could not be reached, so nothing was sent.
            self._note_lost_attempt(place, exc, "not_reached")
            return NotTaken(exc.message)
        except AnswerRoomError as exc:
            # What this router lacks says nothing about the replica.
            job.note_attempt_failed(place, exc)
            return AnswerDropped(exc.message)
        except (AnswerUnreadError, AttemptDefectError) as exc:
            job.note_attempt_failed(place, exc)
            return AnswerLost(exc.message)
        except UpstreamError as exc:
            is_own_loss = job.is_own_loss(place)
            # A replica that ends a call in time isn't lost.
            is_silent = isinstance(exc, UpstreamSilentError) or job.is_call_time_over()
            if is_silent and not is_own_loss:
                judge_late_answer(job, place)
            elif not is_own_loss:
                job.evidence.note_outcome(place, Outcome.FAILED)
            if place.is_forwarded or not is_own_loss:
                progress.note_broken(state, is_silent=is_silent)
            self._note_lost_attempt(place, exc, "lost")
            return AnswerLost(exc.message)

    def _wait(self, exchange: Exchange, read: Callable[[float], T]) -> T:
        """Wait for a read; check the path to the replica if it takes long."""
        job, since = self._job, self._job.parts.timers.now()
        if exchange.is_doubtful:
            self._report(Doubtful())
        try:
            return read(max(0.0, min(job.rule.goal_s, job.left_s())))
        except UpstreamSilentError:
            if job.left_s() <= 0.0:
                raise
        job.parts.paths.note_silent(exchange, since)
        return read(max(0.0, job.left_s()))

    def _read_answer(
        self, place: Place, pending: PendingAnswer, progress: AnswerProgress
    ) -> AttemptResult:
        job, state, verdict = self._job, place.state, pending.verdict
        if verdict.kind is VerdictKind.SUCCESS:
            progress.note_head()
        body = self._read_body(pending)
        kind = job.rule.kind.value
        job.parts.metrics.attempts.labels(kind, verdict.kind.value).inc()
        match verdict.kind:
            case VerdictKind.MOVED:
                # The other replica did not run the request.
                return NotTaken("another replica has the address")
            case VerdictKind.NOT_RUN:
                place.is_rejected = True
                job.note_attempt_failed(place, f"not run, status {pending.head.status}")
                return NotTaken("the replica did not run the request")
            case VerdictKind.INVALID:
                state.note_answer(False, job.parts.timers.now())
                job.evidence.note_outcome(place, Outcome.FAILED)
                job.note_attempt_failed(place, "invalid answer")
                return AnswerLost("invalid answer")
        is_success = verdict.kind is VerdictKind.SUCCESS
        state.note_answer(is_success, job.parts.timers.now())
        progress.note_complete(job.parts.timers.now())
        if is_success:
            took_s = job.parts.timers.now() - place.since
            job.evidence.note_outcome(place, Outcome.COMPLETED, took_s)
        else:
            job.evidence.note_outcome(place, Outcome.FAILED)
            job.note_attempt_failed(place, f"status {pending.head.status}")
        return CompleteAnswer(pending.head.status, verdict.headers, body, is_success)

    def _read_body(self, pending: PendingAnswer) -> bytes:
        """Read the body of an answer, whose bytes stay reserved if it is kept.

        Raises
        ------
        AnswerRoomError
            If there is no room for it.
        AnswerUnreadError
            If the answer was lost after the replica wasn't read for a while.
        """
        job = self._job
        left_s = job.left_s()
        room = AnswerRoom(job.channel.reservation, left_s)
        is_kept = False
        try:
            body = pending.exchange.read_all(left_s, MAX_ANSWER_BYTES, room)
            is_kept = pending.verdict.kind in (VerdictKind.SUCCESS, VerdictKind.FAILED)
            return body
        except AnswerRoomError:
            raise
        except UpstreamError as exc:
            if room.has_waited:
                raise AnswerUnreadError(exc.message, step="read body") from exc
            raise
        finally:
            if not is_kept:
                room.release()

    def _note_lost_attempt(
        self, place: Place, exc: UpstreamError, outcome: str
    ) -> None:
        job = self._job
        job.note_miss(place)
        job.parts.metrics.attempts.labels(job.rule.kind.value, outcome).inc()
        job.note_attempt_failed(place, exc)

    def _respond(self, answer: CompleteAnswer | None) -> None:
        job = self._job
        if answer is None:
            job.refuse(final_refusal(job, self._failure_reason, self._acquire_error))
            return
        job.channel.respond(answer.status, answer.headers, answer.body)
        took_s = job.note_served() if answer.is_success else job.note_failed()
        kind = job.rule.kind.value
        job.parts.metrics.total_s.labels(kind).observe(took_s)
        log.write(
            "Answered.",
            request=job.req.request_id,
            route=job.rule.name,
            status=answer.status,
            sent=job.attempts.sent,
            took_s=round(took_s, 3),
        )
