"""WSGI server for callers, with limits on the resources of each connection.

See Also
--------
boragedeck.connection.caller_edge : The server for callers of the relay.
"""

import eventlet
from eventlet import wsgi
from eventlet.green import socket
from eventlet.hubs import IOClosed

from boragedeck.connection.listening import DiscardingLog
from boragedeck.exceptions import RefusedError
from boragedeck.ids import ExecutionStatus

__all__ = ["CLOSE_CONNECTION", "read_body", "serve_http"]

CLOSE_CONNECTION = "boragedeck.close_connection"
"""WSGI environment key of a function that closes the connection after the response."""

MAX_CONNECTIONS = 4_096
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_LENGTH_DIGITS = 18
MAX_REQUEST_LINE_BYTES = 8_192
READ_BYTES = 64 * 1024
IDLE_TIMEOUT_S = 75.0
HEADERS_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 20.0
SOCKET_TIMEOUT_S = 30.0
"""Maximum time that one read or write may block, in seconds."""
SEND_BUFFER_BYTES = 32 * 1024
"""Small, so that a caller that doesn't read is detected early."""


class _Protocol(wsgi.HttpProtocol):
    """Closes connections whose requests take too long to arrive."""

    def _read_request_line(self):
        # An empty line closes the connection; it is also the result of a timeout.
        line = b""
        with eventlet.Timeout(IDLE_TIMEOUT_S, False):
            line = super()._read_request_line()
        return line

    def get_environ(self):
        environ = super().get_environ()
        environ[CLOSE_CONNECTION] = self._close_after_response
        return environ

    def _close_after_response(self):
        self.close_connection = True

    def log_message(self, *args):
        pass

    def parse_request(self):
        is_parsed = False
        with eventlet.Timeout(HEADERS_TIMEOUT_S, False):
            is_parsed = super().parse_request()
        if not is_parsed:
            self.close_connection = True
        return is_parsed


def serve_http(listener: socket.socket, app) -> None:
    """Serve a WSGI application until the listener is closed.

    Parameters
    ----------
    listener : socket
        A listening socket.
    app : callable
        The application.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        wsgi.server(
            listener,
            app,
            log_output=False,
            debug=False,
            protocol=_Protocol,
            max_size=MAX_CONNECTIONS,
            minimum_chunk_size=1,
            url_length_limit=MAX_REQUEST_LINE_BYTES,
            socket_timeout=SOCKET_TIMEOUT_S,
            log=DiscardingLog(),
        )
    except IOClosed:
        # The server is stopped by closing its listener.
        return


def read_body(environ: dict) -> bytes:
    """Read a request's whole body.

    Parameters
    ----------
    environ : dict
        The WSGI environment.

    Raises
    ------
    RefusedError
        If the body is too long (status 413), too slow (408), truncated or invalid
        (400).
    """
    text = environ.get("CONTENT_LENGTH") or "0"
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS):
        raise _bad_body_error("has no valid Content-Length", 400)
    length = int(text)
    if length > MAX_BODY_BYTES:
        raise _too_long_error()
    is_chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    body = bytearray()
    try:
        with eventlet.Timeout(BODY_TIMEOUT_S):
            while is_chunked or len(body) < length:
                max_bytes = (
                    READ_BYTES if is_chunked else min(READ_BYTES, length - len(body))
                )
                part = environ["wsgi.input"].read(max_bytes)
                if not part:
                    break
                body += part
                if len(body) > MAX_BODY_BYTES:
                    raise _too_long_error()
    except eventlet.Timeout:
        raise _bad_body_error("arrived too slowly", 408) from None
    except (OSError, ValueError):
        raise _bad_body_error("could not be read", 400) from None
    if not is_chunked and len(body) < length:
        raise _bad_body_error("was cut off", 400)
    return bytes(body)


def _too_long_error() -> RefusedError:
    return RefusedError(
        f"the request body is longer than {MAX_BODY_BYTES} bytes",
        status=413,
        kind="invalid_request_error",
        code="body_too_long",
        ran=ExecutionStatus.NO,
        step="read body",
    )


def _bad_body_error(text: str, status: int) -> RefusedError:
    return RefusedError(
        f"the request body {text}",
        status=status,
        kind="invalid_request_error",
        code="bad_body",
        ran=ExecutionStatus.NO,
        step="read body",
    )
