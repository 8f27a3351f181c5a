"""HTTP/1.1 server for callers whose requests are relayed."""

from collections.abc import Callable, Iterator

import eventlet
from eventlet.green import socket

from boragedeck.connection.caller_connection import CallerConnection, Handler
from boragedeck.connection.caller_ends import CallerDisconnectedError, UnansweredReason
from boragedeck.connection.connection_table import (
    ConnectionBounds,
    IdleConnection,
    choose_idle,
)
from boragedeck.connection.http_message import Headers
from boragedeck.connection.listening import accept_waiting, close_listener
from boragedeck.connection.reservation import (
    ReservationService,
    unlimited_reservations,
)
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService
from boragedeck.version.routing import CallerLimits

__all__ = ["MAX_CONNECTIONS", "CallerEdge"]

ACCEPT_PAUSE_S = 0.05
"""Pause after a failed accept, in seconds."""
MAX_CONNECTIONS = 3_000
MAX_REFUSED_CONNECTIONS = 300
"""Number of connections beyond these on which a request is refused."""
LOG_INTERVAL_S = 10.0
"""How often it is logged that there are too many connections."""

_log = PartLog("edge")


def _ignore_unanswered(reason: UnansweredReason) -> None:
    """Do nothing; the default of `CallerEdge.on_unanswered`."""


def _ignore_closed_idle() -> None:
    """Do nothing; the default of `CallerEdge.on_closed_idle`."""


