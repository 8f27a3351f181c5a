"""One attempt of a stream: sends the request to one replica and reports its events."""

from collections.abc import Callable
from functools import partial
from typing import TypeVar

import eventlet
import msgspec

from boragedeck.connection.answer_room import AnswerRoom
from boragedeck.connection.exchange import Exchange
from boragedeck.connection.http_message import Headers
from boragedeck.exceptions import (
    UpstreamError,
    UpstreamNotAcceptingError,
    UpstreamRefusedError,
    UpstreamSilentError,
    UpstreamWithdrawnError,
)
from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.threads import end_thread, spawn_task
from boragedeck.request.answer_progress import AnswerProgress
from boragedeck.request.crash_wait import wait_unless_blamed
from boragedeck.request.events import EventError
from boragedeck.request.relay_attempt import PendingAnswer, start_attempt
from boragedeck.request.relay_components import log
from boragedeck.request.relay_job import MAX_LOGGED_PARTS, RelayJob
from boragedeck.request.relay_request import AttemptPlan, CopySource, VerdictKind
from boragedeck.request.stream_events import StreamEventReader
from boragedeck.request.stream_evidence import StreamEvidence
from boragedeck.request.stream_liveness import (
    ExchangeInterrupter,
    StreamLivenessMonitor,
)
from boragedeck.request.stream_messages import (
    AttemptOutcome,
    Ended,
    Heard,
    Silent,
    StreamMessage,
)
from boragedeck.request.stream_silence import StreamSilence

__all__ = ["AttemptReport", "FailedAnswer", "StreamAttempt"]

T = TypeVar("T")

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Limit of the size of a failed answer's body; a longer answer counts as lost."""


class FailedAnswer(msgspec.Struct, frozen=True):
    """A replica's failure answer; sent to the caller if no attempt succeeds."""

    status: int
    headers: Headers
    body: bytes


class AttemptReport(msgspec.Struct, frozen=True):
    """A message of an attempt."""

    attempt: "StreamAttempt"
    message: StreamMessage


