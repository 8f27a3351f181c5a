"""Relays one stream, and resumes it at another replica if its replica is lost."""

import enum
from functools import partial

import msgspec

from boragedeck.connection.exchange import AnswerHead, Exchange, Headers
from boragedeck.exceptions import (
    UpstreamError,
    UpstreamNotAcceptingError,
    UpstreamRefusedError,
    UpstreamSilentError,
    UpstreamWithdrawnError,
)
from boragedeck.interfaces import Outcome
from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.request.answer_progress import AnswerProgress
from boragedeck.request.crash_wait import await_crash_verdict, wait_unless_blamed
from boragedeck.request.events import EventError, EventExcessError, EventSplitter
from boragedeck.request.gap_sampler import GapSampler
from boragedeck.request.relay_attempt import PendingAnswer, start_attempt
from boragedeck.request.relay_components import log
from boragedeck.request.relay_job import MAX_LOGGED_PARTS, RelayJob
from boragedeck.request.relay_refusals import final_refusal, too_late_refusal
from boragedeck.request.relay_request import AttemptPlan, CopySource, VerdictKind
from boragedeck.request.stream_delivery import StreamDelivery
from boragedeck.request.stream_liveness import (
    ExchangeInterrupter,
    StreamLivenessMonitor,
)
from boragedeck.request.stream_recovery import StreamRecovery

__all__ = ["StreamRelay"]

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Limit of the size of a failed answer's body; a longer answer counts as lost."""
MIN_EVENT_TIMEOUT_S = 0.5
"""Lower limit of the time within which arriving bytes have to complete an event."""


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    COMPLETE = "complete"
    NOT_TAKEN = "not_taken"
    """The request did not run."""
    LOST = "lost"
    """The stream broke off, or the request may have run without an answer."""


class _FailedAnswer(msgspec.Struct, frozen=True):
    """A replica's failure answer; sent to the caller if no attempt succeeds."""

    status: int
    headers: Headers
    body: bytes


