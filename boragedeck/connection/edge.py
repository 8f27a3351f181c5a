"""WSGI server for callers, with limits on the resources of each connection.

See Also
--------
boragedeck.connection.caller_edge : The server for callers of the relay.
"""

import io
from collections.abc import Callable

import eventlet
from eventlet import wsgi
from eventlet.green import socket
from eventlet.hubs import IOClosed

from boragedeck.connection.connection_table import (
    ConnectionBounds,
    IdleConnection,
    choose_idle,
    connection_bounds,
)
from boragedeck.connection.listening import DiscardingLog
from boragedeck.connection.memory_budget import Grant
from boragedeck.connection.reservation import (
    Reservation,
    ReservationService,
    unlimited_reservations,
)
from boragedeck.exceptions import RefusedError
from boragedeck.ids import ExecutionStatus
from boragedeck.process.timers import RealTimers

__all__ = [
    "CLOSE_CONNECTION",
    "MAX_CONNECTIONS",
    "CallerConnections",
    "read_body",
    "serve_http",
]

CLOSE_CONNECTION = "boragedeck.close_connection"
"""WSGI environment key of a function that closes the connection after the response."""

RESERVATION = "boragedeck.reservation"
"""WSGI environment key of the `Reservation` of the request."""
MAX_CONNECTIONS = 4_096
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_LENGTH_DIGITS = 18
MAX_REQUEST_LINE_BYTES = 8_192
READ_BYTES = 64 * 1024
NO_ROOM_RETRY_S = 1.0
"""When a caller may send a body again for which there was no room, in seconds."""
IDLE_TIMEOUT_S = 75.0
HEADERS_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 20.0
SOCKET_TIMEOUT_S = 30.0
"""Maximum time that one read or write may block, in seconds."""
SEND_BUFFER_BYTES = 32 * 1024
"""Small, so that a caller that doesn't read is detected early."""


class CallerConnections:
    """The open connections of callers, of which idle ones are closed for new ones.

    Parameters
    ----------
    bounds : ConnectionBounds
        How many are open.
    on_closed_idle : callable, optional
        Called when an idle connection is closed for a new one.
    closes_busy : bool, optional
        Whether connections with a request count as idle, too. It suits an address whose
        requests are short, so that one which lasts is mostly not complete.
    """

    def __init__(
        self,
        bounds: ConnectionBounds,
        on_closed_idle: Callable[[], None] = lambda: None,
        *,
        closes_busy: bool = False,
    ):
        self.bounds = bounds
        self._on_closed_idle = on_closed_idle
        self._closes_busy = closes_busy
        # The address of each open connection; the idle ones, the longest idle first.
        self._addresses: dict[_Protocol, str] = {}
        self._idle: dict[_Protocol, None] = {}

    def add(self, conn: "_Protocol", address: str) -> None:
        """Add a connection; close an idle one if there are too many."""
        self._addresses[conn] = address
        if len(self._addresses) <= self.bounds.served:
            return
        idle = (
            IdleConnection(each, self._addresses[each], rank)
            for rank, each in enumerate(self._idle)
        )
        chosen = choose_idle(self._addresses.values(), idle)
        if chosen is not None:
            self._on_closed_idle()
            self.remove(chosen.key)
            chosen.key.shut_down(socket.SHUT_RDWR)

    def remove(self, conn: "_Protocol") -> None:
        """Remove a connection, which has ended; may be called twice."""
        self._addresses.pop(conn, None)
        self._idle.pop(conn, None)

    def note_idle(self, conn: "_Protocol") -> None:
        """Record that a connection waits for a request."""
        self._idle.pop(conn, None)
        if conn in self._addresses:
            self._idle[conn] = None

    def note_busy(self, conn: "_Protocol") -> None:
        """Record that a request has begun to arrive."""
        if self._closes_busy:
            self.note_idle(conn)
        else:
            self._idle.pop(conn, None)


