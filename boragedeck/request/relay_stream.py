"""Relays one stream, and resumes it at another replica if its replica is lost.

While a replica is silent, a second attempt runs beside the first; the first of the two
that sends an event goes on, and the other is ended. If the second one is silent, too,
another attempt replaces it.
"""

from boragedeck.exceptions import StreamOrderError
from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.request.crash_wait import await_crash_verdict
from boragedeck.request.relay_components import log
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_refusals import too_late_refusal
from boragedeck.request.second_attempts import (
    may_start_beside,
    take_repeat_or_release,
)
from boragedeck.request.stream_attempt import (
    AttemptReport,
    StreamAttempt,
)
from boragedeck.request.stream_delivery import StreamDelivery
from boragedeck.request.stream_failures import StreamFailures
from boragedeck.request.stream_messages import (
    AttemptOutcome,
    Ended,
    Events,
    Heard,
    Silent,
)
from boragedeck.request.stream_recovery import StreamRecovery
from boragedeck.request.unread_reports import make_report_queue

__all__ = ["StreamRelay"]

MAX_REPEAT_WAIT_S = 1.0
"""How long a stream that has begun waits until the shared limit allows a repeat. It is
shorter than callers wait for an event; once it is broken off, they may resume it."""


class StreamRelay:
    """Relays one stream.

    Parameters
    ----------
    job : RelayJob
        The request.
    """

    def __init__(self, job: RelayJob):
        self._job = job
        self._delivery = StreamDelivery(job)
        self._recovery = StreamRecovery(job)
        self._reports = make_report_queue(self._note_unread)
        # The running attempts; the first one leads, and another one stands by.
        self._attempts: list[StreamAttempt] = []
        # When the replica of an attempt was found to be silent; None if none is.
        self._silent_at: float | None = None
        # The last attempt that has failed.
        self._failed: StreamAttempt | None = None
        self._failures = StreamFailures(job, self._delivery)
        # Whether an attempt was sent beside one that went on by itself.
        self._had_needless_attempt = False
        # Whether a connection has broken during the run.
        self._was_broken = False

    def run(self) -> None:
        """Relay the stream, or answer the caller with a failure."""
        job = self._job
        late = too_late_refusal(job)
        if late is not None:
            job.refuse(late)
            return
        try:
            self._relay()
        except StreamOrderError as exc:
            self._failures.answer_order_broken(exc)
        finally:
            job.begin_clean_up()
            self._cancel(self._attempts)
            # A probe's thread may still wait to report that its replica is heard.
            self._reports.close()

    def give_up(self) -> None:
        """Answer the caller with what replicas have answered, or with a failure."""
        try:
            if not self._deliver_unread():
                self._failures.answer()
        except StreamOrderError as exc:
            self._failures.answer_order_broken(exc)

    def _relay(self) -> None:
        while self._start_next():
            if self._follow():
                return
            if not self._may_resume():
                self._failures.answer()
                return

    def _deliver_unread(self) -> bool:
        """Deliver a whole answer that hasn't been read; return whether there is one."""
        reports = self._reports.take_all()
        log.write(
            "Reads what has arrived.",
            request=self._job.req.request_id,
            reports=len(reports),
        )
        for report in reports:
            match report.message:
                case Ended(outcome=AttemptOutcome.COMPLETE):
                    self._deliver_all(report.attempt, reports)
                    return True
                case Ended():
                    self._failures.note(report.attempt)
        return False

    def _deliver_all(
        self, attempt: StreamAttempt, reports: list[AttemptReport]
    ) -> None:
        """Deliver all that an attempt has reported."""
        for report in reports:
            if report.attempt is attempt:
                match report.message:
                    case Events() as events:
                        self._deliver(attempt, events)
                    case Ended() as ended:
                        self._finish(attempt, ended)

    def _note_unread(self) -> None:
        """Record that a replica isn't read on until the caller has read."""
        self._job.parts.metrics.unread_streams.inc()
        log.write(
            "Caller reads slowly.",
            request=self._job.req.request_id,
            unread_bytes=self._reports.unread_bytes,
            position=self._delivery.position,
        )

    def _start_next(self) -> bool:
        """Start an attempt while none runs; if none can, answer and return False."""
        job, failed = self._job, self._failed
        if failed is not None and self._start_recovery(failed):
            return True
        acquired = job.places.acquire(job.deadline, has_begun=self._delivery.has_begun)
        if acquired.is_ok():
            self._start(acquired.ok())
            return True
        if job.may_have_run or self._delivery.has_begun:
            self._failures.answer_unplaced(acquired.err().message)
        else:
            job.refuse(acquired.err())
        return False

    def _start_recovery(self, failed: StreamAttempt) -> bool:
        """Start an attempt at an engine that holds the run or the prompt, if any."""
        holder = self._copy_holder(failed)
        state = holder or self._recovery.prompt_holder()
        place = None if state is None else self._recovery.reserve(state)
        if place is not None:
            self._start(place, copy_of=None if holder is None else failed)
        return place is not None

    def _copy_holder(self, attempt: StreamAttempt) -> ReplicaState | None:
        """Return the engine with a copy from which the stream can go on, if any."""
        if self._delivery.position is None:
            return None
        return self._recovery.copy_holder(attempt)

    def _start(self, place: Place, *, copy_of: StreamAttempt | None = None) -> None:
        """Start an attempt, which may go on from the copy of another one's run."""
        attempt = StreamAttempt(
            self._job,
            place,
            self._delivery.position,
            self._reports.put,
            from_copy=copy_of is not None,
        )
        if copy_of is not None:
            copy_of.copy_user = attempt
        self._attempts.append(attempt)
        attempt.start()

    def _follow(self) -> bool:
        """Deliver the stream until it is complete, or until no attempt runs.

        Returns
        -------
        bool
            Whether the stream is complete.
        """
        while self._attempts:
            is_complete = self._handle(self._reports.first())
            self._reports.remove_first()
            if is_complete:
                return True
        return False

    def _handle(self, report: AttemptReport) -> bool:
        """Do what a report asks for; return whether the stream is complete."""
        attempt = report.attempt
        if attempt not in self._attempts:
            # It was ended after it had reported this.
            return False
        match report.message:
            case Events() as events:
                self._let_lead(attempt)
                self._deliver(attempt, events)
            case Silent() as silent:
                self._note_silent(attempt, silent)
            case Heard():
                if attempt is self._attempts[0]:
                    self._let_lead(attempt)
            case Ended(outcome=AttemptOutcome.COMPLETE) as ended:
                self._let_lead(attempt)
                self._finish(attempt, ended)
                return True
            case Ended(outcome=outcome):
                self._note_failed(attempt, outcome)
        return False

    def _let_lead(self, attempt: StreamAttempt) -> None:
        """End all attempts but one, whose events the caller receives."""
        others = [each for each in self._attempts if each is not attempt]
        is_first = attempt is self._attempts[0]
        silent_at, self._silent_at = self._silent_at, None
        if not others:
            return
        if not is_first:
            self._delivery.note_lost(silent_at)
        elif any(each.was_sent for each in others):
            self._had_needless_attempt = True
        log.write(
            "One attempt goes on.",
            request=self._job.req.request_id,
            goes_on=attempt.place.state.replica.replica,
            is_first=is_first,
            ended=[each.place.state.replica.replica for each in others],
        )
        self._cancel(others)

    def _cancel(self, attempts: list[StreamAttempt]) -> None:
        for attempt in list(attempts):
            self._attempts.remove(attempt)
            attempt.cancel()

    def _deliver(self, attempt: StreamAttempt, events: Events) -> None:
        self._delivery.note_head(*attempt.head)
        self._delivery.write(events)

    def _finish(self, attempt: StreamAttempt, ended: Ended) -> None:
        self._delivery.note_head(*attempt.head)
        self._delivery.finish(ended.position)

    def _note_silent(self, attempt: StreamAttempt, silent: Silent) -> None:
        """Start another attempt beside one whose replica is silent, if one may.

        Notes
        -----
        If the silent one is a second attempt, the new one replaces it, since the first
        is silent, too, and both replicas may be lost. A replica that may be at work is
        left for the new one, so that no two work on the request.
        """
        if self._silent_at is None:
            self._silent_at = silent.since
        if attempt is not self._attempts[-1] or not may_start_beside(self._job, silent):
            return
        first, *replaced = self._attempts
        if silent.may_work:
            replaced = list(self._attempts)
        holder = self._copy_holder(first)
        place = None if holder is None else self._recovery.reserve(holder)
        copy_of = None if place is None else first
        if place is None:
            place = self._job.places.acquire_beside(
                [each.place for each in self._attempts]
            )
        if place is None or not take_repeat_or_release(self._job, place):
            return
        self._start(place, copy_of=copy_of)
        self._cancel(replaced)

    def _note_failed(self, attempt: StreamAttempt, outcome: AttemptOutcome) -> None:
        job = self._job
        was_first = attempt is self._attempts[0]
        self._attempts.remove(attempt)
        self._failed = attempt
        self._failures.note(attempt)
        if attempt.broken_state is not None:
            self._was_broken = True
            self._recovery.note_broken(attempt.broken_state)
        if outcome is AttemptOutcome.LOST and was_first:
            self._delivery.note_lost(job.parts.timers.now())
            self._silent_at = None
        is_last = not self._attempts
        if is_last and outcome is AttemptOutcome.LOST and attempt.is_at_begin:
            await_crash_verdict(job, attempt.place)

    def _may_resume(self) -> bool:
        job = self._job
        is_allowed = job.rule.may_repeat or not job.may_have_run
        if not is_allowed or job.left_s() <= 0.0:
            return False
        max_wait_s = MAX_REPEAT_WAIT_S if self._delivery.has_begun else 0.0
        return job.may_send_again(self._extra_attempts(), max_wait_s=max_wait_s)

    def _extra_attempts(self) -> int:
        """Return the number of attempts that are allowed beyond those of the route.

        Notes
        -----
        Silences that end must not use up the attempts for a loss. A replica that is
        lost doesn't count against the limit, so one is allowed in its place.
        """
        return int(self._had_needless_attempt and self._was_broken)
