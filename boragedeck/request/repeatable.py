"""Runs calls that may be repeated: retries on other upstreams, within a budget."""

import msgspec
from eventlet.event import Event
from result import Err, Ok, Result

from boragedeck.connection.service import Services
from boragedeck.exceptions import RefusedError, UpstreamSilentError
from boragedeck.ids import ExecutionStatus, RouteName
from boragedeck.interfaces import Chooser, Outcome, Slot
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.threads import end_thread, spawn_task
from boragedeck.process.timers import TimerService
from boragedeck.request import call_errors
from boragedeck.request.call_headers import response_headers
from boragedeck.request.calls import Call, CallResponse

__all__ = ["RepeatableRunner"]

CONNECT_TIMEOUT_S = 0.5
MAX_ATTEMPTS = 3
RETRIED_STATUSES = frozenset({502, 503, 504})
INITIAL_HEDGE_DELAY_S = 1.0
"""Time after which a call of a route without measured latencies is late."""
MIN_HEDGE_DELAY_S = 0.05
MAX_HEDGE_DELAY_S = 5.0
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
HEDGE_DEVIATIONS = 4.0
"""Number of mean deviations above the mean latency at which a call is late."""

_log = PartLog("call")

Answer = Result[CallResponse, RefusedError]


class _LatencyEstimate:
    """Estimates the latency of a route's calls, and when a call is late."""

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def observe(self, latency_s: float) -> None:
        if self._mean_s is None:
            self._mean_s = latency_s
            self._deviation_s = latency_s / 2
            return
        error = latency_s - self._mean_s
        self._mean_s += MEAN_GAIN * error
        self._deviation_s += DEVIATION_GAIN * (abs(error) - self._deviation_s)

    def hedge_delay_s(self) -> float:
        if self._mean_s is None:
            return INITIAL_HEDGE_DELAY_S
        late_s = self._mean_s + HEDGE_DEVIATIONS * self._deviation_s
        return min(max(late_s, MIN_HEDGE_DELAY_S), MAX_HEDGE_DELAY_S)


class _Race:
    """The attempts of one call; `pending` of them have not ended yet."""

    def __init__(self, call: Call):
        self.call = call
        self.excluded = call.slot_request.excluded
        self.attempts: list = []
        self.pending = 0
        self.is_retry_refused = False
        self.may_have_run = False
        self.answers: list[Answer] = []
        self.answered = Event()

    def put(self, answer: Answer) -> None:
        self.answers.append(answer)
        self.pending -= 1
        if not self.answered.ready():
            self.answered.send(None)

    def cancel(self) -> None:
        for thread in self.attempts:
            end_thread(thread)


