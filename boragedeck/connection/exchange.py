"""One request to a replica (an upstream of the relay) and its answer, over HTTP/1.1.

It uses `h11` and not `urllib3`, because only a parser without a socket of its own shows
which bytes follow an answer, can read a second answer after a late answer to an earlier
request, and distinguishes a truncated answer from one that ends with the connection.
"""

from collections.abc import Callable, Iterator

import eventlet
import h11
import msgspec
from eventlet.green import socket
from eventlet.hubs import trampoline

from boragedeck.connection.peer import Address
from boragedeck.connection.sent_requests import AnswerMatch, SentRequests
from boragedeck.exceptions import (
    UpstreamAnswerTooLargeError,
    UpstreamError,
    UpstreamSilentError,
)

__all__ = [
    "AnswerHead",
    "Exchange",
    "Headers",
    "Message",
    "UpstreamConnection",
    "encode_request",
]

READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
TOO_LARGE_STATUS = 431
"""Status hint of h11's error for a head or framing line that is too long."""
MAX_INTERIM_ANSWERS = 8
MAX_SKIPPED_BYTES = 1024 * 1024
STEPS_PER_YIELD = 32
"""Number of steps (events and reads) without a wait after which other green threads and
timeouts run; a replica may send faster than this process reads."""
STEPS_PER_READ = 8
"""Number of steps for which a read of `READ_BYTES` counts."""
DEFAULT_IDLE_S = 4.0
"""How long an idle connection is kept if its replica names no Keep-Alive timeout, in
seconds."""
SILENCE_S = 0.2
"""A wait for bytes that is longer than this is a silence."""
EARLY_ANSWER_CHECK_S = 0.05
"""How often it is seen, while a request isn't taken, whether it is answered already."""
IDLE_MARGIN_S = 1.0
"""How long before its Keep-Alive timeout a connection is no longer reused, in
seconds."""

Headers = list[tuple[bytes, bytes]]


class Message(msgspec.Struct, frozen=True):
    """A request to a replica; not a message between routers.

    Parameters
    ----------
    method, target : bytes
        The request line.
    headers : list of tuple of bytes
        All headers except the framing headers.
    body : bytes
        The whole body.
    request_id : bytes or None
        The id that answers to this request repeat; None if they have none.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    request_id: bytes | None = None


class AnswerHead(msgspec.Struct, frozen=True):
    """The head of a replica's answer.

    Parameters
    ----------
    status : int
        The HTTP status.
    headers : list of tuple of bytes
        Names and values as received.
    """

    status: int
    headers: Headers

    @property
    def is_delimited(self) -> bool:
        """Whether the body has a length or chunks, so that a cut can be seen."""
        return any(self.all(b"content-length")) or any(self.all(b"transfer-encoding"))

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its name in lower case."""
        return next(iter(self.all(name)), None)

    def all(self, name: bytes) -> list[bytes]:
        """Return all values of a header, given its name in lower case."""
        return [value for other, value in self.headers if other.lower() == name]


def _ignore_arrival() -> None:
    """Do nothing; the default of `UpstreamConnection.on_arrival`."""


