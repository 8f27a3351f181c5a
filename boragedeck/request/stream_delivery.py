"""Writes the events of one stream to its caller, and measures the pauses."""

from boragedeck.connection.http_message import Headers
from boragedeck.exceptions import StreamOrderError
from boragedeck.request.relay_components import log
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.stream_messages import Events

__all__ = ["StreamDelivery"]


class StreamDelivery:
    """The caller's side of one stream.

    Parameters
    ----------
    job : RelayJob
        The stream.

    Attributes
    ----------
    position : int or None
        Number of the last event that the caller has; None before the first.
    """

    def __init__(self, job: RelayJob):
        self.position = job.req.resume_after
        self._job = job
        self._first_head: tuple[int, Headers] | None = None
        # When the stream broke off; None unless the caller waits for its resumption.
        self._lost_at: float | None = None
        self._first_event_s: float | None = None
        self._last_delivery_at = job.req.arrived
        self._longest_gap_s = 0.0
        # What the first events that were written follow in their run.
        self._follows: int | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the caller has received a part of the answer."""
        return self._job.channel.has_begun

    def note_head(self, status: int, headers: Headers) -> None:
        """Record the head of an attempt; the caller receives that of the first one."""
        if self._first_head is None:
            self._first_head = status, headers

    def note_lost(self, at: float) -> None:
        """Record that the stream broke off, or that its replica fell silent for good.

        Parameters
        ----------
        at : float
            When that was found, on the timer service's monotonic clock.
        """
        if self.has_begun and self._lost_at is None:
            self._lost_at = at

    def write(self, events: Events) -> None:
        """Send events to the caller.

        Raises
        ------
        StreamOrderError
            If they don't follow the last event that the caller has.
        """
        self._check_follows(events.follows)
        job, now = self._job, self._job.parts.timers.now()
        if not self.has_begun:
            self._follows = events.follows
            job.channel.begin(*self._first_head)
            kind = job.rule.kind.value
            self._first_event_s = now - job.req.arrived
            job.parts.metrics.first_output_s.labels(kind).observe(self._first_event_s)
        else:
            gap_s = now - self._last_delivery_at
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._last_delivery_at = now
        if self._lost_at is not None:
            self._note_resumed()
        self.position = events.position
        job.channel.write(events.data)

    def finish(self, position: int | None) -> None:
        """End the caller's answer as complete.

        Parameters
        ----------
        position : int or None
            Number of the last event of the run; None if it has none.

        Raises
        ------
        StreamOrderError
            If that isn't the last event that the caller has.
        """
        self._check_follows(position)
        job = self._job
        if not self.has_begun:
            job.channel.begin(*self._first_head)
        job.channel.finish()
        self._note_pace()
        took_s = job.note_served()
        log.write(
            "Answered.",
            request=job.req.request_id,
            route=job.rule.name,
            position=self.position,
            follows=self._follows,
            resume_after=job.req.resume_after,
            sent=job.attempts.sent,
            stop_left_s=job.parts.stop_left_s(),
            first_s=round(self._first_event_s or 0.0, 3),
            longest_gap_s=round(self._longest_gap_s, 3),
            took_s=round(took_s, 3),
        )

    def _check_follows(self, position: int | None) -> None:
        """Raise an error unless the caller's last event has the given number."""
        if position != self.position:
            raise StreamOrderError(
                f"event {self.position} is the caller's last one, not {position}",
                step="write events",
            )

    def _note_resumed(self) -> None:
        job = self._job
        after_s = job.parts.timers.now() - self._lost_at
        self._lost_at = None
        job.parts.metrics.resume_s.observe(after_s)
        log.write(
            "Goes on.",
            request=job.req.request_id,
            position=self.position,
            after_s=round(after_s, 3),
        )

    def _note_pace(self) -> None:
        """Record the duration of a stream that ran entirely at one engine."""
        job = self._job
        if (
            job.attempts.sent == 1
            and not job.req.resume_after
            and self._first_event_s is not None
        ):
            took_s = job.parts.timers.now() - job.req.arrived - self._first_event_s
            job.parts.pace.note_complete_stream(
                job.pool_name, self.position or 0, job.req.expected_tokens, took_s
            )
