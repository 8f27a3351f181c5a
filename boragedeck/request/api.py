"""The WSGI application for callers and operators."""

import re
import secrets
from collections.abc import Callable, Iterable
from http import HTTPStatus

import msgspec
from prometheus_client import generate_latest
from result import Err, Ok, Result

from boragedeck.connection.disconnect import DisconnectWatch
from boragedeck.connection.edge import CLOSE_CONNECTION, read_body
from boragedeck.exceptions import RefusedError
from boragedeck.ids import AnswerId, ExecutionStatus, OrganisationName
from boragedeck.interfaces import ConfigSource
from boragedeck.process.answering.answer_service import AnswerService
from boragedeck.process.keys import KeyRing
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.observing.metrics import Metrics
from boragedeck.request import openai
from boragedeck.request.answer import AnswerKey, Endpoint
from boragedeck.request.event_id import parse_event_id
from boragedeck.request.reader import AnswerReader
from boragedeck.request.streaming import Delivery, Response, deliver
from boragedeck.version.tables import Route, RouteKind

__all__ = ["Api", "StatusPage"]

ANSWER_ID = re.compile(r"[\x21-\x7e]{1,128}")
JSON_TYPE = ("Content-Type", "application/json")

_log = PartLog("api")

StatusPage = Callable[[], bytes]


