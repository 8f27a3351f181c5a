"""What the output and the end of a stream's attempt say about its replica."""

from boragedeck.interfaces import Outcome
from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.relaying.placing.placement import work_ahead
from boragedeck.process.relaying.speeds.stream_sampler import StreamSampler
from boragedeck.request.answer_progress import AnswerProgress
from boragedeck.request.relay_components import log
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.stream_messages import AttemptOutcome
from boragedeck.request.stream_silence import StreamSilence

__all__ = ["StreamEvidence"]


class StreamEvidence:
    """Records the output and the end of one attempt of a stream.

    Parameters
    ----------
    job : RelayJob
        The stream.
    place : Place
        The place at the replica.
    progress : AnswerProgress
        The progress of the attempt.
    silence : StreamSilence
        The silence of the replica.
    from_copy : bool
        Whether the replica holds a copy of the run, and doesn't read the prompt.
    is_resumed : bool
        Whether the run follows events that the caller has, which the replica reads.
    """

    def __init__(
        self,
        job: RelayJob,
        place: Place,
        progress: AnswerProgress,
        silence: StreamSilence,
        *,
        from_copy: bool,
        is_resumed: bool,
    ):
        self._job = job
        self._place = place
        self._progress = progress
        self._silence = silence
        self._from_copy = from_copy
        # What is at the replica now is ahead of the request.
        self._speed_sampler = StreamSampler(
            job.req.prompt_tokens, work_ahead(place.state), place.since
        )
        if from_copy or is_resumed:
            self._speed_sampler.discard()

    def note_output(self, events: int, gap_s: float | None) -> None:
        """Record that events have arrived.

        Parameters
        ----------
        events : int
            The number of events.
        gap_s : float or None
            Mean gap between events, in seconds; None if there is no new sample.
        """
        job, place, now = self._job, self._place, self._job.parts.timers.now()
        place.state.note_output(now)
        self._progress.note_output(now)
        if not place.has_output:
            self._note_first_output(now - place.since)
        place.note_first_output()
        if gap_s is not None:
            job.evidence.note_gap(place, gap_s)
        self._note_speed(events, now)

    def note_blocked(self, blocked_s: float) -> None:
        """Record how long the attempt waited for its caller, in seconds."""
        self._speed_sampler.note_blocked(blocked_s)

    def note_complete(self) -> None:
        """Record that the answer is complete."""
        job, now = self._job, self._job.parts.timers.now()
        self._place.state.note_answer(True, now)
        self._progress.note_complete(now)
        job.parts.metrics.total_s.labels(job.rule.kind.value).observe(
            now - job.req.arrived
        )

    def note_failed_answer(self) -> None:
        """Record that the replica has answered with a failure."""
        self._place.state.note_answer(False, self._job.parts.timers.now())
        self._job.evidence.note_outcome(self._place, Outcome.FAILED)

    def note_not_reached(self) -> None:
        """Record that no connection to the replica could be opened."""
        self._note_miss()
        self._count(AttemptOutcome.NOT_TAKEN)
        if self._job.is_replica_time_over() and self._silence.is_on:
            self._silence.note_abandoned()

    def note_lost(self, *, is_silent: bool) -> None:
        """Record that the answer was lost.

        Parameters
        ----------
        is_silent : bool
            Whether the replica was silent until the request's time was over.
        """
        job, place = self._job, self._place
        # A replica that ends a request in time isn't lost.
        is_silent = is_silent or job.is_replica_time_over()
        self._note_miss()
        self._count(AttemptOutcome.LOST)
        is_own_loss = job.is_own_loss(place)
        if place.is_forwarded or not is_own_loss:
            self._progress.note_broken(place.state, is_silent=is_silent)
            if self._progress.is_at_begin:
                job.lost_at_begin += 1
        if is_silent and self._silence.is_on:
            # The time is over; whether the replica is lost isn't known yet.
            self._silence.note_abandoned()
        elif not is_own_loss:
            job.evidence.note_outcome(place, Outcome.FAILED)

    def note_stalled_end(self) -> None:
        """Record that an attempt was ended while bytes completed no event."""
        if not self._job.is_own_loss(self._place):
            self._job.evidence.note_outcome(self._place, Outcome.FAILED)

    def _note_speed(self, events: int, now: float) -> None:
        """Record what the events show of the replica's speed."""
        if self._place.is_forwarded:
            self._speed_sampler.discard()
        times = self._speed_sampler.note_events(events, now)
        if times is not None:
            self._job.parts.speeds.note_stream(self._place.state, times)

    def _note_miss(self) -> None:
        if not self._job.is_replica_time_over():
            self._job.note_miss(self._place)

    def _count(self, outcome: AttemptOutcome) -> None:
        job = self._job
        job.parts.metrics.attempts.labels(job.rule.kind.value, outcome.value).inc()

    def _note_first_output(self, took_s: float) -> None:
        job, place = self._job, self._place
        log.write(
            "First output.",
            request=job.req.request_id,
            replica=place.state.replica.replica,
            after_s=round(took_s, 3),
        )
        job.evidence.note_outcome(place, None, took_s)
        if not self._from_copy:
            job.parts.pace.note_prompt_read(
                job.pool_name, job.req.prompt_tokens, took_s
            )
