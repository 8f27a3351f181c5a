"""Forwards calls to plain services; the entry point for the HTTP edge."""

from result import Err, Ok, Result

from boragedeck.connection.service import ServiceRequest
from boragedeck.exceptions import RefusedError
from boragedeck.interfaces import ConfigSource, SlotRequest
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService
from boragedeck.request import call_errors
from boragedeck.request.call_headers import is_valid_header, request_headers
from boragedeck.request.calls import Call, CallRequest, CallResponse
from boragedeck.request.command import CommandRunner
from boragedeck.request.intents import CommandKey, command_key, request_hash
from boragedeck.request.repeatable import RepeatableRunner
from boragedeck.version.tables import Pool, Route, RouteKind

__all__ = ["CallService"]

MAX_KEY_CHARS = 255
METHODS = frozenset({"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"})

_log = PartLog("call")


class CallService:
    """Validates calls and forwards them to plain services.

    Parameters
    ----------
    cfg : ConfigSource
        The routes and pools in force.
    commands : CommandRunner
        Runs calls that may not be repeated.
    repeatables : RepeatableRunner
        Runs calls that may be repeated.
    timers : TimerService
        The clock and timers.
    """

    def __init__(
        self,
        cfg: ConfigSource,
        commands: CommandRunner,
        repeatables: RepeatableRunner,
        timers: TimerService,
    ):
        self._cfg = cfg
        self._commands = commands
        self._repeatables = repeatables
        self._timers = timers
        # The calls that may be repeated and are running.
        self._repeating = 0

    def handle(self, req: CallRequest) -> Result[CallResponse, RefusedError]:
        """Forward a call and return its response.

        Parameters
        ----------
        req : CallRequest
            The caller's request with its complete body.

        Returns
        -------
        Result
            The service's response with ``X-Request-Id``, or an error whose `ran`
            says whether the call ran; `error_response` gives the error's body.
        """
        checked = self._validate(req)
        if checked.is_err():
            return checked
        call = checked.ok()
        try:
            answer = self._run(call)
        except Exception as exc:
            _log.write("Call failed.", request=call.name, error=repr(exc))
            return Err(call_errors.outcome_unknown())
        if answer.is_err():
            _log_refusal(call, answer.err())
        return answer.map(lambda response: _with_request_id(response, req.request_id))

    def running(self) -> int:
        """Return the number of calls that are running."""
        return self._commands.running() + self._repeating

    def _run(self, call: Call) -> Result[CallResponse, RefusedError]:
        if not call.route.repeatable:
            return self._commands.run(call)
        self._repeating += 1
        try:
            return self._repeatables.run(call)
        finally:
            self._repeating -= 1

    def _validate(self, req: CallRequest) -> Result[Call, RefusedError]:
        cfg = self._cfg.current()
        route = cfg.route(req.route)
        allowed = route is not None and route.allows(req.organisation)
        if not allowed or route.kind is not RouteKind.CALL:
            return Err(call_errors.unknown_route(req.route))
        pool = cfg.pool(route.pool)
        if pool is None:
            return Err(call_errors.unreachable(route.pool))
        invalid_reason = _invalid_reason(req)
        if invalid_reason:
            return Err(call_errors.bad_request(invalid_reason))
        return Ok(self._build_call(req, route, pool))

    def _build_call(self, req: CallRequest, route: Route, pool: Pool) -> Call:
        now = self._timers.now()
        deadline = now + route.limits.deadline_s
        content = request_hash(req.method, req.target, req.body)
        is_minted = req.idempotency_key is None
        row_key = command_key(req.organisation, route.name, req.request_id)
        headers = request_headers(req.headers, req.organisation, req.request_id)
        return Call(
            key=CommandKey(row_key, content, is_minted),
            route=route,
            pool=pool,
            request=ServiceRequest(req.method, req.target, headers, req.body),
            slot_request=SlotRequest(
                route=route,
                pool=pool,
                organisation=req.organisation,
                version=route.version,
                prompt_tokens=0,
                # Calls have no cached prefix; each is routed by its own key.
                prefix_hash=int(row_key[:16], 16),
                fingerprint=_fingerprint(req, route),
                deadline=min(deadline, now + route.limits.queue_s),
            ),
            is_new_key=is_minted or req.is_first_attempt,
            deadline=deadline,
            name=f"{req.organisation}/{req.request_id}",
        )


def _log_refusal(call: Call, error: RefusedError) -> None:
    _log.write(
        "Refused.",
        request=call.name,
        step=error.step,
        code=error.code,
        ran=error.ran.value,
    )


def _fingerprint(req: CallRequest, route: Route) -> str:
    """Return the fingerprint that identifies a request that crashes upstreams.

    Notes
    -----
    Commands have no fingerprint. Kiosks send the same few commands again and again,
    so if two services were lost for another reason, a command would be blocked for
    good. Moreover, each key reaches at most one upstream.
    """
    if not route.repeatable:
        return ""
    place = f"{req.organisation}\0{route.name}\0{req.target}"
    return request_hash(req.method, place, req.body)


def _invalid_reason(req: CallRequest) -> str | None:
    """Return why a request can't be forwarded unchanged; None if it can."""
    if req.method not in METHODS:
        return f"method {req.method[:20]!r} is not supported"
    if not req.target.startswith("/") or not _is_printable_ascii(req.target):
        return "the path contains characters that must be escaped"
    if req.idempotency_key is not None and not _is_valid_key(req.idempotency_key):
        return f"Idempotency-Key must have 1 to {MAX_KEY_CHARS} printable characters"
    for name, value in req.headers:
        if not is_valid_header(name, value):
            return f"header {name[:40]!r} is not valid"
    return None


def _is_valid_key(key: str) -> bool:
    return 0 < len(key) <= MAX_KEY_CHARS and _is_printable_ascii(key)


def _is_printable_ascii(text: str) -> bool:
    return text.isascii() and text.isprintable() and " " not in text


def _with_request_id(response: CallResponse, request_id: str) -> CallResponse:
    headers = (*response.headers, ("X-Request-Id", request_id))
    return CallResponse(response.status, headers, response.body)
