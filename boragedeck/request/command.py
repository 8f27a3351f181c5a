"""Runs calls that may not be repeated: stores an intent, then sends at most once."""

from collections.abc import Callable

import eventlet
import msgspec
from eventlet.event import Event
from result import Err, Ok, Result

from boragedeck.connection.service import ServiceConnection, Services
from boragedeck.exceptions import RefusedError, StoreError, UpstreamSilentError
from boragedeck.ids import ExecutionStatus, RouteName, RouterId
from boragedeck.interfaces import Chooser, Outcome, Slot
from boragedeck.process.answering.intent_log import Attempt, Found, IntentLog, Started
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.store_breaker import StoreBreaker
from boragedeck.process.timers import TimerService
from boragedeck.request import call_errors
from boragedeck.request.call_headers import response_headers
from boragedeck.request.calls import Call, CallResponse
from boragedeck.request.intents import IntentRow, IntentState

__all__ = ["CommandRunner"]

BEGIN_TIMEOUT_S = 3.0
"""Time limit for writing the intent."""
CONNECT_TIMEOUT_S = 1.0
MAX_CONNECT_ATTEMPTS = 3
MAX_RUNNING_COMMANDS = 4096
MAX_SEND_DELAY_S = 60.0
"""Longest time from storing the intent until the command is sent; far below the age at
which intents are pruned."""
LATE_ANSWER_S = 300.0
"""How long after the caller's deadline the router waits for the service's answer."""
REFUSAL_READ_TIMEOUT_S = 1.5
"""How long a refusal may be delayed to read whether the command ran."""
IN_PROGRESS_WAIT_S = 5.0
"""Longest wait for the outcome of another router's attempt with the same key."""
FIRST_POLL_INTERVAL_S = 0.1
MAX_POLL_INTERVAL_S = 1.0
REPLAYED_HEADER = ("Idempotency-Replayed", "true")

_log = PartLog("call")

Answer = Result[CallResponse, RefusedError]


class _CommandRun:
    """A command that is running here; `done` is sent its answer."""

    def __init__(self, request_hash: str):
        self.request_hash = request_hash
        self.done = Event()