class Api:
    """Routes requests to the components that serve them.

    Parameters
    ----------
    service : AnswerService
        Serves generations.
    config : ConfigSource
        The routes in force.
    keys : KeyRing
        Finds the organisation of an API key.
    metrics : Metrics
        Counts requests.
    status : callable
        Returns the status page in JSON.
    calls : callable or None
        Serves calls of plain services: takes the organisation, the route, the
        path after the route name, the WSGI environment and the body; returns a
        result with a `Response`. If None, there are no such calls.
    """

    def __init__(
        self,
        service: AnswerService,
        config: ConfigSource,
        keys: KeyRing,
        metrics: Metrics,
        status: StatusPage,
        calls: Callable[..., Result[Response, RefusedError]] | None = None,
    ):
        self._service = service
        self._config = config
        self._keys = keys
        self._metrics = metrics
        self._status = status
        self._calls = calls
        self.is_draining = False
        self.is_stopping = False

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request; see PEP 3333."""
        try:
            result = self._dispatch(environ)
        except RefusedError as exc:
            # The frames that it passed hold the body, and this one is among them.
            exc.__context__ = None
            result = Err(exc.with_traceback(None))
        except Exception as exc:
            _log.write(
                "Request failed.", path=environ.get("PATH_INFO"), error=repr(exc)
            )
            result = Err(_internal_error())
        response = result.ok() if result.is_ok() else _error_response(result.err())
        if response.closes_connection:
            environ[CLOSE_CONNECTION]()
        self._metrics.requests.labels(response.route, str(response.status)).inc()
        start_response(_status_line(response.status), response.headers)
        return response.body

    def _dispatch(self, environ: dict) -> Result[Response, RefusedError]:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        match path.split("/")[1:]:
            case ["-", "health"]:
                return Ok(Response(200, [JSON_TYPE], [b'{"status":"ok"}']))
            case ["-", "ready"]:
                return self._ready()
            case ["-", "status"]:
                return Ok(Response(200, [JSON_TYPE], [self._status()]))
            case ["metrics"]:
                text = generate_latest(self._metrics.registry)
                return Ok(Response(200, [("Content-Type", "text/plain")], [text]))
            case ["v1", "models"] if method == "GET":
                return self._models(self._organisation(environ))
            case ["v1", "chat", "completions"] if method == "POST":
                return self._generate(environ, Endpoint.CHAT)
            case ["v1", "completions"] if method == "POST":
                return self._generate(environ, Endpoint.TEXT)
            case ["v1", "answers", answer_id] if method == "GET":
                return self._reattach(environ, answer_id)
            case ["v1", "answers", answer_id] if method == "DELETE":
                return self._cancel(environ, answer_id)
            case ["svc", route, *rest]:
                return self._call(environ, route, "/" + "/".join(rest))
        return Err(_no_such_path_error(method, path))

    def _ready(self) -> Result[Response, RefusedError]:
        is_ready = not self.is_draining and self._config.current().revision > 0
        status, text = (200, b"ready") if is_ready else (503, b"not ready")
        return Ok(Response(status, [("Content-Type", "text/plain")], [text]))

    def _organisation(self, environ: dict) -> OrganisationName:
        scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        found = None
        if scheme.lower() == "bearer":
            found = self._keys.organisation(key.strip())
        if found is None:
            raise _unauthorized_error()
        return found

    def _models(self, organisation: OrganisationName) -> Result[Response, RefusedError]:
        routes = [
            {"id": r.name, "object": "model", "created": 0, "owned_by": r.pool}
            for r in self._config.current().routes
            if r.kind is RouteKind.GENERATION and r.allows(organisation)
        ]
        body = msgspec.json.encode({"object": "list", "data": routes})
        return Ok(Response(200, [JSON_TYPE], [body]))

    def _generate(
        self, environ: dict, endpoint: Endpoint
    ) -> Result[Response, RefusedError]:
        organisation = self._organisation(environ)
        body = read_body(environ)
        parsed = openai.parse_request(endpoint, body)
        if parsed.is_err():
            return parsed
        route = self._route(parsed.ok().model, organisation, RouteKind.GENERATION)
        spec = openai.to_spec(parsed.ok(), route, self._service.timers.wall())
        if spec.is_err():
            return spec
        if self.is_draining:
            return Err(_draining_error())
        caller_id = environ.get("HTTP_IDEMPOTENCY_KEY")
        key = AnswerKey(organisation, _answer_id(caller_id))
        source = self._service.start(key, spec.ok(), is_keyed=caller_id is not None)
        if source.is_err():
            _log_refusal(key, source.err())
            return source
        reader = AnswerReader(self._service, key, source.ok())
        return self._deliver(environ, reader, key, spec.ok().stream)

    def _reattach(
        self, environ: dict, answer_id: str
    ) -> Result[Response, RefusedError]:
        key = AnswerKey(self._organisation(environ), AnswerId(answer_id))
        received = parse_event_id(environ.get("HTTP_LAST_EVENT_ID"))
        if received.is_err():
            return received
        source = self._service.find(key, received.ok())
        if source.is_err():
            _log_refusal(key, source.err())
            return source
        position = received.ok().position if received.ok() is not None else 0
        _log.write("Reattached.", answer=str(key), position=position)
        reader = AnswerReader(self._service, key, source.ok(), received.ok())
        accepts = environ.get("HTTP_ACCEPT", "")
        wants_stream = "text/event-stream" in accepts or received.ok() is not None
        return self._deliver(environ, reader, key, wants_stream or None)

    def _deliver(
        self, environ: dict, reader: AnswerReader, key: AnswerKey, stream: bool | None
    ) -> Result[Response, RefusedError]:
        watch = DisconnectWatch(environ["wsgi.input"].get_socket())
        delivery = Delivery(
            reader=reader,
            key=key,
            stream=stream,
            timers=self._service.timers,
            is_disconnected=lambda: watch.is_closed,
            is_stopping=lambda: self.is_stopping,
            close=watch.stop,
        )
        return deliver(delivery)

    def _cancel(self, environ: dict, answer_id: str) -> Result[Response, RefusedError]:
        key = AnswerKey(self._organisation(environ), AnswerId(answer_id))
        result = self._service.cancel(key)
        if result.is_err():
            _log_refusal(key, result.err())
            return result
        body = msgspec.json.encode({"id": answer_id, "cancelled": True})
        return Ok(Response(200, [JSON_TYPE], [body]))

    def _call(
        self, environ: dict, name: str, path: str
    ) -> Result[Response, RefusedError]:
        organisation = self._organisation(environ)
        route = self._route(name, organisation, RouteKind.CALL)
        if self._calls is None:
            return Err(_no_such_path_error(environ["REQUEST_METHOD"], path))
        body = read_body(environ)
        if self.is_draining:
            is_known_not_run = route.repeatable or "HTTP_IDEMPOTENCY_KEY" not in environ
            return Err(
                _draining_error(
                    ExecutionStatus.NO if is_known_not_run else ExecutionStatus.UNKNOWN
                )
            )
        return self._calls(organisation, route, path, environ, body)

    def _route(
        self, name: str, organisation: OrganisationName, kind: RouteKind
    ) -> Route:
        route = self._config.current().route(name)
        if route is None or route.kind is not kind or not route.allows(organisation):
            raise _no_such_route_error(name)
        return route


def _log_refusal(key: AnswerKey, error: RefusedError) -> None:
    _log.write(
        "Refused.",
        answer=str(key),
        step=error.step,
        code=error.code,
        ran=error.ran.value,
    )


def _answer_id(caller_id: str | None) -> AnswerId:
    if caller_id is None:
        return AnswerId(f"ans-{secrets.token_hex(12)}")
    if not ANSWER_ID.fullmatch(caller_id) or "/" in caller_id:
        raise RefusedError(
            "Idempotency-Key must be 1 to 128 visible ASCII characters without '/'",
            status=400,
            kind="invalid_request_error",
            code="bad_idempotency_key",
            step="read Idempotency-Key",
        )
    return AnswerId(caller_id)


def _status_line(status: int) -> str:
    # Services may respond with a status that has no registered phrase.
    is_registered = status in HTTPStatus.__members__.values()
    return f"{status} {HTTPStatus(status).phrase if is_registered else 'Status'}"


def _error_response(error: RefusedError) -> Response:
    headers = [JSON_TYPE]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    # The rest of a body that was refused must not be read as the next request.
    closes_connection = error.step == "read body"
    return Response(
        error.status,
        headers,
        [openai.error_body(error)],
        closes_connection=closes_connection,
    )


def _unauthorized_error() -> RefusedError:
    return RefusedError(
        "the API key is missing or unknown",
        status=401,
        kind="authentication_error",
        code="invalid_api_key",
        step="check key",
    )


def _no_such_route_error(name: str) -> RefusedError:
    return RefusedError(
        f"the model {name[:100]!r} does not exist or you may not use it",
        status=404,
        kind="invalid_request_error",
        code="model_not_found",
        step="find route",
    )


def _no_such_path_error(method: str, path: str) -> RefusedError:
    return RefusedError(
        f"no such endpoint: {method[:10]} {path[:100]}",
        status=404,
        kind="invalid_request_error",
        code="not_found",
        step="find endpoint",
    )


def _draining_error(ran: ExecutionStatus = ExecutionStatus.NO) -> RefusedError:
    return RefusedError(
        "this router is stopping; retry through the load balancer",
        status=503,
        kind="server_error",
        code="router_stopping",
        ran=ran,
        retry_after_s=1.0,
        step="admit",
    )


def _internal_error() -> RefusedError:
    return RefusedError(
        "the router failed; it has logged the cause",
        status=500,
        kind="server_error",
        code="internal_error",
        ran=ExecutionStatus.UNKNOWN,
        step="serve request",
    )
