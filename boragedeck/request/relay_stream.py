"""Relays one stream, going on at another replica where its replica is lost."""

import enum
from functools import partial

import msgspec

from boragedeck.connection.exchange import AnswerHead, Exchange, Headers
from boragedeck.exceptions import (
    UpstreamError,
    UpstreamRefusedError,
    UpstreamSilentError,
    UpstreamUnwillingError,
)
from boragedeck.interfaces import Outcome
from boragedeck.process.relaying.admission import Place
from boragedeck.process.relaying.replica_state import ReplicaState
from boragedeck.request.events import EventError, EventExcessError, EventSplitter
from boragedeck.request.relay_attempt import Opened, open_attempt
from boragedeck.request.relay_job import RelayJob, log
from boragedeck.request.relay_patience import Interruption, StreamPatience
from boragedeck.request.relay_refusals import final_refusal, late_refusal
from boragedeck.request.relay_request import AttemptPlan, CopySource, VerdictKind
from boragedeck.request.stream_recovery import StreamRecovery

__all__ = ["StreamRelay"]

MAX_ANSWER_BYTES = 4 * 1024 * 1024
MIN_EVENT_LIMIT_S = 0.5


class End(enum.Enum):
    """How an attempt ended."""

    COMPLETE = "complete"
    NOT_TAKEN = "not_taken"
    """Nothing ran."""
    LOST = "lost"
    """It broke off, or may have run without an answer."""