class _Protocol(wsgi.HttpProtocol):
    """Closes connections whose requests take too long to arrive."""

    # Set by `serve_http`, in a subclass.
    reservations: ReservationService
    connections: CallerConnections

    def setup(self):
        super().setup()
        self.connections.add(self, self._address)

    def finish(self):
        self.connections.remove(self)
        try:
            super().finish()
        finally:
            # Left open by the base class if the caller has gone and a part of an answer
            # can't be sent; the descriptor would wait for the garbage collector.
            self.rfile.close()

    def shut_down(self, how: int) -> None:
        """Shut down a direction of the connection, which wakes its green thread."""
        try:
            self.connection.shutdown(how)
        except OSError:
            # The caller has already closed the connection.
            pass

    @property
    def _address(self) -> str:
        return str(self.client_address[0])

    def _read_request_line(self):
        # An empty line closes the connection; it is also the result of a timeout.
        line = b""
        self.connections.note_idle(self)
        with eventlet.Timeout(IDLE_TIMEOUT_S, False):
            line = super()._read_request_line()
        self.connections.note_busy(self)
        return line

    def get_environ(self):
        environ = super().get_environ()
        environ[CLOSE_CONNECTION] = self._close_after_response
        environ[RESERVATION] = self._reservation
        return environ

    def handle_one_request(self):
        self._reservation = self.reservations.open(self._address, self._cut)
        try:
            super().handle_one_request()
        finally:
            self._reservation.close()
            # The body isn't kept until the next request.
            self.environ = None

    def _cut(self):
        """End the request, whose body comes slowly, since others need the bytes."""
        self.shut_down(socket.SHUT_RD)

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


def serve_http(
    listener: socket.socket,
    app,
    reservations: ReservationService | None = None,
    connections: CallerConnections | None = None,
) -> None:
    """Serve a WSGI application until the listener is closed.

    Parameters
    ----------
    listener : socket
        A listening socket.
    app : callable
        The application.
    reservations : ReservationService, optional
        Reserves the bytes of bodies; without a limit by default.
    connections : CallerConnections, optional
        The connections that are open; `MAX_CONNECTIONS` at most by default.
    """
    reservations = reservations or unlimited_reservations(RealTimers())
    connections = connections or CallerConnections(
        connection_bounds(None, MAX_CONNECTIONS)
    )
    bounds = connections.bounds
    fields = {"reservations": reservations, "connections": connections}
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        wsgi.server(
            listener,
            app,
            log_output=False,
            debug=False,
            protocol=type("_ServerProtocol", (_Protocol,), fields),
            max_size=bounds.served + bounds.refused,
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
        (400), or if there is no room for it (503).
    """
    reservation = environ.get(RESERVATION)
    text = environ.get("CONTENT_LENGTH") or "0"
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS):
        raise _bad_body_error("has no valid Content-Length", 400)
    length = int(text)
    if length > MAX_BODY_BYTES:
        raise _too_long_error()
    is_chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    # Its value is no copy, unlike that of a bytearray.
    body = io.BytesIO()
    size = 0
    try:
        _take(reservation, length)
        with eventlet.Timeout(BODY_TIMEOUT_S):
            while is_chunked or size < length:
                max_bytes = READ_BYTES if is_chunked else min(READ_BYTES, length - size)
                part = environ["wsgi.input"].read(max_bytes)
                if not part:
                    break
                size += len(part)
                if size > MAX_BODY_BYTES:
                    raise _too_long_error()
                if is_chunked:
                    _take(reservation, len(part))
                body.write(part)
                _note_moved(reservation, len(part))
    except eventlet.Timeout:
        raise _slow_body_error() from None
    except (OSError, ValueError):
        # A cut ends chunks in their middle.
        if reservation is not None and reservation.is_cut:
            raise _slow_body_error() from None
        raise _bad_body_error("could not be read", 400) from None
    if reservation is not None:
        if reservation.is_cut:
            raise _slow_body_error()
        reservation.note_received()
    if not is_chunked and size < length:
        raise _bad_body_error("was cut off", 400)
    return body.getvalue()


def _take(reservation: Reservation | None, count: int) -> None:
    """Reserve bytes of a body."""
    if reservation is None:
        return
    match reservation.take_body(count):
        case Grant.NO_ROOM:
            raise _no_room_error()
        case Grant.TOO_LARGE:
            raise _too_long_error()


def _note_moved(reservation: Reservation | None, count: int) -> None:
    if reservation is not None:
        reservation.note_moved(count)


def _no_room_error() -> RefusedError:
    return RefusedError(
        "there is no room for the request body",
        status=503,
        kind="server_error",
        code="no_room_for_body",
        ran=ExecutionStatus.NO,
        retry_after_s=NO_ROOM_RETRY_S,
        step="read body",
    )


def _slow_body_error() -> RefusedError:
    return _bad_body_error("arrived too slowly", 408)


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