class CommandRunner:
    """Runs commands, each at most once over all routers.

    Parameters
    ----------
    log : IntentLog
        Reads and writes intents.
    breaker : StoreBreaker
        Estimates when the store will be available again.
    chooser : Chooser
        Chooses upstreams.
    services : Services
        Opens connections.
    timers : TimerService
        The clock and timers.
    is_alive : callable
        Returns False for a router that is known to have failed or left.

    Notes
    -----
    A command runs in a green thread of its own, so that it continues and its outcome
    is recorded even if the caller disconnects. At most `MAX_RUNNING_COMMANDS` run at
    the same time.
    """

    def __init__(
        self,
        log: IntentLog,
        breaker: StoreBreaker,
        chooser: Chooser,
        services: Services,
        timers: TimerService,
        is_alive: Callable[[RouterId], bool] = lambda router: True,
    ):
        self._log = log
        self._breaker = breaker
        self._chooser = chooser
        self._services = services
        self._timers = timers
        self._is_alive = is_alive
        self._running: dict[str, _CommandRun] = {}
        self._recent_refusals: dict[RouteName, tuple[float, RefusedError]] = {}

    def run(self, call: Call) -> Answer:
        """Run a command, or wait for the running command with the same key.

        Parameters
        ----------
        call : Call
            The command.

        Returns
        -------
        Result
            The service's response, or an error whose `ran` says whether the command
            ran.
        """
        run = self._running.get(call.key.row_key)
        if run is None:
            unsettled_row = self._log.unsettled_row(call.key.row_key)
            if unsettled_row is not None:
                return self._answer_from_row(call, unsettled_row)
            refusal = self._early_refusal(call)
            if refusal is not None:
                return self._refuse_unsent(call, refusal)
            run = _CommandRun(call.key.request_hash)
            self._running[call.key.row_key] = run
            eventlet.spawn_n(self._execute, call, run)
        if run.request_hash != call.key.request_hash:
            return Err(call_errors.key_reused())
        if not self._timers.wait(run.done, call.deadline - self._timers.now()):
            return Err(call_errors.in_progress(status=504))
        return run.done.wait()

    def running(self) -> int:
        """Return the number of commands that are running."""
        return len(self._running)

    def _early_refusal(self, call: Call) -> RefusedError | None:
        if len(self._running) >= MAX_RUNNING_COMMANDS:
            return call_errors.overloaded()
        # Refusing before an intent is stored saves a write.
        until, refusal = self._recent_refusals.get(call.route.name, (0.0, None))
        return refusal if self._timers.now() < until else None

    def _execute(self, call: Call, run: _CommandRun) -> None:
        answer: Answer = Err(call_errors.outcome_unknown())
        try:
            answer = self._begin(call)
        except Exception as exc:
            _log.write("Call failed.", request=call.name, error=repr(exc))
        finally:
            del self._running[call.key.row_key]
            run.done.send(answer)

    def _begin(self, call: Call) -> Answer:
        deadline = min(call.deadline, self._timers.now() + BEGIN_TIMEOUT_S)
        send_by = self._timers.now() + MAX_SEND_DELAY_S
        match self._log.begin(call.key, deadline):
            case Ok(Started(attempt)):
                _log.write(
                    "Intent written.",
                    request=call.name,
                    route=call.route.name,
                    attempt=attempt.row.attempt,
                )
                return self._send(call, attempt, min(call.deadline, send_by))
            case Ok(Found(row)):
                _log.write(
                    "Intent found.",
                    request=call.name,
                    attempt=row.attempt,
                    state=row.state.value,
                    owner=row.router,
                )
                return self._await_other_router(call, row)
            case Err(exc):
                _log.write("Intent not written.", request=call.name, error=str(exc))
                refusal = call_errors.store_unavailable(self._breaker.retry_after_s())
                return self._refuse_unsent(call, refusal)

    def _send(self, call: Call, attempt: Attempt, send_by: float) -> Answer:
        try:
            connected = self._connect(call, send_by)
        except Exception:
            self._log.abandon(attempt)
            raise
        if connected.is_err():
            self._log.abandon(attempt)
            _log.write("Not sent.", request=call.name, code=connected.err().code)
            return connected
        slot, conn = connected.ok()
        try:
            return self._exchange(call, attempt, slot, conn)
        except Exception:
            slot.finish(Outcome.CRASHED)
            self._log.mark_unknown(attempt)
            raise

    def _connect(
        self, call: Call, send_by: float
    ) -> Result[tuple[Slot, ServiceConnection], RefusedError]:
        slot_request = call.slot_request
        refusal = call_errors.unreachable(call.pool.name)
        for _ in range(MAX_CONNECT_ATTEMPTS):
            acquired = self._chooser.acquire(slot_request)
            if acquired.is_err():
                self._remember_refusal(call, acquired.err())
                return Err(call_errors.with_ran(acquired.err(), ExecutionStatus.NO))
            slot = acquired.ok()
            connected = self._services.connect(slot.upstream, CONNECT_TIMEOUT_S)
            if self._timers.now() >= send_by:
                slot.finish(Outcome.CANCELLED)
                if connected.is_ok():
                    connected.ok().close()
                return Err(refusal)
            if connected.is_ok():
                return Ok((slot, connected.ok()))
            slot.finish(Outcome.REFUSED)
            excluded = slot_request.excluded | {slot.upstream.name}
            slot_request = msgspec.structs.replace(slot_request, excluded=excluded)
        return Err(refusal)

    def _exchange(
        self, call: Call, attempt: Attempt, slot: Slot, conn: ServiceConnection
    ) -> Answer:
        remaining_s = call.deadline - self._timers.now()
        _log.write(
            "Sent.",
            request=call.name,
            attempt=attempt.row.attempt,
            upstream=slot.upstream.name,
        )
        exchanged = conn.exchange(call.request, remaining_s + LATE_ANSWER_S)
        match exchanged:
            case Ok(response):
                failed = response.status >= 500
                slot.finish(Outcome.FAILED if failed else Outcome.COMPLETED)
                headers = response_headers(response.headers)
                response = msgspec.structs.replace(response, headers=headers)
                self._log.finish(attempt, response)
                _log.write("Answered.", request=call.name, status=response.status)
                return Ok(CallResponse(response.status, headers, response.body))
            case Err(exc):
                silent = isinstance(exc, UpstreamSilentError)
                slot.finish(Outcome.SILENT if silent else Outcome.CRASHED)
                self._log.mark_unknown(attempt)
                _log.write("Outcome unknown.", request=call.name, error=str(exc))
                return Err(call_errors.outcome_unknown(peer=exc.peer))

    def _await_other_router(self, call: Call, row: IntentRow) -> Answer:
        """Wait for the outcome of another router's attempt, for a limited time."""
        give_up_at = min(call.deadline, self._timers.now() + IN_PROGRESS_WAIT_S)
        poll_interval_s = FIRST_POLL_INTERVAL_S
        while row.state is IntentState.INTENDED:
            if row.request_hash != call.key.request_hash:
                return Err(call_errors.key_reused())
            # All attempts of this router are in `_running` or settled, so an open row
            # of this process belongs to an attempt that will not be completed.
            may_complete = row.router != self._log.own and self._is_alive(row.router)
            if not may_complete:
                return Err(
                    call_errors.outcome_unknown(
                        peer=row.router, retry_after_s=call_errors.UNKNOWN_RETRY_AFTER_S
                    )
                )
            if self._timers.now() + poll_interval_s > give_up_at:
                return Err(call_errors.in_progress())
            self._timers.sleep(poll_interval_s)
            poll_interval_s = min(poll_interval_s * 2.0, MAX_POLL_INTERVAL_S)
            read = self._log.read(call.key.row_key)
            row = read.unwrap_or(row) or row
        if row.state is IntentState.ABANDONED:
            return self._begin(call)
        return self._answer_from_row(call, row)

    def _answer_from_row(self, call: Call, row: IntentRow) -> Answer:
        if row.request_hash != call.key.request_hash:
            return Err(call_errors.key_reused())
        if row.response is None:
            return Err(call_errors.outcome_unknown(peer=row.router))
        body = self._log.body(row)
        if body.ok() is None:
            is_lost = body.is_ok()
            return Err(call_errors.body_unavailable(is_lost=is_lost))
        _log.write("Replayed.", request=call.name, attempt=row.attempt)
        headers = (*row.response.headers, REPLAYED_HEADER)
        return Ok(CallResponse(row.response.status, headers, body.ok()))

    def _refuse_unsent(self, call: Call, refusal: RefusedError) -> Answer:
        """Refuse a command that was not sent for this request.

        Notes
        -----
        An earlier request with the same key may have run it. The error says "did not
        run" only if the key is new, or if the store has no row or an abandoned one.
        """
        if call.is_new_key:
            return Err(call_errors.with_ran(refusal, ExecutionStatus.NO))
        match self._read_row(call.key.row_key):
            case Ok(None):
                return Err(call_errors.with_ran(refusal, ExecutionStatus.NO))
            case Ok(row) if row.state is IntentState.ABANDONED:
                return Err(call_errors.with_ran(refusal, ExecutionStatus.NO))
            case Ok(row) if row.state is IntentState.INTENDED:
                return Err(call_errors.in_progress())
            case Ok(row):
                return self._answer_from_row(call, row)
            case _:
                return Err(call_errors.earlier_outcome_unreadable(refusal))

    def _read_row(self, row_key: str) -> Result[IntentRow | None, StoreError] | None:
        """Read a row; return None after `REFUSAL_READ_TIMEOUT_S` without a result."""
        read = Event()
        eventlet.spawn_n(lambda: read.send(self._log.read(row_key)))
        return read.wait() if self._timers.wait(read, REFUSAL_READ_TIMEOUT_S) else None

    def _remember_refusal(self, call: Call, refusal: RefusedError) -> None:
        hold_s = min(refusal.retry_after_s or 0.0, call_errors.OVERLOAD_RETRY_AFTER_S)
        until = self._timers.now() + hold_s
        self._recent_refusals[call.route.name] = (until, refusal)