class CallerEdge:
    """Accepts callers and handles their requests, one green thread per connection.

    Parameters
    ----------
    listener : socket
        A listening socket.
    limits : callable
        Returns the limits in force.
    handle : callable
        Answers a request through its channel. If it returns without finishing the
        response, the connection is closed.
    timers : TimerService
        The source of time.
    rejection_headers : list of tuple of bytes, optional
        Headers of the answers to requests that can't be read, and so aren't handled.
    reservations : ReservationService, optional
        Reserves the bytes that are held for callers; without a limit by default.
    bounds : ConnectionBounds, optional
        How many connections are open.
    closes_idle : bool, optional
        Whether idle connections are closed for new ones, if there are too many.
    send_buffer_bytes : int or None, optional
        Size of each connection's send buffer; None for the system's default.

    Attributes
    ----------
    is_leaving : bool
        Whether each connection is closed after its current response.
    is_closing : bool
        The same, and connections without a request are closed; see `close_idle`.
    is_ending : bool
        The same, and no connection waits for another request, or for the rest of one;
        see `refuse_incomplete`.
    on_unanswered : callable
        Called with the reason when a connection is closed, on which a request has been
        read, without a whole answer to it.
    on_closed_idle : callable
        Called when an idle connection is closed for a new one.
    """

    def __init__(
        self,
        listener: socket.socket,
        limits: Callable[[], CallerLimits],
        handle: Handler,
        timers: TimerService,
        rejection_headers: Headers | None = None,
        *,
        reservations: ReservationService | None = None,
        bounds: ConnectionBounds | None = None,
        closes_idle: bool = False,
        send_buffer_bytes: int | None = None,
    ):
        self._listener = listener
        self.limits = limits
        self.handle = handle
        self.timers = timers
        self.rejection_headers = rejection_headers or []
        self.reservations = reservations or unlimited_reservations(timers)
        self._given_bounds = bounds
        self._closes_idle = closes_idle
        self.send_buffer_bytes = send_buffer_bytes
        self.is_leaving = False
        self.is_closing = False
        self.is_ending = False
        self.on_unanswered: Callable[[UnansweredReason], None] = _ignore_unanswered
        self.on_closed_idle: Callable[[], None] = _ignore_closed_idle
        self._conns: set[CallerConnection] = set()
        self._logged_full_at = float("-inf")

    def serve(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as exc:
                if self._listener.fileno() < 0:
                    return
                _log.write("Accepting failed.", error=repr(exc))
                eventlet.sleep(ACCEPT_PAUSE_S)
                continue
            self._add(sock)

    def stop_accepting(self) -> None:
        """Accept what waits in the listener's queue and close it; connections go on."""
        for sock in accept_waiting(self._listener, MAX_CONNECTIONS):
            self._add(sock)
        close_listener(self._listener)

    def close_idle(self) -> None:
        """Close connections without a request, and the others after their response.

        Notes
        -----
        On a connection whose current response doesn't announce the close, another
        request is waited for; see `caller_connection.NEXT_REQUEST_S`.
        """
        self.is_closing = True
        for conn in list(self._conns):
            conn.close_if_idle()

    def refuse_incomplete(self) -> None:
        """Refuse the requests that haven't arrived as a whole, from now on.

        The process is about to end.
        """
        self.is_ending = True
        for conn in list(self._conns):
            conn.refuse_incomplete()

    def active_requests(self) -> int:
        """Return the number of requests at which the server is still at work.

        Those that have only begun to arrive count, and those whose response has been
        sent and may still be lost.
        """
        return sum(conn.has_request() for conn in self._conns)

    def unanswered_requests(self) -> int:
        """Return the number of requests without a complete response."""
        return sum(conn.is_unanswered() for conn in self._conns)

    def unanswered_ids(self, most: int) -> list[str]:
        """Return the ids of requests that have been read and aren't answered yet.

        Parameters
        ----------
        most : int
            Maximum number of ids.
        """
        conns = (conn for conn in self._conns if conn.is_handling)
        ids = (conn.request_id for conn in conns if conn.is_unanswered())
        return [each for each in ids if each is not None][:most]

    def _add(self, sock: socket.socket) -> None:
        """Serve a connection, which counts before its green thread runs."""
        excess = len(self._conns) - self._bounds.served
        is_full = excess >= 0
        if is_full:
            excess = self._excess_after_closing()
        if excess >= self._bounds.refused:
            sock.close()
        else:
            self._spawn(sock, is_refused=excess >= 0)
        if is_full:
            # The green thread of the closed connection closes its socket.
            eventlet.sleep(0)

    def _spawn(self, sock: socket.socket, *, is_refused: bool) -> None:
        conn = CallerConnection(self, sock, _address_of(sock), is_refused=is_refused)
        self._conns.add(conn)
        eventlet.spawn_n(self._run, conn, sock)

    @property
    def _bounds(self) -> ConnectionBounds:
        default = ConnectionBounds(MAX_CONNECTIONS, MAX_REFUSED_CONNECTIONS)
        return self._given_bounds or default

    def _excess_after_closing(self) -> int:
        """Close an idle connection; return how many are served beyond the bound."""
        self._log_full()
        if self._closes_idle:
            self._close_idle_one()
        served = sum(not conn.is_shut for conn in self._conns)
        return served - self._bounds.served

    def _close_idle_one(self) -> None:
        idle = {each.key: each for each in self._idle_connections()}
        while True:
            addresses = (conn.address for conn in self._conns)
            chosen = choose_idle(addresses, idle.values())
            if chosen is None:
                return
            # The kernel is asked about the chosen one only, as there may be thousands.
            if not chosen.key.has_unread_bytes():
                break
            del idle[chosen.key]
        chosen.key.close_idle()
        self.on_closed_idle()

    def _idle_connections(self) -> Iterator[IdleConnection]:
        for conn in self._conns:
            since = conn.idle_since
            if since is not None:
                yield IdleConnection(conn, conn.address, since)

    def _log_full(self) -> None:
        now = self.timers.now()
        if now - self._logged_full_at >= LOG_INTERVAL_S:
            self._logged_full_at = now
            _log.write("Too many connections.", connections=len(self._conns))

    def _run(self, conn: CallerConnection, sock: socket.socket) -> None:
        try:
            conn.set_up()
            conn.run()
        except (OSError, CallerDisconnectedError):
            # The caller has disconnected; there is nobody to report the error to.
            pass
        finally:
            self._conns.discard(conn)
            sock.close()


def _address_of(sock: socket.socket) -> str:
    """Return the address of a caller, who may have left already."""
    try:
        return sock.getpeername()[0]
    except OSError:
        return ""
