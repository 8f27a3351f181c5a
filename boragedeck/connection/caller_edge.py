"""HTTP/1.1 server for callers whose requests are relayed.

It uses `h11` and not eventlet's WSGI server for three reasons: the limits change with
the configuration, an aborted response must not look complete, and a caller that
disconnects while its request waits must be detected at once.
"""

from collections.abc import Callable

import eventlet
import h11
import msgspec
from eventlet.green import socket
from eventlet.hubs import trampoline

from boragedeck.connection.caller_ends import (
    CallerDisconnectedError,
    CallerNotReadingError,
    UnansweredReason,
)
from boragedeck.connection.listening import accept_waiting, close_listener
from boragedeck.exceptions import BoragedeckError
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService
from boragedeck.version.routing import CallerLimits

__all__ = ["CallerChannel", "CallerEdge", "RawRequest"]

READ_BYTES = 64 * 1024
MAX_AHEAD_BYTES = 64 * 1024
"""How much is read of a caller's next requests while it is answered."""
OPEN_POLL_S = 0.2
"""How often a connection of which nothing more is read is asked whether it is open."""
TCP_ESTABLISHED = 1
"""The first byte of Linux's `TCP_INFO` while neither side has closed."""
SEND_TIMEOUT_S = 5.0
"""How long a caller may not read a part of a response whose deadline has passed, or
which has none, in seconds."""
LINGER_S = 1.0
"""How long data from the caller is still read after the last response, in seconds."""
ACCEPT_PAUSE_S = 0.05
"""Pause after a failed accept, in seconds."""
MAX_CONNECTIONS = 3_000
BODY_TIMEOUT_S = 10.0
MAX_LOGGED_CHARS = 200

_log = PartLog("edge")


