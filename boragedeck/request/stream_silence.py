"""What a router does, besides waiting, while the replica of a stream is silent.

A sound replica may stand still for a second or more. Its silence makes the router avoid
it and look after its path, and ends nothing.
"""

import eventlet

from boragedeck.connection.exchange import Exchange
from boragedeck.process.relaying.placing.place import Place
from boragedeck.request.answer_progress import AnswerProgress
from boragedeck.request.relay_components import log
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.silence_verdict import judge_silence

__all__ = ["StreamSilence"]


class StreamSilence:
    """The silence of the replica during one attempt.

    Parameters
    ----------
    job : RelayJob
        The stream.
    place : Place
        The place at the replica.
    progress : AnswerProgress
        The progress of the attempt.

    Attributes
    ----------
    noted_at : float or None
        When the replica was found to be silent, on the timer service's monotonic clock;
        None if it isn't silent.
    """

    def __init__(self, job: RelayJob, place: Place, progress: AnswerProgress):
        self._job = job
        self._place = place
        self._progress = progress
        # When the replica fell silent, and when that was noted; None if it isn't.
        self._since: float | None = None
        self.noted_at: float | None = None

    @property
    def is_on(self) -> bool:
        """Whether the replica is silent."""
        return self._since is not None

    def note(self, exchange: Exchange, since: float) -> None:
        """Record that the replica has been silent since a time; repeats are ignored."""
        if self._since is not None:
            return
        job, place = self._job, self._place
        self._since, self.noted_at = since, job.parts.timers.now()
        self._log(exchange)
        job.parts.metrics.silences.labels(job.rule.kind.value).inc()
        job.note_miss(place)
        is_own_loss = job.is_own_loss(place)
        if not is_own_loss:
            place.state.note_silent(self.noted_at)
        if place.is_forwarded or not is_own_loss:
            self._progress.note_broken(place.state, is_silent=True)

    def end(self) -> None:
        """Record that the replica is heard again."""
        if self._since is None:
            return
        job, place, now = self._job, self._place, self._job.parts.timers.now()
        log.write(
            "Replica heard again.",
            request=job.req.request_id,
            replica=place.state.replica.replica,
            silent_s=round(now - self._since, 3),
        )
        self._since = self.noted_at = None
        place.state.note_output(now)
        place.state.forget_misses()

    def note_abandoned(self) -> None:
        """Record that the attempt was ended; a silence counts if the replica is lost.

        Notes
        -----
        The silence of a sound replica says nothing about its version.
        """
        since, self._since = self._since, None
        self.noted_at = None
        if since is not None and not self._job.is_own_loss(self._place):
            eventlet.spawn_n(judge_silence, self._job, self._place, since)

    def _log(self, exchange: Exchange) -> None:
        job, place, now = self._job, self._place, self._job.parts.timers.now()
        address = exchange.address
        heard_at = job.parts.upstreams.heard_at(address)
        log.write(
            "Replica silent.",
            request=job.req.request_id,
            replica=place.state.replica.replica,
            has_output=place.has_output,
            silent_s=round(now - self._since, 3),
            heard_s=round(now - heard_at, 3) if heard_at > self._since else None,
            path=job.parts.paths.state_of(address).value,
            is_forwarded=exchange.is_forwarded,
            sent=job.attempts.sent,
            max_attempts=job.rule.max_attempts,
            may_repeat=job.rule.may_repeat,
            left_s=round(job.left_s(), 3),
        )
