"""An attempt to run a request on one upstream, in its own green thread."""

import enum
from collections.abc import Callable

import eventlet
import msgspec

from boragedeck.connection.engine import EngineChunk, EngineRun, RunRequest
from boragedeck.exceptions import (
    RefusedError,
    UpstreamError,
    UpstreamFailedError,
    UpstreamRefusedError,
)
from boragedeck.ids import UpstreamName
from boragedeck.interfaces import Chooser, Outcome, Slot, SlotRequest
from boragedeck.process.threads import end_thread, spawn_task

__all__ = ["Attempt", "AttemptEnd", "EndKind", "OpenRun", "broken_outcome"]

OpenRun = Callable[[str, RunRequest], EngineRun]


class EndKind(enum.Enum):
    """The ways in which an attempt can end."""

    COMPLETED = "completed"
    REFUSED = "refused"
    """The chooser gave the request no slot (permission for one run on an upstream), so
    it was not sent to any upstream."""
    NOT_TAKEN = "not_taken"
    """The chosen upstream did not accept the request (`UpstreamRefusedError`); another
    one may."""
    BROKEN = "broken"
    """The upstream failed during the run, or its stream had no finish reason."""


class AttemptEnd(msgspec.Struct, frozen=True):
    """How an attempt ended.

    Parameters
    ----------
    kind : EndKind
        The kind of end.
    finish_reason : str
        The finish reason sent by the engine, if the attempt completed.
    error : UpstreamError or RefusedError or None
        The error, if the attempt did not complete.
    """

    kind: EndKind
    finish_reason: str = ""
    error: UpstreamError | RefusedError | None = None


def broken_outcome(end: AttemptEnd) -> Outcome:
    """Return the outcome of a broken run: failed if the upstream sent an error.

    Notes
    -----
    An upstream that sends an error (`UpstreamFailedError`) has not crashed.
    """
    has_answered = isinstance(end.error, UpstreamFailedError)
    return Outcome.FAILED if has_answered else Outcome.CRASHED


class Attempt:
    """Runs a request on an upstream that the chooser selects.

    Parameters
    ----------
    chooser : Chooser
        Selects the upstream.
    open_run : callable
        Opens a run; see `boragedeck.connection.engine.open_run`.
    slot_request : SlotRequest
        The request to the chooser for a slot.
    request : RunRequest
        The request that starts the run. If its `model` is empty, the version that the
        upstream serves is sent as the model.
    start : int
        The position in the answer, in tokens, at which the output of this run begins.
    accept : callable
        Called with the attempt and each chunk, while `position` is still the start of
        the chunk.
    ended : callable
        Called with the attempt when it has ended without being stopped.
    acquired : callable
        Called with the attempt when it has a slot, before the request is sent.

    Attributes
    ----------
    position : int
        The position in the answer, in tokens, after the chunks received so far.
    end : AttemptEnd or None
        How the attempt ended; None while it is running or if it was stopped.
    """

    def __init__(
        self,
        chooser: Chooser,
        open_run: OpenRun,
        slot_request: SlotRequest,
        request: RunRequest,
        start: int,
        *,
        accept: Callable[["Attempt", EngineChunk], None],
        ended: Callable[["Attempt"], None],
        acquired: Callable[["Attempt"], None],
    ):
        self._chooser = chooser
        self._open_run = open_run
        self._slot_request = slot_request
        self._accept = accept
        self._ended = ended
        self._acquired = acquired
        self._run: EngineRun | None = None
        self._thread: eventlet.greenthread.GreenThread | None = None
        self.request = request
        self.start = start
        self.slot: Slot | None = None
        self.end: AttemptEnd | None = None
        self.position = start
        self.finish_reason = ""

    @property
    def has_output(self) -> bool:
        """Whether the run has sent tokens."""
        return self.position > self.start

    @property
    def upstream(self) -> UpstreamName | None:
        """The name of the upstream, or None before one is selected."""
        return self.slot.upstream.name if self.slot is not None else None

    def begin(self) -> None:
        """Start the green thread."""
        self._thread = spawn_task(self._run_and_report)

    def stop(self, outcome: Outcome) -> None:
        """Stop the thread, close the connection of the run and release the slot.

        Parameters
        ----------
        outcome : Outcome
            The outcome of the run; has no effect if the slot is already released.

        Notes
        -----
        If the attempt's own thread calls this from a callback, the thread goes on.
        """
        try:
            if self._thread is not None and self._thread is not eventlet.getcurrent():
                end_thread(self._thread)
        finally:
            # Whoever stops it may be ended itself meanwhile.
            if self._run is not None:
                self._run.close()
            if self.slot is not None:
                self.slot.finish(outcome)

    def _run_and_report(self) -> None:
        self.end = self._run_on_upstream()
        outcome = self._outcome(self.end)
        if self._run is not None:
            self._run.close()
        if self.slot is not None:
            self.slot.finish(outcome)
        self._ended(self)

    def _run_on_upstream(self) -> AttemptEnd:
        result = self._chooser.acquire(self._slot_request)
        if result.is_err():
            return AttemptEnd(EndKind.REFUSED, error=result.err())
        self.slot = result.ok()
        self._acquired(self)
        upstream = self.slot.upstream
        if not self.request.model:
            self.request = msgspec.structs.replace(self.request, model=upstream.version)
        try:
            self._run = self._open_run(upstream.url, self.request)
            for chunk in self._run:
                self._handle_chunk(chunk)
        except UpstreamRefusedError as exc:
            return AttemptEnd(EndKind.NOT_TAKEN, error=exc)
        except UpstreamError as exc:
            # If the engine has sent its finish reason, the output is complete.
            if not self.finish_reason:
                return AttemptEnd(EndKind.BROKEN, error=exc)
        if not self.finish_reason:
            error = UpstreamError(
                "the stream ended without a finish reason",
                step="read tokens",
                peer=upstream.url,
            )
            return AttemptEnd(EndKind.BROKEN, error=error)
        return AttemptEnd(EndKind.COMPLETED, finish_reason=self.finish_reason)

    def _handle_chunk(self, chunk: EngineChunk) -> None:
        count = len(chunk.token_ids)
        if count:
            if not self.has_output:
                self.slot.first_token()
            self.slot.tokens(count)
        self._accept(self, chunk)
        self.position += count
        self.finish_reason = chunk.finish_reason or self.finish_reason

    def _outcome(self, end: AttemptEnd) -> Outcome:
        match end.kind:
            case EndKind.COMPLETED:
                return Outcome.COMPLETED
            case EndKind.NOT_TAKEN | EndKind.REFUSED:
                return Outcome.REFUSED
            case EndKind.BROKEN:
                return broken_outcome(end)
