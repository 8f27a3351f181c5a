"""Connects the WSGI application to calls of plain services."""

import urllib.parse

from result import Ok, Result

from boragedeck.exceptions import RefusedError
from boragedeck.ids import OrganisationName
from boragedeck.request.call import CallService
from boragedeck.request.calls import CallRequest, error_response
from boragedeck.request.streaming import Response
from boragedeck.version.tables import Route

__all__ = ["CallEdge"]

RETRY_COUNT_HEADERS = ("HTTP_X_RETRY_COUNT", "HTTP_X_STAINLESS_RETRY_COUNT")
"""Headers in which callers count their retries; 0 means that the key is new."""


class CallEdge:
    """Converts WSGI requests to calls, and their results to responses.

    Parameters
    ----------
    calls : CallService
        Forwards the calls.
    """

    def __init__(self, calls: CallService):
        self._calls = calls

    def __call__(
        self,
        organisation: OrganisationName,
        route: Route,
        path: str,
        environ: dict,
        body: bytes,
    ) -> Result[Response, RefusedError]:
        """Serve one call; an error is returned as a response with the request's id.

        Parameters
        ----------
        organisation : OrganisationName
            The caller's organisation.
        route : Route
            The route.
        path : str
            The unescaped path after the route's name.
        environ : dict
            The WSGI environment.
        body : bytes
            The complete body.
        """
        req = CallRequest(
            organisation=organisation,
            route=route.name,
            method=environ["REQUEST_METHOD"],
            target=_target(path, environ),
            headers=tuple(environ.get("headers_raw", ())),
            body=body,
            idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY"),
            is_first_attempt=any(
                environ.get(name) == "0" for name in RETRY_COUNT_HEADERS
            ),
        )
        answer = self._calls.handle(req)
        if answer.is_err():
            response = error_response(answer.err(), req.request_id)
        else:
            response = answer.ok()
        headers = list(response.headers)
        return Ok(Response(response.status, headers, [response.body], route.name))


def _target(path: str, environ: dict) -> str:
    """Return the path with the caller's own escapes, and the query."""
    raw = environ.get("RAW_PATH_INFO", "")
    parts = raw.split("/", 3)
    is_raw = len(parts) == 4 and parts[1] == "svc"
    target = f"/{parts[3]}" if is_raw else urllib.parse.quote(path)
    query = environ.get("QUERY_STRING", "")
    return f"{target}?{query}" if query else target
