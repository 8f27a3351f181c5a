"""One caller's connection, on which requests are read and answered in order.

It uses `h11` and not eventlet's WSGI server for three reasons: the limits change with
the configuration, an aborted response must not look complete, and a caller that
disconnects while its request waits must be detected at once.
"""

import io
from collections.abc import Callable
from typing import Protocol

import eventlet
import h11
from eventlet.green import socket
from eventlet.hubs import trampoline

from boragedeck.connection.caller_channel import CallerChannel, RawRequest
from boragedeck.connection.caller_ends import (
    CallerDisconnectedError,
    CallerNotReadingError,
    UnansweredReason,
)
from boragedeck.connection.http_message import Headers
from boragedeck.connection.memory_budget import Grant
from boragedeck.connection.request_body import RequestBody
from boragedeck.connection.reservation import Reservation, ReservationService
from boragedeck.exceptions import BoragedeckError
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.threads import end_thread, spawn_task
from boragedeck.process.timers import TimerService
from boragedeck.version.routing import CallerLimits

__all__ = ["CallerConnection", "Handler", "Server"]

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
NEXT_REQUEST_S = 0.2
"""How long a router that closes its connections waits for a request on one whose close
wasn't announced, from its last answer or its start on, in seconds."""
REFUSED_IDLE_S = 1.0
"""How long a request is waited for that is going to be refused, in seconds."""
BODY_TIMEOUT_S = 10.0
NO_ROOM_RETRY_S = 1
"""When a caller may send a request again for which there was no room, in seconds."""
SLOW_TEXT = "the request arrived too slowly"
MAX_LOGGED_CHARS = 200

_log = PartLog("edge")

Handler = Callable[[RawRequest, CallerChannel], None]


class Server(Protocol):
    """The server that a connection belongs to; see `CallerEdge`."""

    limits: Callable[[], CallerLimits]
    handle: Handler
    timers: TimerService
    reservations: ReservationService
    rejection_headers: Headers
    is_leaving: bool
    is_closing: bool
    is_ending: bool
    send_buffer_bytes: int | None
    on_unanswered: Callable[[UnansweredReason], None]


