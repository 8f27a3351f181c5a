"""HTTP calls to plain services, split into connecting and sending the request.

A plain service is an upstream that is not a model engine.
"""

import http.client
import ssl
from typing import Protocol

import eventlet
import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection, HTTPSConnection

from boragedeck.connection.http_message import FINAL_STATUSES
from boragedeck.exceptions import (
    UpstreamError,
    UpstreamRefusedError,
    UpstreamSilentError,
)
from boragedeck.version.tables import Upstream

__all__ = [
    "HttpServices",
    "ServiceConnection",
    "ServiceRequest",
    "ServiceResponse",
    "Services",
]

MAX_RESPONSE_BYTES = 1024 * 1024
READ_BYTES = 64 * 1024


class ServiceRequest(msgspec.Struct, frozen=True):
    """Request to a service.

    Parameters
    ----------
    method : str
        The HTTP method.
    target : str
        Path and query, starting with a slash.
    headers : tuple of (str, str)
        Headers, without hop-by-hop ones.
    body : bytes
        The body.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class ServiceResponse(msgspec.Struct, frozen=True):
    """Response of a service, including hop-by-hop headers."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class ServiceConnection(Protocol):
    """A connection to a service on which no request has been sent yet."""

    def exchange(
        self, req: ServiceRequest, timeout_s: float
    ) -> Result[ServiceResponse, UpstreamError]:
        """Send one request and read its response within `timeout_s`.

        Notes
        -----
        After an error, the service may have run the request; `UpstreamSilentError`
        means that the time is over. The connection is always closed afterwards.
        """

    def close(self) -> None:
        """Close the connection."""


class Services(Protocol):
    """Opens connections to services."""

    def connect(
        self, upstream: Upstream, timeout_s: float
    ) -> Result[ServiceConnection, UpstreamRefusedError]:
        """Open a connection within `timeout_s`, without sending a byte of a request.

        After an error, the service has thus not run the request.
        """


class HttpServices:
    """Opens a new connection for each request.

    Parameters
    ----------
    tls : ssl.SSLContext, optional
        Verifies services whose URL begins with ``https``.

    Notes
    -----
    A service may close a kept connection just while a request is written; then it is
    unknown whether the request ran. A new connection costs one round trip and avoids
    this case.
    """

    def __init__(self, tls: ssl.SSLContext | None = None):
        self._tls = tls

    def connect(
        self, upstream: Upstream, timeout_s: float
    ) -> Result[ServiceConnection, UpstreamRefusedError]:
        """Open a connection; see `Services.connect`."""
        error_context = {"step": "connect", "peer": upstream.name}
        conn = self._new_connection(upstream, timeout_s)
        try:
            with eventlet.Timeout(max(0.0, timeout_s)):
                conn.connect()
        except (urllib3.exceptions.HTTPError, OSError, eventlet.Timeout) as exc:
            conn.close()
            return Err(UpstreamRefusedError(str(exc) or "timeout", **error_context))
        return Ok(_HttpServiceConnection(conn, upstream))

    def _new_connection(self, upstream: Upstream, timeout_s: float) -> HTTPConnection:
        url = urllib3.util.parse_url(upstream.url)
        if url.scheme == "https":
            return HTTPSConnection(
                url.host, url.port, timeout=timeout_s, ssl_context=self._tls
            )
        return HTTPConnection(url.host, url.port, timeout=timeout_s)


class _HttpServiceConnection:
    def __init__(self, conn: HTTPConnection, upstream: Upstream):
        self._conn = conn
        self._upstream = upstream

    def exchange(
        self, req: ServiceRequest, timeout_s: float
    ) -> Result[ServiceResponse, UpstreamError]:
        error_context = {"step": "exchange", "peer": self._upstream.name}
        try:
            with eventlet.Timeout(max(0.0, timeout_s)):
                return self._exchange(req, timeout_s)
        except eventlet.Timeout:
            return Err(UpstreamSilentError("no response in time", **error_context))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            return Err(UpstreamError(str(exc) or type(exc).__name__, **error_context))
        except http.client.HTTPException as exc:
            return Err(UpstreamError(type(exc).__name__, **error_context))
        finally:
            self._conn.close()

    def close(self) -> None:
        self._conn.close()

    def _exchange(
        self, req: ServiceRequest, timeout_s: float
    ) -> Result[ServiceResponse, UpstreamError]:
        self._conn.timeout = timeout_s
        prefix = urllib3.util.parse_url(self._upstream.url).path or ""
        self._conn.request(
            req.method,
            prefix.rstrip("/") + req.target,
            body=req.body or None,
            headers=urllib3.HTTPHeaderDict(req.headers),
            preload_content=False,
            decode_content=False,
        )
        response = self._conn.getresponse()
        # `http.client` takes 600 to 999, and interim answers but 100, for final ones.
        if response.status not in FINAL_STATUSES:
            text = f"invalid status {response.status}"
            return Err(UpstreamError(text, step="read", peer=self._upstream.name))
        body = bytearray()
        # A truncated body is only detected by the read that reaches its end.
        while part := response.read(READ_BYTES, decode_content=False):
            body += part
            if len(body) > MAX_RESPONSE_BYTES:
                text = f"the response is longer than {MAX_RESPONSE_BYTES} bytes"
                return Err(UpstreamError(text, step="read", peer=self._upstream.name))
        headers = tuple(response.headers.iteritems())
        return Ok(ServiceResponse(response.status, headers, bytes(body)))
