"""Types of a call to a plain service."""

import uuid

import msgspec

from boragedeck.connection.service import ServiceRequest
from boragedeck.exceptions import RefusedError
from boragedeck.ids import OrganisationName, RouteName
from boragedeck.interfaces import SlotRequest
from boragedeck.request.intents import CommandKey
from boragedeck.version.tables import Pool, Route

__all__ = [
    "Call",
    "CallRequest",
    "CallResponse",
    "error_response",
]

JSON_TYPE = ("Content-Type", "application/json")


def _new_id() -> str:
    return uuid.uuid4().hex


class CallRequest(msgspec.Struct, frozen=True):
    """A caller's request to a plain service.

    Parameters
    ----------
    organisation : OrganisationName
        The organisation that owns the API key.
    route : RouteName
        The route in the path.
    method : str
        The HTTP method.
    target : str
        The path after the route's name, starting with a slash, and the query.
    headers : tuple of (str, str)
        The caller's headers.
    body : bytes
        The complete body.
    idempotency_key : str or None
        The caller's ``Idempotency-Key``.
    is_first_attempt : bool
        Whether the caller reports that it has not sent this key before.
    generated_id : str
        The request's id if the caller sent no key.
    """

    organisation: OrganisationName
    route: RouteName
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    idempotency_key: str | None = None
    is_first_attempt: bool = False
    generated_id: str = msgspec.field(default_factory=_new_id)

    @property
    def request_id(self) -> str:
        """The id that is returned in ``X-Request-Id``, also with an error."""
        return self.idempotency_key or self.generated_id


class CallResponse(msgspec.Struct, frozen=True):
    """The response that is sent to the caller."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Call(msgspec.Struct, frozen=True):
    """A validated call.

    Parameters
    ----------
    key : CommandKey
        Identifies the command, if the call may not be repeated.
    route : Route
        The route of the call.
    pool : Pool
        The pool that serves the route.
    request : ServiceRequest
        The request that is sent to the service.
    slot_request : SlotRequest
        The request to the chooser for a slot on an upstream.
    is_new_key : bool
        Whether no earlier request can have used the key.
    deadline : float
        The latest time of the answer to the caller, on the monotonic clock.
    name : str
        Organisation and request id, for logs.
    """

    key: CommandKey
    route: Route
    pool: Pool
    request: ServiceRequest
    slot_request: SlotRequest
    is_new_key: bool
    deadline: float
    name: str = ""


class _ErrorObject(msgspec.Struct, frozen=True):
    message: str
    type: str
    code: str
    ran: str


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorObject


def error_response(exc: RefusedError, request_id: str) -> CallResponse:
    """Return the response that reports an error to the caller.

    Parameters
    ----------
    exc : RefusedError
        The error.
    request_id : str
        The request's id.
    """
    error = _ErrorObject(exc.message, exc.kind, exc.code, exc.ran.value)
    headers = [JSON_TYPE, ("X-Request-Id", request_id)]
    if exc.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(exc.retry_after_s)))))
    body = msgspec.json.encode(_ErrorBody(error))
    return CallResponse(exc.status, tuple(headers), body)