class StreamRelay:
    """Relays one stream.

    Parameters
    ----------
    job : RelayJob
        The request.
    """

    def __init__(self, job: RelayJob):
        self._job = job
        self._liveness = StreamLivenessMonitor(job)
        self._splitter = EventSplitter(job.req.resume_after)
        self._delivery = StreamDelivery(job)
        self._recovery = StreamRecovery(job)
        self._progress = AnswerProgress(job.parts.crash_blame, job.traits)
        self._failed_answer: _FailedAnswer | None = None
        self._failure_reason = ""

    def run(self) -> None:
        """Relay the stream, or answer the caller with a failure."""
        job = self._job
        min_duration_s = self._min_duration_s()
        if min_duration_s > job.left_s():
            job.refuse(too_late_refusal(min_duration_s, job.left_s()))
            return
        while True:
            place = self._acquire_place()
            if place is None:
                return
            outcome = AttemptOutcome.LOST
            self._progress = AnswerProgress(job.parts.crash_blame, job.traits)
            job.evidence.note_start(place)
            try:
                outcome = self._run_attempt(place)
            finally:
                place.release(outcome is AttemptOutcome.COMPLETE and job.sent == 1)
                job.evidence.note_end(place)
            if outcome is AttemptOutcome.COMPLETE:
                self._delivery.finish(self._splitter.last_number)
                return
            if outcome is AttemptOutcome.LOST and self._progress.is_at_begin:
                await_crash_verdict(job, place)
            may_resume = job.rule.may_repeat or not job.may_have_run
            if not (may_resume and job.left_s() > 0.0 and job.may_send_again()):
                self._give_up()
                return

    def _min_duration_s(self) -> float:
        """Return the minimum duration of the stream, in seconds."""
        job, req = self._job, self._job.req
        return job.parts.pace.min_duration_s(
            job.pool_name,
            req.prompt_tokens,
            req.expected_tokens,
            req.resume_after or 0,
        )

    def _acquire_place(self) -> Place | None:
        job = self._job
        place = self._recovery.place(self._splitter.last_number)
        if place is not None:
            return place
        acquired = job.acquire(job.deadline)
        if acquired.is_ok():
            return acquired.ok()
        if job.may_have_run or self._delivery.has_begun:
            self._failure_reason = acquired.err().message
            self._give_up()
        else:
            job.refuse(acquired.err())
        return None

    def _run_attempt(self, place: Place) -> AttemptOutcome:
        job = self._job
        source = None
        if self._recovery.resumes_from_copy:
            source = CopySource(place.state.replica.address)
        backup = self._choose_backup(place)
        if backup is not None:
            place.reserve_copy(backup)
        plan = AttemptPlan(
            replica=place.state.replica,
            organisation=job.organisation,
            left_s=job.left_s(),
            last_event=self._splitter.last_number,
            backup=None if backup is None else backup.replica,
            source=source,
        )
        return self._send_attempt(place, plan, backup)

    def _send_attempt(
        self, place: Place, plan: AttemptPlan, backup: ReplicaState | None
    ) -> AttemptOutcome:
        job = self._job
        log.write(
            "Sent.",
            request=job.req.request_id,
            route=job.rule.name,
            replica=plan.replica.replica,
            version=plan.replica.version,
            domain=plan.replica.failure_domain,
            running=place.state.running,
            tokens=place.state.tokens,
            position=plan.last_event,
            organisation=job.organisation,
            shared_parts=list(job.req.shared_parts[:MAX_LOGGED_PARTS]),
            from_copy=plan.source is not None,
            backup=None if plan.backup is None else plan.backup.replica,
            attempt=job.sent + 1,
            **job.parts.table_ages.log_fields(),
            age_s=round(job.parts.timers.now() - job.req.arrived, 3),
        )
        try:
            pending = start_attempt(
                job, place, plan, partial(self._wait_for_head, place)
            )
            interrupter = ExchangeInterrupter(pending.exchange, place.state)
            try:
                if pending.verdict.kind is VerdictKind.SUCCESS:
                    self._recovery.note_copy_holder(backup)
                return self._handle_answer(place, pending)
            finally:
                interrupter.cancel()
                pending.exchange.close()
        except UpstreamNotAcceptingError as exc:
            job.note_attempt_failed(place, exc)
            self._failure_reason = exc.message
            return AttemptOutcome.NOT_TAKEN
        except UpstreamRefusedError as exc:
            return self._note_loss(place, exc, AttemptOutcome.NOT_TAKEN)
        except UpstreamWithdrawnError as exc:
            job.note_attempt_failed(place, exc)
            self._failure_reason = exc.message
            return AttemptOutcome.LOST
        except (UpstreamError, EventError) as exc:
            if not isinstance(exc, UpstreamSilentError):
                self._recovery.note_broken(place.state)
            return self._note_loss(place, exc, AttemptOutcome.LOST)

    def _wait_for_head(self, place: Place, exchange: Exchange) -> AnswerHead:
        interrupter = ExchangeInterrupter(exchange, place.state)
        wait = partial(self._liveness.wait, place, exchange, exchange.head)
        try:
            return wait_unless_blamed(self._job, exchange, wait)
        finally:
            interrupter.cancel()

    def _handle_answer(self, place: Place, pending: PendingAnswer) -> AttemptOutcome:
        job, verdict = self._job, pending.verdict
        kind = job.rule.kind.value
        job.parts.metrics.attempts.labels(kind, verdict.kind.value).inc()
        match verdict.kind:
            case VerdictKind.SUCCESS:
                self._progress.note_head()
                self._delivery.note_head(pending.head.status, verdict.headers)
                return self._read_events(place, pending)
            case VerdictKind.MOVED:
                self._failure_reason = "another replica has the address"
                self._recovery.note_moved(place.state.replica.address)
                return AttemptOutcome.NOT_TAKEN
            case VerdictKind.NOT_RUN:
                place.is_rejected = True
                job.note_attempt_failed(place, f"not run, status {pending.head.status}")
                self._failure_reason = "the replica did not run the request"
                return AttemptOutcome.NOT_TAKEN
            case VerdictKind.FAILED:
                body = pending.exchange.read_all(job.left_s(), MAX_ANSWER_BYTES)
                self._failed_answer = _FailedAnswer(
                    pending.head.status, verdict.headers, body
                )
                self._failure_reason = f"status {pending.head.status}"
        place.state.note_answer(False, job.parts.timers.now())
        job.evidence.note_outcome(place, Outcome.FAILED)
        job.note_attempt_failed(place, f"{verdict.kind.value} {pending.head.status}")
        return AttemptOutcome.LOST

    def _read_events(self, place: Place, pending: PendingAnswer) -> AttemptOutcome:
        job = self._job
        may_end = pending.head.is_delimited
        splitter = EventSplitter(self._splitter.last_number)
        gaps = GapSampler()
        last_event_at = job.parts.timers.now()
        while True:
            exchange = pending.exchange
            data = self._liveness.wait(place, exchange, exchange.read)
            if not data:
                break
            events = splitter.feed(data)
            now = job.parts.timers.now()
            if not events and now - last_event_at > self._event_timeout_s():
                raise EventExcessError(
                    "no complete event in time, though bytes keep arriving"
                )
            if events:
                last_event_at = now
                may_end = True
                place.state.note_output(now)
                self._progress.note_output(now)
                self._note_output(place)
                gap_s = gaps.note(len(events), now)
                if gap_s is not None:
                    job.evidence.note_gap(place, gap_s)
                data = b"".join(event.data for event in events)
                self._delivery.write(data, self._splitter.last_number)
                self._splitter.last_number = splitter.last_number
        if splitter.has_partial_event:
            raise EventError("the stream ended in the middle of an event")
        if not may_end:
            raise EventError("the connection ended before the first event")
        place.state.note_answer(True, job.parts.timers.now())
        self._progress.note_complete(job.parts.timers.now())
        job.parts.metrics.total_s.labels(job.rule.kind.value).observe(
            job.parts.timers.now() - job.req.arrived
        )
        return AttemptOutcome.COMPLETE

    def _event_timeout_s(self) -> float:
        """Return how long bytes may arrive without completing an event, in seconds."""
        rule = self._job.rule
        return max(MIN_EVENT_TIMEOUT_S, rule.gap_goal_s or rule.goal_s)

    def _note_output(self, place: Place) -> None:
        if not place.has_output:
            took_s = self._job.parts.timers.now() - place.since
            log.write(
                "First output.",
                request=self._job.req.request_id,
                replica=place.state.replica.replica,
                after_s=round(took_s, 3),
            )
            self._job.evidence.note_outcome(place, None, took_s)
            if not self._recovery.resumes_from_copy:
                prompt_tokens = self._job.req.prompt_tokens
                self._job.parts.pace.note_prompt_read(
                    self._job.pool_name, prompt_tokens, took_s
                )
        place.note_first_output()

    def _choose_backup(self, place: Place) -> ReplicaState | None:
        engine = self._job.pool.engine
        if engine is None or not engine.can_back_up or not self._job.rule.may_repeat:
            return None
        admission_request = self._job.admission_request(self._job.deadline)
        return self._job.parts.admission.find_backup(place, admission_request)

    def _note_loss(
        self, place: Place, exc: Exception, outcome: AttemptOutcome
    ) -> AttemptOutcome:
        job = self._job
        if job.left_s() > 0.0:
            job.note_miss(place)
        job.parts.metrics.attempts.labels(job.rule.kind.value, outcome.value).inc()
        is_own_loss = job.is_own_loss(place)
        if outcome is AttemptOutcome.LOST and (place.is_forwarded or not is_own_loss):
            is_silent = isinstance(exc, UpstreamSilentError)
            self._progress.note_broken(place.state, is_silent=is_silent)
            if self._progress.is_at_begin:
                job.lost_at_begin += 1
        if outcome is AttemptOutcome.LOST and not is_own_loss:
            job.evidence.note_outcome(place, Outcome.FAILED)
        job.note_attempt_failed(place, exc)
        self._failure_reason = str(exc)
        self._delivery.note_lost()
        return outcome

    def _give_up(self) -> None:
        job = self._job
        if self._delivery.has_begun:
            log.write(
                "Broken off.",
                request=job.req.request_id,
                route=job.rule.name,
                position=self._splitter.last_number,
                sent=job.sent,
                reason=self._failure_reason,
                left_s=round(job.left_s(), 3),
            )
            job.parts.metrics.requests.labels(job.rule.kind.value, "broken").inc()
            return
        if self._failed_answer is not None:
            failed_answer = self._failed_answer
            job.channel.respond(
                failed_answer.status, failed_answer.headers, failed_answer.body
            )
            job.parts.metrics.requests.labels(job.rule.kind.value, "failed").inc()
            return
        job.refuse(final_refusal(job, self._failure_reason))