class StreamAttempt:
    """One attempt of a stream at one replica, in a green thread of its own.

    Parameters
    ----------
    job : RelayJob
        The stream.
    place : Place
        The place at the replica.
    position : int or None
        Number of the last event that the caller has received.
    report : callable
        Receives each message; may block.
    from_copy : bool, optional
        Whether the replica holds a copy of the run.

    Attributes
    ----------
    place : Place
        The place at the replica.
    was_sent : bool
        Whether the replica may have received the request.
    head : tuple of int and Headers, or None
        Status and headers of a successful answer; None if there is none.
    copy_holder : ReplicaState or None
        The engine that holds a copy of this run.
    copy_user : StreamAttempt or None
        The attempt that was started from that copy.
    broken_state : ReplicaState or None
        The replica, if its connection broke so that it may still hold the prompt.
    failed_answer : FailedAnswer or None
        The replica's failure answer.
    failure_reason : str
        Why the attempt failed.
    """

    def __init__(
        self,
        job: RelayJob,
        place: Place,
        position: int | None,
        report: Callable[["AttemptReport"], None],
        *,
        from_copy: bool = False,
    ):
        self.place = place
        self.was_sent = False
        self.head: tuple[int, Headers] | None = None
        self.copy_holder: ReplicaState | None = None
        self.copy_user: StreamAttempt | None = None
        self.broken_state: ReplicaState | None = None
        self.failed_answer: FailedAnswer | None = None
        self.failure_reason = ""
        self._job = job
        self._position = position
        self._report = report
        self._from_copy = from_copy
        self._is_cancelled = False
        # Whether recording how the answer goes has failed, which is logged once.
        self._has_recording_failed = False
        self._progress = AnswerProgress(job.parts.crash_blame, job.traits)
        self._silence = StreamSilence(job, place, self._progress)
        self._evidence = StreamEvidence(
            job,
            place,
            self._progress,
            self._silence,
            from_copy=from_copy,
            is_resumed=position is not None,
        )
        self._liveness = StreamLivenessMonitor(job, self._note_silent, self._note_heard)
        self._events = StreamEventReader(
            job, place, self._silence, self._note_output, self._liveness, self._tell
        )
        self._thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Send the request and report, in a green thread."""
        self._job.note_start(self.place)
        self._thread = spawn_task(self._run_thread)

    @property
    def is_at_begin(self) -> bool:
        """Whether the answer has begun, and its output hasn't lasted."""
        return self._progress.is_at_begin

    @property
    def is_copy_used(self) -> bool:
        """Whether the copy of this run has been used up by another attempt."""
        user = self.copy_user
        return user is not None and user.was_sent and not user.place.is_rejected

    def cancel(self) -> None:
        """End the attempt, which reports nothing any more."""
        self._is_cancelled = True
        # A thread that is killed before it has started wouldn't release its place.
        self._note_stall_over()
        self._release(is_served=False)
        self._silence.note_abandoned()
        # The only switch; the thread ends what it has begun, also if it comes last.
        end_thread(self._thread)

    def _run_thread(self) -> None:
        # This outcome remains if the thread is killed.
        outcome = AttemptOutcome.LOST
        try:
            outcome = self._run()
        except Exception as exc:
            self._note_defect(exc)
        finally:
            self._end(outcome)

    def _end(self, outcome: AttemptOutcome) -> None:
        """Report the end; no other thread runs between it and the report."""
        is_complete = outcome is AttemptOutcome.COMPLETE
        try:
            self._release(is_served=is_complete and self._job.attempts.sent == 1)
            self._tell(Ended(outcome, self._events.position))
        finally:
            self._liveness.stop()

    def _note_defect(self, exc: Exception) -> None:
        """Log an attempt that ended by an unexpected exception, and count it."""
        if not self.was_sent:
            self._job.attempts.note_sent()
            self._job.attempts.note_not_run()
        reason = f"unexpected {exc!r}"
        self._note_failed(reason, reason, AttemptOutcome.LOST)

    def _tell(self, message: StreamMessage) -> None:
        if self._is_cancelled:
            return
        timers = self._job.parts.timers
        since = timers.now()
        self._report(AttemptReport(self, message))
        # What follows was held up by the caller.
        self._evidence.note_blocked(timers.now() - since)

    def _release(self, *, is_served: bool) -> None:
        self.place.release(is_served)
        self._job.note_end(self.place)

    def _run(self) -> AttemptOutcome:
        job, place = self._job, self.place
        backup = self._choose_backup()
        if backup is not None:
            place.reserve_copy(backup)
        plan = AttemptPlan(
            replica=place.state.replica,
            organisation=job.organisation,
            left_s=job.replica_left_s(),
            last_event=self._position,
            backup=None if backup is None else backup.replica,
            source=CopySource(place.state.replica.address) if self._from_copy else None,
            priority=job.rank,
        )
        self._log_sent(plan)
        try:
            pending = start_attempt(job, place, plan, self._wait)
            interrupter = ExchangeInterrupter(pending.exchange, place.state)
            try:
                if pending.verdict.kind is VerdictKind.SUCCESS:
                    self.copy_holder = backup
                return self._handle_answer(pending)
            finally:
                interrupter.cancel()
                pending.exchange.close()
        except UpstreamNotAcceptingError as exc:
            return self._note_failed(exc, exc.message, AttemptOutcome.NOT_TAKEN)
        except UpstreamRefusedError as exc:
            self._evidence.note_not_reached()
            return self._note_failed(exc, str(exc), AttemptOutcome.NOT_TAKEN)
        except UpstreamWithdrawnError as exc:
            return self._note_failed(exc, exc.message, AttemptOutcome.LOST)
        except (UpstreamError, EventError) as exc:
            if not isinstance(exc, UpstreamSilentError):
                self.broken_state = place.state
            self._events.end_stall()
            self._evidence.note_lost(is_silent=isinstance(exc, UpstreamSilentError))
            return self._note_failed(exc, str(exc), AttemptOutcome.LOST)

    def _choose_backup(self) -> ReplicaState | None:
        job = self._job
        engine = job.pool.engine
        if engine is None or not engine.can_back_up or not job.rule.may_repeat:
            return None
        admission_request = job.places.request(job.deadline)
        return job.parts.admission.find_backup(self.place, admission_request)

    def _log_sent(self, plan: AttemptPlan) -> None:
        job, state = self._job, self.place.state
        log.write(
            "Sent.",
            request=job.req.request_id,
            route=job.rule.name,
            replica=plan.replica.replica,
            version=plan.replica.version,
            domain=plan.replica.failure_domain,
            running=state.running,
            tokens=state.tokens,
            position=plan.last_event,
            organisation=job.organisation,
            shared_parts=list(job.req.shared_parts[:MAX_LOGGED_PARTS]),
            from_copy=plan.source is not None,
            backup=None if plan.backup is None else plan.backup.replica,
            attempt=job.attempts.sent + 1,
            stop_left_s=job.parts.stop_left_s(),
            **job.parts.table_ages.log_fields(),
            age_s=round(job.parts.timers.now() - job.req.arrived, 3),
        )

    def _wait(self, exchange: Exchange, read: Callable[[float], T]) -> T:
        """Wait for a read before the answer; see `StreamLivenessMonitor.wait`."""
        self.was_sent = True
        if exchange.is_doubtful:
            self._note_silent(exchange, self.place.since)
        interrupter = ExchangeInterrupter(exchange, self.place.state)
        wait = partial(self._liveness.wait, self.place, exchange, read)
        try:
            return wait_unless_blamed(self._job, exchange, wait)
        finally:
            interrupter.cancel()

    def _handle_answer(self, pending: PendingAnswer) -> AttemptOutcome:
        job, verdict = self._job, pending.verdict
        kind = job.rule.kind.value
        job.parts.metrics.attempts.labels(kind, verdict.kind.value).inc()
        match verdict.kind:
            case VerdictKind.SUCCESS:
                self._progress.note_head()
                self.head = pending.head.status, verdict.headers
                return self._read_events(pending)
            case VerdictKind.MOVED:
                self._note_moved()
                return AttemptOutcome.NOT_TAKEN
            case VerdictKind.NOT_RUN:
                self.place.is_rejected = True
                reason = "the replica did not run the request"
                error = f"not run, status {pending.head.status}"
                return self._note_failed(error, reason, AttemptOutcome.NOT_TAKEN)
            case VerdictKind.FAILED:
                room = AnswerRoom(job.channel.reservation, job.left_s())
                body = pending.exchange.read_all(job.left_s(), MAX_ANSWER_BYTES, room)
                self.failed_answer = FailedAnswer(
                    pending.head.status, verdict.headers, body
                )
        self._evidence.note_failed_answer()
        error = f"{verdict.kind.value} {pending.head.status}"
        reason = f"status {pending.head.status}"
        return self._note_failed(error, reason, AttemptOutcome.LOST)

    def _read_events(self, pending: PendingAnswer) -> AttemptOutcome:
        self._events.read(pending, self._position)
        self._silence.end()
        self._record(self._evidence.note_complete)
        return AttemptOutcome.COMPLETE

    def _note_output(self, events: int, gap_s: float | None) -> None:
        self._record(partial(self._evidence.note_output, events, gap_s))

    def _record(self, note: Callable[[], None]) -> None:
        """Record how the answer goes; an unexpected exception doesn't end it."""
        try:
            note()
        except Exception as exc:
            if self._has_recording_failed:
                return
            self._has_recording_failed = True
            log.write(
                "Recording failed.",
                request=self._job.req.request_id,
                replica=self.place.state.replica.replica,
                error=repr(exc),
            )

    def _note_silent(self, exchange: Exchange, since: float) -> None:
        self._silence.note(exchange, since)
        now = self._job.parts.timers.now()
        is_held = now < self.place.state.held_until
        self._tell(Silent(self._silence.noted_at or now, may_work=is_held))

    def _note_heard(self) -> None:
        self._silence.end()
        self._tell(Heard())

    def _note_stall_over(self) -> None:
        """Count a failure of an attempt that is ended while no event is complete."""
        if self._events.end_stall():
            self._evidence.note_stalled_end()

    def _note_moved(self) -> None:
        """Record that another replica has the address.

        Notes
        -----
        A copy may have been started there after the engine restarted.
        """
        self.failure_reason = "another replica has the address"
        if self._from_copy:
            address = self.place.state.replica.address
            self.copy_holder = self._job.parts.registry.at(address)

    def _note_failed(
        self, error: Exception | str, reason: str, outcome: AttemptOutcome
    ) -> AttemptOutcome:
        self._job.note_attempt_failed(self.place, error)
        self.failure_reason = reason
        return outcome