class RepeatableRunner:
    """Runs calls that may run more than once, without a store.

    Parameters
    ----------
    chooser : Chooser
        Chooses upstreams.
    services : Services
        Opens connections.
    timers : TimerService
        The clock and timers.

    Notes
    -----
    A failed attempt is followed by another on a different upstream. If an attempt
    takes longer than the route's recent calls, the call is hedged: a second attempt
    runs in parallel and the first good answer is used, so that a slow upstream delays
    an answer but doesn't lose it. There are at most `MAX_ATTEMPTS`. The chooser
    recognises further attempts by their excluded upstreams, charges them to its retry
    budget and refuses them when the budget is spent.
    """

    def __init__(
        self,
        chooser: Chooser,
        services: Services,
        timers: TimerService,
    ):
        self._chooser = chooser
        self._services = services
        self._timers = timers
        self._latencies: dict[RouteName, _LatencyEstimate] = {}

    def run(self, call: Call) -> Answer:
        """Run a call.

        Parameters
        ----------
        call : Call
            The call.

        Returns
        -------
        Result
            The service's response, or an error.
        """
        race = _Race(call)
        try:
            self._start_attempt(race)
            return self._first_good_answer(race)
        finally:
            race.cancel()

    def _first_good_answer(self, race: _Race) -> Answer:
        last: Answer = Err(call_errors.upstream_failed(race.call.pool.name))
        while True:
            self._wait_for_answer(race)
            while race.answers:
                answer = race.answers.pop()
                if _is_good_answer(answer):
                    return answer
                # Prefer a service's response to the error of another attempt.
                last = last if last.is_ok() else answer
            if self._timers.now() >= race.call.deadline:
                return Err(call_errors.upstream_failed(race.call.pool.name))
            if not _is_exhausted(race):
                self._start_attempt(race)
            elif race.pending == 0:
                return _final_answer(race, last)

    def _wait_for_answer(self, race: _Race) -> None:
        """Wait for an answer, or until another attempt is due."""
        remaining_s = race.call.deadline - self._timers.now()
        if race.pending == 1 and not _is_exhausted(race):
            remaining_s = min(remaining_s, self._latency_of(race.call).hedge_delay_s())
        if self._timers.wait(race.answered, remaining_s):
            race.answered = Event()

    def _start_attempt(self, race: _Race) -> None:
        race.pending += 1
        race.attempts.append(spawn_task(self._run_attempt, race))

    def _run_attempt(self, race: _Race) -> None:
        answer: Answer = Err(call_errors.upstream_failed(race.call.pool.name))
        try:
            answer = self._attempt_once(race)
        except Exception as exc:
            _log.write("Call failed.", request=race.call.name, error=repr(exc))
        race.put(answer)

    def _attempt_once(self, race: _Race) -> Answer:
        slot_request = msgspec.structs.replace(
            race.call.slot_request, excluded=race.excluded
        )
        acquired = self._chooser.acquire(slot_request)
        if acquired.is_err():
            # No slot became free in time, or the retry budget is spent.
            race.is_retry_refused = True
            return acquired
        slot = acquired.ok()
        race.excluded |= {slot.upstream.name}
        try:
            return self._exchange(race, slot)
        finally:
            # Has an effect only if the attempt was killed before it released its slot.
            slot.finish(Outcome.CANCELLED)

    def _exchange(self, race: _Race, slot: Slot) -> Answer:
        connected = self._services.connect(slot.upstream, CONNECT_TIMEOUT_S)
        if connected.is_err():
            slot.finish(Outcome.REFUSED)
            return Err(call_errors.unreachable(slot.upstream.name))
        race.may_have_run = True
        _log.write("Sent.", request=race.call.name, upstream=slot.upstream.name)
        started = self._timers.now()
        remaining_s = race.call.deadline - started
        match connected.ok().exchange(race.call.request, remaining_s):
            case Ok(response):
                failed = response.status >= 500
                slot.finish(Outcome.FAILED if failed else Outcome.COMPLETED)
                if not failed:
                    self._latency_of(race.call).observe(self._timers.now() - started)
                _log.write("Answered.", request=race.call.name, status=response.status)
                headers = response_headers(response.headers)
                return Ok(CallResponse(response.status, headers, response.body))
            case Err(exc):
                silent = isinstance(exc, UpstreamSilentError)
                slot.finish(Outcome.SILENT if silent else Outcome.CRASHED)
                _log.write("Attempt failed.", request=race.call.name, error=str(exc))
                return Err(call_errors.upstream_failed(exc.peer))

    def _latency_of(self, call: Call) -> _LatencyEstimate:
        return self._latencies.setdefault(call.route.name, _LatencyEstimate())


def _is_exhausted(race: _Race) -> bool:
    return race.is_retry_refused or len(race.attempts) >= MAX_ATTEMPTS


def _is_good_answer(answer: Answer) -> bool:
    return answer.is_ok() and answer.ok().status not in RETRIED_STATUSES


def _final_answer(race: _Race, last: Answer) -> Answer:
    if last.is_ok():
        return last
    ran = ExecutionStatus.UNKNOWN if race.may_have_run else ExecutionStatus.NO
    return Err(call_errors.with_ran(last.err(), ran))