class RawRequest(msgspec.Struct, frozen=True):
    """A request as received from a caller.

    Parameters
    ----------
    method, target : bytes
        The request line.
    headers : list of tuple of bytes
        Names and values as received.
    body : bytes
        The whole body.
    arrived, received : float
        Times at which its head and its body were complete, on the timer service's
        monotonic clock.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived: float
    received: float


class CallerChannel:
    """Sends the response to one request.

    Parameters
    ----------
    conn : _CallerConnection
        The caller's connection.

    Attributes
    ----------
    has_begun : bool
        Whether a response has been begun, so that its status can't change any more.
    is_finished : bool
        Whether a complete response has been sent.
    deadline : float
        Until when a caller that doesn't read is waited for, on the timer service's
        monotonic clock, and no shorter than `SEND_TIMEOUT_S`.
    request_id : str or None
        The id of the request, for the log; None until its handler knows it.

    Notes
    -----
    Each method that sends may raise `CallerDisconnectedError`; see `write`.
    """

    def __init__(self, conn: "_CallerConnection"):
        self._conn = conn
        self.has_begun = False
        self.is_finished = False
        self.deadline = float("-inf")
        self.request_id: str | None = None

    def respond(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole response."""
        length = (b"Content-Length", b"%d" % len(body))
        self._begin(status, [*headers, length])
        self.write(body)
        self.finish()

    def send_interim(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send an interim response (1xx) before the final one."""
        interim = h11.InformationalResponse(status_code=status, headers=headers)
        self._send_event(interim)

    def begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a response of unknown length, with chunked encoding."""
        self._begin(status, [*headers, (b"Transfer-Encoding", b"chunked")])

    def write(self, data: bytes) -> None:
        """Send a part of the body.

        Raises
        ------
        CallerDisconnectedError
            If the connection is broken or the caller doesn't read in time.
        """
        if data:
            self._send_event(h11.Data(data=data))

    def finish(self) -> None:
        """End the response as complete."""
        self._send_event(h11.EndOfMessage())
        self.is_finished = True

    def _begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        if self._conn.is_last_response():
            headers.append((b"Connection", b"close"))
        reason = _reason_phrase(status)
        event = h11.Response(status_code=status, headers=headers, reason=reason)
        self.has_begun = True
        self._send_event(event)

    def _send_event(self, event) -> None:
        self._conn.send_event(event, self.deadline)


Handler = Callable[[RawRequest, CallerChannel], None]


def _ignore_unanswered(reason: UnansweredReason) -> None:
    """Do nothing; the default of `CallerEdge.on_unanswered`."""


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

    Attributes
    ----------
    is_leaving : bool
        Whether each connection is closed after its current response.
    is_closing : bool
        The same, and no connection waits for another request; see `close_idle`.
    on_unanswered : callable
        Called with the reason when a connection is closed, on which a request has been
        read, without a whole answer to it.
    """

    def __init__(
        self,
        listener: socket.socket,
        limits: Callable[[], CallerLimits],
        handle: Handler,
        timers: TimerService,
    ):
        self._listener = listener
        self.limits = limits
        self.handle = handle
        self.timers = timers
        self.is_leaving = False
        self.is_closing = False
        self.on_unanswered: Callable[[UnansweredReason], None] = _ignore_unanswered
        self._conns: set[_CallerConnection] = set()

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
        """Close connections without a request, and the others after their response."""
        self.is_closing = True
        for conn in list(self._conns):
            conn.close_if_idle()

    def active_requests(self) -> int:
        """Return the number of requests without a complete response.

        Those that have only begun to arrive count.
        """
        return sum(conn.has_request() for conn in self._conns)

    def unanswered_ids(self, most: int) -> list[str]:
        """Return the ids of requests that have been read and aren't answered yet.

        Parameters
        ----------
        most : int
            Maximum number of ids.
        """
        ids = (conn.request_id for conn in self._conns if conn.is_handling)
        return [each for each in ids if each is not None][:most]

    def _add(self, sock: socket.socket) -> None:
        """Serve a connection, which counts before its green thread runs."""
        if len(self._conns) >= MAX_CONNECTIONS:
            _log.write("Too many connections.", connections=len(self._conns))
            sock.close()
            return
        conn = _CallerConnection(self, sock)
        self._conns.add(conn)
        eventlet.spawn_n(self._run, conn, sock)

    def _run(self, conn: "_CallerConnection", sock: socket.socket) -> None:
        try:
            conn.set_up()
            conn.run()
        except (OSError, CallerDisconnectedError):
            # The caller has disconnected; there is nobody to report the error to.
            pass
        finally:
            self._conns.discard(conn)
            sock.close()


class _CallerConnection:
    """One caller's connection; serves its requests one at a time, in order."""

    def __init__(self, edge: CallerEdge, sock: socket.socket):
        self._edge = edge
        self._sock = sock
        self._timers = edge.timers
        self._buffer = b""
        self._is_eof = False
        self._parser: h11.Connection | None = None
        self.is_handling = False
        self._is_idle = True
        self._is_reading = False
        self._is_shut = False
        self._is_last_response = False
        self._channel: CallerChannel | None = None

    def set_up(self) -> None:
        """Set the options of the socket."""
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def run(self) -> None:
        """Serve requests until the connection ends."""
        while True:
            req = self._next_request()
            if req is None or not self._serve(req):
                return

    @property
    def request_id(self) -> str | None:
        """The id of the current request; None if it isn't known."""
        return None if self._channel is None else self._channel.request_id

    def is_last_response(self) -> bool:
        """Return whether the connection is closed after the current response.

        Notes
        -----
        A request that has been read behind the current one is answered, too.
        """
        if self._is_last_response:
            return True
        is_leaving = self._edge.is_leaving or self._edge.is_closing
        return is_leaving and not self._buffer

    def has_request(self) -> bool:
        """Return whether a request has begun to arrive and isn't answered yet."""
        if self._is_idle:
            return self._has_unread_bytes()
        return self._is_reading or self.is_handling or bool(self._buffer)

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun to arrive."""
        if self._is_idle and not self._buffer and not self._has_unread_bytes():
            # What arrives from now on isn't read.
            self._is_shut = True
            self._shut_down()

    def send_event(self, event, deadline: float = float("-inf")) -> None:
        """Send a part of a response; see `CallerChannel.deadline`.

        Raises
        ------
        CallerDisconnectedError
            If the connection is broken or the caller doesn't read in time.
        """
        data = self._parser.send(event)
        if not data:
            return
        timeout_s = max(SEND_TIMEOUT_S, deadline - self._timers.now())
        timeout_error = TimeoutError("the caller does not read the response")
        try:
            with eventlet.Timeout(timeout_s, timeout_error):
                self._sock.sendall(data)
        except OSError as exc:
            is_late = exc is timeout_error
            error = CallerNotReadingError if is_late else CallerDisconnectedError
            raise error(str(exc), step="send response") from exc

    def _next_request(self) -> RawRequest | None:
        if not self._buffer:
            self._buffer = self._wait_first_bytes()
        if not self._buffer:
            return None
        self._is_idle = False
        # The limits may have changed during the wait.
        limits = self._edge.limits()
        self._parser = h11.Connection(h11.SERVER, limits.header_bytes)
        self._parser.receive_data(self._buffer)
        self._buffer = b""
        self._is_reading = True
        try:
            return self._read_request(limits)
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint, str(exc))
        except eventlet.Timeout:
            self._reject(408, "the request arrived too slowly")
        except _RejectedError as exc:
            self._reject(exc.status, exc.message)
        finally:
            self._is_reading = False
        return None

    def _wait_first_bytes(self) -> bytes:
        """Wait for the next request and return its first bytes; none if none comes.

        The idle timeout may change during the wait.
        """
        self._is_idle = True
        since = self._timers.now()
        while not self._is_shut:
            data = self._read_arrived()
            if data is not None:
                return data
            left_s = since + self._edge.limits().idle_timeout_s - self._timers.now()
            if left_s <= 0.0 or self._edge.is_closing:
                return b""
            with eventlet.Timeout(left_s, False):
                trampoline(self._sock.fd, read=True)
        return b""

    def _read_arrived(self) -> bytes | None:
        """Return what has arrived; None if nothing has, empty at the caller's end."""
        try:
            return self._sock.fd.recv(READ_BYTES)
        except BlockingIOError:
            return None

    def _has_unread_bytes(self) -> bool:
        try:
            return bool(self._sock.fd.recv(1, socket.MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the connection is broken.
            return False

    def _read_request(self, limits: CallerLimits) -> RawRequest | None:
        with eventlet.Timeout(limits.header_timeout_s):
            head = self._read_event()
        if not isinstance(head, h11.Request):
            return None
        arrived = self._timers.now()
        headers = [(bytes(n), bytes(v)) for n, v in head.headers.raw_items()]
        _check_framing(headers)
        _check_size(head, limits)
        body = bytearray()
        with eventlet.Timeout(max(BODY_TIMEOUT_S, limits.header_timeout_s)):
            while True:
                if self._parser.they_are_waiting_for_100_continue:
                    self.send_event(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                event = self._read_event()
                if isinstance(event, h11.EndOfMessage):
                    break
                if not isinstance(event, h11.Data):
                    return None
                body += event.data
                if len(body) > limits.body_bytes:
                    raise _RejectedError("the request body is too long", 413)
        return RawRequest(
            head.method,
            head.target,
            headers,
            bytes(body),
            arrived,
            received=self._timers.now(),
        )

    def _read_event(self):
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = self._sock.recv(READ_BYTES)
            if not data and self._parser.their_state is h11.IDLE:
                # The caller disconnected before it sent a request.
                return None
            self._parser.receive_data(data)

    def _serve(self, req: RawRequest) -> bool:
        """Answer a request; return whether the connection can serve another one."""
        # Bytes after the request belong to the caller's next one.
        rest, is_closed = self._parser.trailing_data
        self._buffer = bytes(rest)
        channel = self._channel = CallerChannel(self)
        self.is_handling = True
        watcher = eventlet.spawn(self._watch_for_disconnect, eventlet.getcurrent())
        reason, error = UnansweredReason.NO_ANSWER, None
        try:
            self._edge.handle(req, channel)
        except CallerDisconnectedError as exc:
            reason, error = exc.reason, exc
        except (Exception, eventlet.Timeout) as exc:
            reason, error = UnansweredReason.DEFECT, exc
        finally:
            self.is_handling = False
            watcher.kill()
        if reason is UnansweredReason.DEFECT or not channel.is_finished:
            # Without the last chunk, the caller sees that the response is incomplete.
            self._note_unanswered(req, channel, reason, error)
            return False
        states = self._parser.our_state, self._parser.their_state
        if states != (h11.DONE, h11.DONE) or is_closed:
            self._linger()
            return False
        return not self._is_eof

    def _note_unanswered(
        self,
        req: RawRequest,
        channel: CallerChannel,
        reason: UnansweredReason,
        error: BaseException | None,
    ) -> None:
        """Log and count a request whose connection is closed without its answer."""
        if channel.is_finished:
            _log.write(
                "Failed after an answer.",
                request=channel.request_id,
                error=repr(error)[:MAX_LOGGED_CHARS],
            )
            return
        if error is None and channel.has_begun:
            reason = UnansweredReason.BROKEN_OFF
        _log.write(
            "Connection closed without a whole answer.",
            request=channel.request_id,
            reason=reason.value,
            error=None if error is None else repr(error)[:MAX_LOGGED_CHARS],
            has_begun=channel.has_begun,
            is_leaving=self._edge.is_leaving,
            age_s=round(self._timers.now() - req.arrived, 3),
        )
        self._edge.on_unanswered(reason)

    def _watch_for_disconnect(self, serving_thread) -> None:
        """Stop the green thread that serves the request when the caller disconnects."""
        while self._is_open():
            if len(self._buffer) >= MAX_AHEAD_BYTES:
                self._timers.sleep(OPEN_POLL_S)
        self._is_eof = True
        # After its answer, nothing is left to end for it, and the handler cleans up.
        if self.is_handling and not self._channel.is_finished:
            eventlet.kill(
                serving_thread, CallerDisconnectedError("closed", step="serve")
            )

    def _is_open(self) -> bool:
        """Return whether the caller is there; read its next bytes if there is room."""
        try:
            if len(self._buffer) >= MAX_AHEAD_BYTES:
                info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
                return info[0] == TCP_ESTABLISHED
            data = self._sock.recv(READ_BYTES)
        except OSError:
            return False
        self._buffer += data
        return bool(data)

    def _reject(self, status: int, text: str) -> None:
        _log.write("Request refused.", status=status, reason=text)
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._is_last_response = True
        headers = [(b"Content-Type", b"text/plain")]
        CallerChannel(self).respond(status, headers, text.encode())
        self._linger()

    def _linger(self) -> None:
        # Closing a socket that has unread bytes resets the connection, and the caller
        # may lose the response.
        self._shut_down(socket.SHUT_WR)
        with eventlet.Timeout(LINGER_S, False):
            while self._sock.recv(READ_BYTES):
                pass

    def _shut_down(self, how: int = socket.SHUT_RDWR) -> None:
        try:
            self._sock.shutdown(how)
        except OSError:
            # The caller has already closed the connection.
            pass


class _RejectedError(BoragedeckError):
    def __init__(self, message: str, status: int):
        super().__init__(message, step="read request")
        self.status = status


def _check_framing(headers: list[tuple[bytes, bytes]]) -> None:
    names = [name.lower() for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise _RejectedError("both Content-Length and Transfer-Encoding are set", 400)


def _check_size(head: h11.Request, limits: CallerLimits) -> None:
    # The parser applies its limit only to heads that arrive in parts.
    size = len(head.target) + sum(len(n) + len(v) for n, v in head.headers)
    if size > limits.header_bytes:
        raise _RejectedError("the request head is too long", 431)


def _reason_phrase(status: int) -> bytes:
    return _REASON_PHRASES.get(status, b"")


_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
