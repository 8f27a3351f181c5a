"""Reads the events of a stream's replica."""

from collections.abc import Callable

from boragedeck.process.relaying.placing.place import Place
from boragedeck.request.event_timeout import EventTimeout
from boragedeck.request.events import EventError, EventSplitter
from boragedeck.request.gap_sampler import GapSampler
from boragedeck.request.relay_attempt import PendingAnswer
from boragedeck.request.relay_components import log
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.stream_liveness import StreamLivenessMonitor
from boragedeck.request.stream_messages import Events, Silent, StreamMessage
from boragedeck.request.stream_silence import StreamSilence

__all__ = ["StreamEventReader"]


class StreamEventReader:
    """Reads and reports the events of one attempt of a stream.

    Parameters
    ----------
    job : RelayJob
        The stream.
    place : Place
        The place at the replica.
    silence : StreamSilence
        The silence of the replica.
    record_output : callable
        Called when events have arrived, with their number, and with the mean gap
        between them in seconds, or None if there is no new sample.
    liveness : StreamLivenessMonitor
        Waits for the events.
    report : callable
        Receives each message; may block.
    """

    def __init__(
        self,
        job: RelayJob,
        place: Place,
        silence: StreamSilence,
        record_output: Callable[[int, float | None], None],
        liveness: StreamLivenessMonitor,
        report: Callable[[StreamMessage], None],
    ):
        self._job = job
        self._place = place
        self._silence = silence
        self._record_output = record_output
        self._liveness = liveness
        self._report = report
        # Whether bytes arrive that have completed no event for too long.
        self._is_stalled = False
        self._splitter = EventSplitter(None)

    @property
    def position(self) -> int | None:
        """Number of the last event that was read; None before the first."""
        return self._splitter.last_number

    def read(self, pending: PendingAnswer, position: int | None) -> None:
        """Read events until the stream is complete.

        Parameters
        ----------
        pending : PendingAnswer
            The answer.
        position : int or None
            Number of the last event that the caller has received.

        Raises
        ------
        EventError
            If the replica ends the stream before its end.
        UpstreamError
            If the replica is lost, or the time of the stream is over.
        """
        exchange, may_end = pending.exchange, pending.head.is_delimited
        splitter = self._splitter = EventSplitter(position)
        timeout = EventTimeout(self._job.parts.timers, exchange, self._job.rule)
        gaps = GapSampler()
        while data := self._liveness.wait(self._place, exchange, exchange.read):
            follows = splitter.last_number
            events = splitter.feed(data)
            if not events:
                if timeout.is_report_due():
                    self._note_stalled(timeout.stalled_at)
                continue
            may_end = True
            gap_s = gaps.note(len(events), self._job.parts.timers.now())
            self._note_output(len(events), gap_s)
            data = b"".join(event.data for event in events)
            self._report(Events(data, follows, splitter.last_number))
            timeout.restart()
        if splitter.has_partial_event:
            raise EventError("the stream ended in the middle of an event")
        if not may_end:
            raise EventError("the connection ended before the first event")

    def end_stall(self) -> bool:
        """Return whether no event was complete, though bytes arrived, and forget it."""
        is_stalled, self._is_stalled = self._is_stalled, False
        return is_stalled

    def _note_output(self, events: int, gap_s: float | None) -> None:
        self._is_stalled = False
        self._liveness.note_output()
        self._silence.end()
        self._record_output(events, gap_s)

    def _note_stalled(self, since: float) -> None:
        """Report that bytes complete no event, so that another attempt may start."""
        job = self._job
        if not self._is_stalled:
            self._is_stalled = True
            log.write(
                "No event is complete, though bytes arrive.",
                request=job.req.request_id,
                replica=self._place.state.replica.replica,
                sent=job.attempts.sent,
            )
            job.note_miss(self._place)
        self._report(Silent(since, may_work=False))