class CallerConnection:
    """One caller's connection; serves its requests one at a time, in order.

    Parameters
    ----------
    server : Server
        What all connections of the server have in common.
    sock : socket
        The connected socket.
    address : str
        The caller's address.
    is_refused : bool, optional
        Whether its request is refused, since there are too many connections.

    Attributes
    ----------
    is_handling : bool
        Whether a request that has been read is being answered.
    """

    def __init__(
        self,
        server: Server,
        sock: socket.socket,
        address: str,
        *,
        is_refused: bool = False,
    ):
        self._server = server
        self.address = address
        self._is_refused = is_refused
        self._sock = sock
        self._timers = server.timers
        self._buffer = b""
        self._is_eof = False
        self._parser: h11.Connection | None = None
        self.is_handling = False
        self._is_idle = True
        self._idle_since = self._timers.now()
        self._is_reading = False
        # The thread that waits for the rest of a request; None if none does.
        self._reader: eventlet.greenlet.greenlet | None = None
        # Whether a write waits for the caller.
        self._is_sending = False
        self._is_shut = False
        self._is_last_response = False
        self._channel: CallerChannel | None = None
        # What is held for the current request; None if there is none.
        self._reservation: Reservation | None = None
        # Whether the answer is ended, since it is read slowly and others need room.
        self._is_cut = False

    def set_up(self) -> None:
        """Set the options of the socket."""
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        size = self._server.send_buffer_bytes
        if size is not None:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def run(self) -> None:
        """Serve requests until the connection ends."""
        while self._serve_next():
            pass

    @property
    def is_shut(self) -> bool:
        """Whether no more requests are read, as it is being closed."""
        return self._is_shut

    @property
    def idle_since(self) -> float | None:
        """Since when it waits for a request; None if one was begun to be read.

        Notes
        -----
        Its first bytes may have arrived already; see `has_unread_bytes`.
        """
        if not self._is_idle or self._is_shut or self._buffer:
            return None
        return self._idle_since

    def close_idle(self) -> None:
        """Close the connection, which is idle, so that another one can be served."""
        self._is_shut = True
        self._shut_down()

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
        is_leaving = self._server.is_leaving or self._server.is_closing
        return is_leaving and not self._buffer

    def has_request(self) -> bool:
        """Return whether a request has begun to arrive and isn't answered yet.

        Notes
        -----
        A request that may be on its way counts, too; see `NEXT_REQUEST_S`.
        """
        if self._is_idle:
            return self._is_awaited() or self.has_unread_bytes()
        return self._is_reading or self.is_handling or bool(self._buffer)

    def is_unanswered(self) -> bool:
        """Return whether a request has begun to arrive and has no whole answer."""
        is_answered = self._channel is not None and self._channel.is_finished
        return self.has_request() and (bool(self._buffer) or not is_answered)

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun to arrive, or may come."""
        if not self._is_idle or self._buffer or self.has_unread_bytes():
            return
        left_s = self._idle_left_s()
        if left_s > 0.0:
            self._timers.call_later(left_s, self.close_if_idle)
            return
        # What arrives from now on isn't read.
        self._is_shut = True
        self._shut_down()

    def refuse_incomplete(self) -> None:
        """Refuse a request that hasn't arrived as a whole; wait for no other one."""
        if self._is_idle:
            self.close_if_idle()
        elif self._reader is not None:
            end_thread(self._reader, _stopping_rejection())

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
                self._send(memoryview(data))
        except OSError as exc:
            is_late = exc is timeout_error or self._is_cut
            error = CallerNotReadingError if is_late else CallerDisconnectedError
            raise error(str(exc), step="send response") from exc
        finally:
            # Its traceback refers to this frame, and the data would wait for the
            # garbage collector.
            timeout_error = None

    def _send(self, data: memoryview) -> None:
        """Send all bytes; slices of a view are no copies."""
        try:
            data = data[self._sock.fd.send(data) :]
        except BlockingIOError:
            pass  # The caller hasn't read what was sent before.
        if not data:
            return
        reservation = self._reservation
        self._is_sending = True
        reservation.begin_sending(len(data))
        try:
            while data:
                count = self._sock.send(data)
                reservation.note_moved(count)
                data = data[count:]
        finally:
            self._is_sending = False
            reservation.end_sending()

    def _serve_next(self) -> bool:
        """Serve a request; return whether the connection can serve another one."""
        self._channel = None
        if not self._buffer:
            self._buffer = self._wait_first_bytes()
        if not self._buffer:
            return False
        self._reservation = self._server.reservations.open(self.address, self._cut)
        req = None
        try:
            req = self._next_request()
            return req is not None and self._serve(req)
        finally:
            if req is not None:
                req.body.release()
            self._reservation.close()

    def _cut(self) -> None:
        """End what the caller is slow at, since others need the bytes."""
        self._is_cut = True
        if self._reader is not None:
            end_thread(self._reader, _slow_rejection())
        elif self._is_sending or not self._is_reading:
            self._shut_down()

    def _next_request(self) -> RawRequest | None:
        self._is_idle = False
        # The limits may have changed during the wait.
        limits = self._server.limits()
        self._parser = h11.Connection(h11.SERVER, limits.header_bytes)
        self._parser.receive_data(self._buffer)
        self._buffer = b""
        self._is_reading = True
        try:
            return self._read_request(limits)
        except h11.RemoteProtocolError as exc:
            refusal = exc.error_status_hint, str(exc), None
        except eventlet.Timeout:
            refusal = 408, SLOW_TEXT, None
        except _RejectedError as exc:
            refusal = exc.status, exc.message, exc.retry_after_s
        finally:
            self._is_reading = False
        # What has arrived of the body is freed already.
        self._reservation.drop_body()
        self._reject(*refusal)
        return None

    def _wait_first_bytes(self) -> bytes:
        """Wait for the next request and return its first bytes; none if none comes.

        The idle timeout may change during the wait.
        """
        self._is_idle = True
        self._idle_since = self._timers.now()
        while not self._is_shut:
            data = self._read_arrived()
            if data is not None:
                return data
            left_s = self._idle_left_s()
            if left_s <= 0.0:
                return b""
            with eventlet.Timeout(left_s, False):
                trampoline(self._sock.fd, read=True)
        return b""

    def _idle_left_s(self) -> float:
        """Return how long the next request is still waited for, in seconds."""
        return self._idle_since + self._idle_timeout_s() - self._timers.now()

    def _idle_timeout_s(self) -> float:
        timeout_s = self._server.limits().idle_timeout_s
        if self._is_refused:
            timeout_s = min(timeout_s, REFUSED_IDLE_S)
        if not self._server.is_closing:
            return timeout_s
        return 0.0 if self._server.is_ending else min(timeout_s, NEXT_REQUEST_S)

    def _is_awaited(self) -> bool:
        """Return whether a stop waits for a request behind the last answer."""
        server = self._server
        return server.is_closing and not (server.is_ending or self._is_shut)

    def _read_arrived(self) -> bytes | None:
        """Return what has arrived; None if nothing has, empty at the caller's end."""
        try:
            return self._sock.fd.recv(READ_BYTES)
        except BlockingIOError:
            return None

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that weren't read."""
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
        if self._is_refused:
            raise _RejectedError(
                "too many connections", 503, retry_after_s=NO_ROOM_RETRY_S
            )
        length = _declared_length(headers)
        if length > limits.body_bytes:
            raise _too_long_rejection()
        with eventlet.Timeout(max(BODY_TIMEOUT_S, limits.header_timeout_s)):
            body = self._read_body(length, limits)
        if body is None:
            return None
        return RawRequest(
            head.method,
            head.target,
            headers,
            RequestBody(body),
            arrived,
            received=self._timers.now(),
        )

    def _read_body(self, length: int, limits: CallerLimits) -> bytes | None:
        """Read a body, whose bytes are reserved before; None if it is cut off."""
        self._take(length)
        # Its value is no copy, unlike that of a bytearray. It is closed, as errors of
        # the parser are kept with the frames that they have passed.
        with io.BytesIO() as body:
            return self._read_parts(body, length, limits)

    def _read_parts(
        self, body: io.BytesIO, reserved: int, limits: CallerLimits
    ) -> bytes | None:
        """Read the parts of a body, of which some bytes are reserved already."""
        size = 0
        while True:
            if self._parser.they_are_waiting_for_100_continue:
                self.send_event(h11.InformationalResponse(status_code=100, headers=[]))
            event = self._read_event()
            if isinstance(event, h11.EndOfMessage):
                if self._is_cut:
                    raise _slow_rejection()
                self._reservation.note_received()
                return body.getvalue()
            if not isinstance(event, h11.Data):
                return None
            size += len(event.data)
            if size > limits.body_bytes:
                raise _too_long_rejection()
            if size > reserved:
                self._take(size - reserved)
                reserved = size
            body.write(event.data)
            self._reservation.note_moved(len(event.data))

    def _take(self, count: int) -> None:
        """Reserve bytes of a body.

        Raises
        ------
        _RejectedError
            If there is no room for them.
        """
        match self._reservation.take_body(count):
            case Grant.NO_ROOM:
                raise _RejectedError(
                    "no room for the request body", 503, retry_after_s=NO_ROOM_RETRY_S
                )
            case Grant.TOO_LARGE:
                raise _too_long_rejection()

    def _read_event(self):
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = self._receive_more()
            if not data and self._parser.their_state is h11.IDLE:
                # The caller disconnected before it sent a request.
                return None
            self._parser.receive_data(data)

    def _receive_more(self) -> bytes:
        """Wait for the next bytes of a request that has begun to arrive."""
        if self._server.is_ending:
            raise _stopping_rejection()
        if self._is_cut:
            raise _slow_rejection()
        self._reader = eventlet.getcurrent()
        try:
            return self._sock.recv(READ_BYTES)
        finally:
            self._reader = None

    def _serve(self, req: RawRequest) -> bool:
        """Answer a request; return whether the connection can serve another one."""
        # Bytes after the request belong to the caller's next one.
        rest, is_closed = self._parser.trailing_data
        self._buffer = bytes(rest)
        channel = self._channel = CallerChannel(self, self._reservation)
        self.is_handling = True
        watcher = spawn_task(self._watch_for_disconnect, eventlet.getcurrent())
        reason, error = UnansweredReason.NO_ANSWER, None
        try:
            self._server.handle(req, channel)
        except CallerDisconnectedError as exc:
            reason, error = exc.reason, exc
        except (Exception, eventlet.Timeout) as exc:
            reason, error = UnansweredReason.DEFECT, exc
        finally:
            self.is_handling = False
            end_thread(watcher)
        if reason is UnansweredReason.DEFECT or not channel.is_finished:
            # Without the last chunk, the caller sees that the response is incomplete.
            self._note_unanswered(req, channel, reason, error)
            # Its traceback refers to this frame, which holds the request's body.
            error = None
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
            is_leaving=self._server.is_leaving,
            age_s=round(self._timers.now() - req.arrived, 3),
        )
        self._server.on_unanswered(reason)

    def _watch_for_disconnect(self, serving_thread) -> None:
        """Stop the green thread that serves the request when the caller disconnects."""
        while self._is_open():
            if self._is_ahead_full():
                self._timers.sleep(OPEN_POLL_S)
        self._is_eof = True
        # After its answer, nothing is left to end for it; the handler cleans up.
        if self.is_handling and not self._channel.is_finished:
            self._interrupt(serving_thread)

    def _interrupt(self, serving_thread) -> None:
        if not self._channel.is_interrupted:
            self._channel.is_interrupted = True
            error = CallerNotReadingError if self._is_cut else CallerDisconnectedError
            end_thread(serving_thread, error("closed", step="serve"))

    def _is_ahead_full(self) -> bool:
        """Return whether no more of the caller's next requests is read."""
        is_full = self._server.reservations.is_full()
        return len(self._buffer) >= MAX_AHEAD_BYTES or (is_full and bool(self._buffer))

    def _is_open(self) -> bool:
        """Return whether the caller is there; read its next bytes if there is room."""
        try:
            if self._is_ahead_full():
                info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
                return info[0] == TCP_ESTABLISHED
            data = self._sock.recv(READ_BYTES)
        except OSError:
            return False
        self._buffer += data
        self._reservation.add_ahead(len(data))
        return bool(data)

    def _reject(self, status: int, text: str, retry_after_s: int | None = None) -> None:
        _log.write("Request refused.", status=status, reason=text)
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._is_last_response = True
        headers = [(b"Content-Type", b"text/plain"), *self._server.rejection_headers]
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%d" % retry_after_s))
        self._channel = CallerChannel(self, self._reservation)
        self._channel.respond(status, headers, text.encode())
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
    def __init__(self, message: str, status: int, *, retry_after_s: int | None = None):
        super().__init__(message, step="read request")
        self.status = status
        self.retry_after_s = retry_after_s


def _stopping_rejection() -> _RejectedError:
    """Return the error for a request that the end of the process would cut."""
    return _RejectedError("this router stops", 503)


def _slow_rejection() -> _RejectedError:
    return _RejectedError(SLOW_TEXT, 408)


def _too_long_rejection() -> _RejectedError:
    return _RejectedError("the request body is too long", 413)


def _declared_length(headers: Headers) -> int:
    """Return the length that the head of a request names; 0 if it names none."""
    values = (value for name, value in headers if name.lower() == b"content-length")
    return int(next(values, b"0"))


def _check_framing(headers: list[tuple[bytes, bytes]]) -> None:
    names = [name.lower() for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise _RejectedError("both Content-Length and Transfer-Encoding are set", 400)


def _check_size(head: h11.Request, limits: CallerLimits) -> None:
    # The parser applies its limit only to heads that arrive in parts.
    size = len(head.target) + sum(len(n) + len(v) for n, v in head.headers)
    if size > limits.header_bytes:
        raise _RejectedError("the request head is too long", 431)
