"""Types of a call to a plain service, on its way through this router."""

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


def _mint() -> str:
    return uuid.uuid4().hex


class CallRequest(msgspec.Struct, frozen=True):
    """What a caller asks of a plain service.

    Parameters
    ----------
    organisation : OrganisationName
        The organisation of the API key.
    route : RouteName
        The route in the path.
    method : str
        The HTTP method.
    target : str
        Path behind the route's name and query, starting with a slash.
    headers : tuple of (str, str)
        The caller's headers.
    body : bytes
        The whole body.
    idempotency_key : str or None
        The caller's ``Idempotency-Key``.
    is_first : bool
        Whether the caller states that it never sent this key before.
    minted_id : str
        The request's id where the caller gave no key.
    """

    organisation: OrganisationName
    route: RouteName
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    idempotency_key: str | None = None
    is_first: bool = False
    minted_id: str = msgspec.field(default_factory=_mint)

    @property
    def request_id(self) -> str:
        """What the caller gets in ``X-Request-Id``, also with an error."""
        return self.idempotency_key or self.minted_id


class CallResponse(msgspec.Struct, frozen=True):
    """What the caller gets."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Call(msgspec.Struct, frozen=True):
    """A call that has been checked.

    Parameters
    ----------
    key : CommandKey
        Names it, where it may not be repeated.
    route : Route
        Its route.
    pool : Pool
        The pool that serves the route.
    request : ServiceRequest
        What the service gets.
    wanted : SlotRequest
        The place on an upstream that it needs.
    is_new_key : bool
        Whether no earlier request can have the key.
    deadline : float
        When its caller gets an answer at the latest, on the monotonic clock.
    name : str
        Organisation and request id, as logs give them.
    """

    key: CommandKey
    route: Route
    pool: Pool
    request: ServiceRequest
    wanted: SlotRequest
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
    """Return an error as its caller gets it.

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