class _Failure(msgspec.Struct, frozen=True):
    """A failure that a replica answered with."""

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
        self._patience = StreamPatience(job)
        self._splitter = EventSplitter(job.req.resume_after)
        self._head: tuple[int, Headers] | None = None
        self._recovery = StreamRecovery(job)
        self._failure: _Failure | None = None
        self._reason = ""
        self._lost_at: float | None = None
        self._first_s: float | None = None
        self._delivered_at = job.req.arrived
        self._longest_gap_s = 0.0

    def run(self) -> None:
        """Deliver the stream, or what there is to say in its place."""
        job = self._job
        least_s = self._least_s()
        if least_s > job.left_s():
            job.refuse(late_refusal(least_s, job.left_s()))
            return
        while True:
            place = self._place()
            if place is None:
                return
            end = End.LOST
            try:
                end = self._attempt(place)
            finally:
                place.release(end is End.COMPLETE and job.sent == 1)
            if end is End.COMPLETE:
                self._finish()
                return
            may_go_on = job.rule.may_repeat or not job.may_have_run
            if not (may_go_on and job.left_s() > 0.0 and job.may_send_again()):
                self._give_up()
                return

    def _least_s(self) -> float:
        """Return the time that the stream needs if all goes well, in seconds."""
        job, req = self._job, self._job.req
        return job.parts.pace.min_duration_s(
            job.pool_name,
            req.prompt_tokens,
            req.expected_tokens,
            req.resume_after or 0,
        )

    def _place(self) -> Place | None:
        job = self._job
        place = self._recovery.place(self._splitter.last)
        if place is not None:
            return place
        placed = job.acquire(job.deadline)
        if placed.is_ok():
            return placed.ok()
        if job.may_have_run or self._has_begun:
            self._reason = placed.err().message
            self._give_up()
        else:
            job.refuse(placed.err())
        return None

    @property
    def _has_begun(self) -> bool:
        return self._job.channel.has_begun

    def _attempt(self, place: Place) -> End:
        job = self._job
        source = None
        if self._recovery.is_on_copy:
            source = CopySource(place.state.replica.address)
        backup = self._choose_backup(place)
        if backup is not None:
            place.reserve_copy(backup)
        plan = AttemptPlan(
            replica=place.state.replica,
            organisation=job.organisation,
            left_s=job.left_s(),
            last_event=self._splitter.last,
            backup=None if backup is None else backup.replica,
            source=source,
        )
        return self._send(place, plan, backup)

    def _send(
        self, place: Place, plan: AttemptPlan, backup: ReplicaState | None
    ) -> End:
        job = self._job
        log.write(
            "Sent.",
            request=job.req.request_id,
            route=job.rule.name,
            replica=plan.replica.replica,
            domain=plan.replica.failure_domain,
            running=place.state.running,
            tokens=place.state.tokens,
            position=plan.last_event,
            from_copy=plan.source is not None,
            backup=None if plan.backup is None else plan.backup.replica,
            attempt=job.sent + 1,
            age_s=round(job.parts.timers.now() - job.req.arrived, 3),
        )
        try:
            opened = open_attempt(job, place, plan, partial(self._wait_head, place))
            interruption = Interruption(opened.exchange, place.state)
            try:
                if opened.verdict.kind is VerdictKind.SUCCESS:
                    self._recovery.note_copied(backup)
                return self._take(place, opened)
            finally:
                interruption.end()
                opened.exchange.close()
        except UpstreamUnwillingError as exc:
            job.note_attempt_failed(place, exc)
            self._reason = exc.message
            return End.NOT_TAKEN
        except UpstreamRefusedError as exc:
            return self._note_loss(place, exc, End.NOT_TAKEN)
        except (UpstreamError, EventError) as exc:
            if not isinstance(exc, UpstreamSilentError):
                self._recovery.note_broken(place.state)
            return self._note_loss(place, exc, End.LOST)

    def _wait_head(self, place: Place, exchange: Exchange) -> AnswerHead:
        interruption = Interruption(exchange, place.state)
        try:
            return self._patience.wait(place, exchange.head)
        finally:
            interruption.end()

    def _take(self, place: Place, opened: Opened) -> End:
        job, verdict = self._job, opened.verdict
        kind = job.rule.kind.value
        job.parts.metrics.attempts.labels(kind, verdict.kind.value).inc()
        match verdict.kind:
            case VerdictKind.SUCCESS:
                if self._head is None:
                    self._head = opened.head.status, verdict.headers
                return self._read_events(place, opened.exchange)
            case VerdictKind.MOVED:
                self._reason = "another replica has the address"
                self._recovery.note_moved(place.state.replica.address)
                return End.NOT_TAKEN
            case VerdictKind.NOT_RUN:
                job.note_attempt_failed(place, f"not run, status {opened.head.status}")
                self._reason = "the replica did not run it"
                return End.NOT_TAKEN
            case VerdictKind.FAILED:
                body = opened.exchange.read_all(job.left_s(), MAX_ANSWER_BYTES)
                self._failure = _Failure(opened.head.status, verdict.headers, body)
                self._reason = f"status {opened.head.status}"
        place.state.note_answer(False, job.parts.timers.now())
        job.note_outcome(place, Outcome.FAILED)
        job.note_attempt_failed(place, f"{verdict.kind.value} {opened.head.status}")
        return End.LOST

    def _read_events(self, place: Place, exchange: Exchange) -> End:
        job = self._job
        splitter = EventSplitter(self._splitter.last)
        whole_at = job.parts.timers.now()
        while True:
            data = self._patience.wait(place, exchange.read)
            if not data:
                break
            events = splitter.feed(data)
            now = job.parts.timers.now()
            if not events and now - whole_at > self._event_limit_s():
                raise EventExcessError("bytes come, but no whole event")
            if events:
                whole_at = now
                place.state.note_output(now)
                self._note_output(place)
                self._deliver(b"".join(event.data for event in events))
                self._splitter.last = splitter.last
        if splitter.has_rest:
            raise EventError("the stream ended within an event")
        place.state.note_answer(True, job.parts.timers.now())
        job.parts.metrics.whole_s.labels(job.rule.kind.value).observe(
            job.parts.timers.now() - job.req.arrived
        )
        return End.COMPLETE

    def _event_limit_s(self) -> float:
        """Return how long bytes may come without making an event whole."""
        rule = self._job.rule
        return max(MIN_EVENT_LIMIT_S, rule.gap_goal_s or rule.goal_s)

    def _note_output(self, place: Place) -> None:
        if not place.has_output:
            took_s = self._job.parts.timers.now() - place.since
            self._job.note_outcome(place, None, took_s)
            if not self._recovery.is_on_copy:
                prompt_tokens = self._job.req.prompt_tokens
                self._job.parts.pace.note_prompt_read(
                    self._job.pool_name, prompt_tokens, took_s
                )
        place.note_first_output()

    def _deliver(self, data: bytes) -> None:
        job, now = self._job, self._job.parts.timers.now()
        if not self._has_begun:
            job.channel.begin(*self._head)
            kind = job.rule.kind.value
            self._first_s = now - job.req.arrived
            job.parts.metrics.first_output_s.labels(kind).observe(self._first_s)
        else:
            gap_s = now - self._delivered_at
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._delivered_at = now
        if self._lost_at is not None:
            after_s = now - self._lost_at
            self._lost_at = None
            job.parts.metrics.resume_s.observe(after_s)
            log.write(
                "Goes on.",
                request=job.req.request_id,
                position=self._splitter.last,
                after_s=round(after_s, 3),
            )
        job.channel.write(data)

    def _choose_backup(self, place: Place) -> ReplicaState | None:
        engine = self._job.pool.engine
        if engine is None or not engine.can_back_up or not self._job.rule.may_repeat:
            return None
        ask = self._job.ask(self._job.deadline)
        return self._job.parts.admission.find_backup(place, ask)

    def _note_loss(self, place: Place, exc: Exception, end: End) -> End:
        job = self._job
        now = job.parts.timers.now()
        if job.left_s() > 0.0:
            job.note_miss(place)
        job.parts.metrics.attempts.labels(job.rule.kind.value, end.value).inc()
        if end is End.LOST:
            job.parts.blame.note_broken(job.fingerprint, place.state)
            job.note_outcome(place, Outcome.FAILED)
        job.note_attempt_failed(place, exc)
        self._reason = str(exc)
        if self._has_begun and self._lost_at is None:
            self._lost_at = now
        return end

    def _finish(self) -> None:
        job = self._job
        if not self._has_begun:
            job.channel.begin(*self._head)
        job.channel.finish()
        self._note_pace()
        took_s = job.note_served()
        log.write(
            "Answered.",
            request=job.req.request_id,
            route=job.rule.name,
            position=self._splitter.last,
            sent=job.sent,
            first_s=round(self._first_s or 0.0, 3),
            longest_gap_s=round(self._longest_gap_s, 3),
            took_s=round(took_s, 3),
        )

    def _note_pace(self) -> None:
        """Note how long the stream took, where it ran at one engine from its begin."""
        job = self._job
        if job.sent == 1 and not job.req.resume_after and self._first_s is not None:
            took_s = job.parts.timers.now() - job.req.arrived - self._first_s
            job.parts.pace.note_complete_stream(
                job.pool_name,
                self._splitter.last or 0,
                job.req.expected_tokens,
                took_s,
            )

    def _give_up(self) -> None:
        job = self._job
        if self._has_begun:
            log.write(
                "Broken off.",
                request=job.req.request_id,
                route=job.rule.name,
                position=self._splitter.last,
                sent=job.sent,
                reason=self._reason,
                left_s=round(job.left_s(), 3),
            )
            job.parts.metrics.requests.labels(job.rule.kind.value, "broken").inc()
            return
        if self._failure is not None:
            failure = self._failure
            job.channel.respond(failure.status, failure.headers, failure.body)
            job.parts.metrics.requests.labels(job.rule.kind.value, "failed").inc()
            return
        job.refuse(final_refusal(job, self._reason))
