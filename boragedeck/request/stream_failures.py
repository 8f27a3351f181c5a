"""Answers the caller of a stream that can't go on."""

from boragedeck.exceptions import StreamOrderError
from boragedeck.process.relaying.relay_metrics import OrderCheck
from boragedeck.request.relay_components import log
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_refusals import final_refusal
from boragedeck.request.stream_attempt import FailedAnswer, StreamAttempt
from boragedeck.request.stream_delivery import StreamDelivery

__all__ = ["StreamFailures"]


class StreamFailures:
    """The failures of one stream, and the caller's answer if none of them is mended.

    Parameters
    ----------
    job : RelayJob
        The stream.
    delivery : StreamDelivery
        The caller's side of it.
    """

    def __init__(self, job: RelayJob, delivery: StreamDelivery):
        self._job = job
        self._delivery = delivery
        self._answer: FailedAnswer | None = None
        self._reason = ""

    def note(self, attempt: StreamAttempt) -> None:
        """Record an attempt that has failed."""
        self._answer = attempt.failed_answer or self._answer
        self._reason = attempt.failure_reason

    def answer_unplaced(self, reason: str) -> None:
        """Answer the caller, since there is no place for another attempt."""
        self._reason = reason
        self.answer()

    def answer_order_broken(self, error: StreamOrderError) -> None:
        """Answer the caller, since the stream can't go on where it ended."""
        log.write("Order broken.", request=self._job.req.request_id, error=str(error))
        self._job.note_order_broken(OrderCheck.WRITTEN)
        self._reason = error.message
        self.answer()

    def answer(self) -> None:
        """Answer the caller with a failure, or leave its answer incomplete."""
        job, answer = self._job, self._answer
        if self._delivery.has_begun:
            self._log_broken_off()
            job.parts.metrics.requests.labels(job.rule.kind.value, "broken").inc()
        elif answer is not None:
            job.channel.respond(answer.status, answer.headers, answer.body)
            job.parts.metrics.requests.labels(job.rule.kind.value, "failed").inc()
        else:
            job.refuse(final_refusal(job, self._reason))

    def _log_broken_off(self) -> None:
        job = self._job
        log.write(
            "Broken off.",
            request=job.req.request_id,
            route=job.rule.name,
            position=self._delivery.position,
            sent=job.attempts.sent,
            reason=self._reason,
            resume_after=job.req.resume_after,
            stop_left_s=job.parts.stop_left_s(),
            left_s=round(job.left_s(), 3),
            timeout_s=job.req.caller_timeout_s,
            body_s=round(job.req.received - job.req.arrived, 3),
        )