class UpstreamConnection:
    """A connection to a replica and the parser of its current exchange.

    Parameters
    ----------
    sock : socket
        The connected socket.
    address : Address
        The replica's address.
    now : callable
        Returns the time on the timer service's monotonic clock.

    Attributes
    ----------
    idle_s : float
        How long the connection may be idle after the last answer, in seconds.
    reusable_until : float
        Until when the connection may be reused, in monotonic seconds.
    on_arrival : callable
        Called whenever bytes have arrived.
    silent_s : float
        How long the silences were that have ended, without the first `SILENCE_S` of
        each, in seconds.
    sent : SentRequests
        The requests that the connection has carried.
    """

    def __init__(self, sock: socket.socket, address: Address, now: Callable[[], float]):
        self.sock = sock
        self.address = address
        self.parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._steps_since_wait = 0
        self.idle_s = DEFAULT_IDLE_S
        self.reusable_until = 0.0
        self.on_arrival: Callable[[], None] = _ignore_arrival
        self.silent_s = 0.0
        self._now = now
        # Since when bytes have been waited for; None while they arrive.
        self._waits_since: float | None = None
        self.sent = SentRequests()
        # What the replica hasn't taken of the current request.
        self._unsent = memoryview(b"")
        # Why the rest of it can't be sent; None if it can.
        self._send_error: OSError | None = None

    def is_open_and_empty(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        try:
            # `recv` of the green socket would block.
            self.sock.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def has_unsent(self) -> bool:
        """Whether a part of the current request hasn't been sent."""
        return bool(self._unsent)

    def send(self, data: bytes) -> None:
        """Send a request as far as it is taken at once; `send_rest` sends the rest."""
        self._unsent = memoryview(data)
        with eventlet.Timeout(0, False):
            self.send_rest()

    def send_rest(self) -> None:
        """Wait until the request is sent, or until there are bytes to read.

        Notes
        -----
        A connection that broke may hold an answer that came before, so `receive` raises
        the error, once that is read.
        """
        while self._unsent and self._send_error is None:
            with eventlet.Timeout(EARLY_ANSWER_CHECK_S, False):
                self._send_part()
                continue
            if not self.is_open_and_empty():
                return

    def _send_part(self) -> None:
        try:
            count = self.sock.send(self._unsent)
        except OSError as exc:
            self._send_error = exc
        else:
            self._unsent = self._unsent[count:]

    def receive(self) -> bytes:
        """Wait for bytes; return an empty value at the end of the connection.

        Raises
        ------
        OSError
            If the connection was reset. The green socket's own method reports a reset
            as the end of the connection, and so does the kernel after a send has
            failed by it, so that a truncated answer without a length would look
            complete.
        """
        self.count_steps(STEPS_PER_READ)
        while True:
            try:
                data = self.sock.fd.recv(READ_BYTES)
            except BlockingIOError:
                self._steps_since_wait = 0
                if self._waits_since is None:
                    self._waits_since = self._now()
                trampoline(self.sock.fd, read=True)
                continue
            if data:
                self._note_arrival()
            elif self._send_error is not None:
                raise self._send_error
            return data

    def count_steps(self, steps: int = 1) -> None:
        """Count steps without a wait, and yield to other green threads when due."""
        self._steps_since_wait += steps
        if self._steps_since_wait >= STEPS_PER_YIELD:
            self._steps_since_wait = 0
            eventlet.sleep(0)

    def _note_arrival(self) -> None:
        if self._waits_since is not None:
            waited_s = self._now() - self._waits_since
            self.silent_s += max(0.0, waited_s - SILENCE_S)
            self._waits_since = None
        self.on_arrival()

    def shut_down(self) -> None:
        """Shut the connection down, which wakes the green thread that waits on it."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The replica has already closed the connection.
            pass

    def close(self) -> None:
        """Shut the connection down and close its socket."""
        self.shut_down()
        self.sock.close()


class Exchange:
    """A request and its answer.

    What a replica doesn't take of the request at once is sent while its answer is
    waited for, so that a replica which stands still is silent, and not lost.

    Parameters
    ----------
    release_conn : callable
        Called at the end with the connection and whether the answer was complete.
    conn : UpstreamConnection
        The connection; no other exchange uses it meanwhile.
    message : Message
        The request.

    Attributes
    ----------
    address : Address
        The replica's address.
    is_forwarded : bool
        Whether another router passes the request and the answer on.
    is_doubtful : bool
        Whether that router hasn't said in time that it has sent the request.
    """

    is_forwarded = False
    is_doubtful = False

    def __init__(
        self,
        release_conn: Callable[["UpstreamConnection", bool], None],
        conn: "UpstreamConnection",
        message: Message,
    ):
        self._release_conn = release_conn
        self._conn = conn
        self.address = conn.address
        self._message = message
        self._is_closed = False
        self._is_complete = False
        self._is_interrupted = False
        self._interim_answers = 0
        # Bytes of a late answer that were read and discarded so far.
        self._skipped_bytes = 0

    @property
    def request_id(self) -> bytes | None:
        """The id of the request; None if it has none."""
        return self._message.request_id

    def head(self, timeout_s: float) -> AnswerHead:
        """Wait for the head of the answer.

        Raises
        ------
        UpstreamSilentError
            If it did not arrive in time. The exchange stays open.
        UpstreamError
            If the connection broke or the answer is not valid HTTP.
        """
        while True:
            event = self._next_event(timeout_s, "read head")
            if isinstance(event, h11.Response):
                headers = [(bytes(n), bytes(v)) for n, v in event.headers.raw_items()]
                head = AnswerHead(event.status_code, headers)
                self._conn.idle_s = _idle_s(head)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise self._error("the connection ended without an answer", "read head")
            self._note_interim(event)
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise self._excess_error("too many interim (1xx) answers", "read head")

    @property
    def silent_s(self) -> float:
        """How long its connection was silent; see `UpstreamConnection`."""
        return self._conn.silent_s

    def match(self, answer_id: bytes | None) -> AnswerMatch:
        """Return whether an answer on this connection is the one to this request.

        Parameters
        ----------
        answer_id : bytes or None
            The request's id in the answer; None if the answer has none.
        """
        return self._conn.sent.match(answer_id)

    def read(self, timeout_s: float) -> bytes:
        """Wait for a part of the body; return an empty value at its end.

        Raises
        ------
        UpstreamSilentError
            If nothing arrived in time. The exchange stays open.
        UpstreamError
            If the answer was truncated.
        """
        event = self._next_event(timeout_s, "read body")
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                self._is_complete = True
                return b""
        raise self._error("the answer was truncated", "read body")

    def read_all(self, timeout_s: float, max_bytes: int) -> bytes:
        """Read the whole body within `timeout_s`; see `read`.

        Raises
        ------
        UpstreamAnswerTooLargeError
            If the body is longer than `max_bytes`.
        """
        body = bytearray()
        with eventlet.Timeout(timeout_s, self._silent_error("read body")):
            while part := self.read(timeout_s):
                body += part
                if len(body) > max_bytes:
                    raise self._excess_error("the answer body is too long", "read body")
        return bytes(body)

    def skip(self, timeout_s: float) -> None:
        """Read and discard the body of an answer to an earlier request.

        The next call of `head` waits for the answer to this request.

        Raises
        ------
        UpstreamSilentError
            If it hasn't ended in time. The exchange stays open, and another call goes
            on.
        UpstreamError
            If the connection broke, or the body is longer than `MAX_SKIPPED_BYTES`.
        """
        with eventlet.Timeout(timeout_s, self._silent_error("skip")):
            while part := self.read(timeout_s):
                self._skipped_bytes += len(part)
                if self._skipped_bytes > MAX_SKIPPED_BYTES:
                    raise self._excess_error("a late answer is too long", "skip")
        self._skipped_bytes = 0
        rest, is_closed = self._conn.parser.trailing_data
        parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        # The new parser has to count the request as sent; its bytes aren't sent again.
        encode_request(parser, self._message)
        if rest:
            parser.receive_data(rest)
        if is_closed:
            raise self._error("the connection was closed", "read head")
        self._conn.parser = parser
        self._is_complete = False

    def close(self) -> None:
        """End the exchange; the connection is reused only if the answer is complete."""
        if self._is_closed:
            return
        self._is_closed = True
        self._release_conn(self._conn, self._is_complete)

    def interrupt(self) -> None:
        """Make another green thread's wait for the answer fail with an error."""
        self._is_interrupted = True
        self._conn.shut_down()

    def _note_interim(self, event: h11.InformationalResponse) -> None:
        """Do nothing; interim answers of replicas mean nothing here."""

    def _next_event(self, timeout_s: float, step: str):
        if self._is_interrupted:
            raise self._error("the replica is gone", step)
        try:
            with eventlet.Timeout(max(0.0, timeout_s), self._silent_error(step)):
                event = self._read_event()
            # An interrupted answer without a length must not look complete.
            if self._is_interrupted:
                raise self._error("the replica is gone", step)
            return event
        except OSError as exc:
            raise self._error(f"the connection broke: {exc}", step) from exc
        except h11.RemoteProtocolError as exc:
            if exc.error_status_hint == TOO_LARGE_STATUS:
                raise self._excess_error(str(exc), step) from exc
            raise self._error(f"invalid HTTP: {exc}", step) from exc

    def _read_event(self):
        parser = self._conn.parser
        self._conn.count_steps()
        while True:
            event = parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._conn.send_rest()
            parser.receive_data(self._conn.receive())

    def _silent_error(self, step: str) -> UpstreamSilentError:
        return UpstreamSilentError("silent", step=step, peer=str(self._conn.address))

    def _excess_error(self, text: str, step: str) -> UpstreamAnswerTooLargeError:
        return UpstreamAnswerTooLargeError(
            text, step=step, peer=str(self._conn.address)
        )

    def _error(self, text: str, step: str) -> UpstreamError:
        return UpstreamError(text, step=step, peer=str(self._conn.address))


def _idle_s(head: AnswerHead) -> float:
    """Return how long a connection may be idle after an answer, in seconds."""
    text = head.get(b"keep-alive") or b""
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S


def encode_request(parser: h11.Connection, message: Message) -> bytes:
    """Return the bytes of a request; the parser then counts it as sent."""
    headers = list(message.headers)
    if message.body or message.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"Content-Length", b"%d" % len(message.body)))
    request = h11.Request(method=message.method, target=message.target, headers=headers)
    return b"".join(_encoded_parts(parser, request, message.body))


def _encoded_parts(
    parser: h11.Connection, request: h11.Request, body: bytes
) -> Iterator[bytes]:
    yield parser.send(request) or b""
    if body:
        yield parser.send(h11.Data(data=body)) or b""
    yield parser.send(h11.EndOfMessage()) or b""
