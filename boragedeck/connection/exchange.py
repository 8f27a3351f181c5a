"""One request to a replica and its answer, over HTTP/1.1.

`h11` stands in for `urllib3` here: only a parser without a socket of its own shows
what follows an answer, lets a second answer be read where the first was a late one,
and tells an answer that was cut off from one that ends with its connection.
"""

from collections.abc import Callable, Iterator

import eventlet
import h11
import msgspec
from eventlet.green import socket
from eventlet.hubs import trampoline

from boragedeck.connection.peer import Address
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
    "encode",
]

READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
TOO_LARGE = 431
"""How h11 marks a head, or a line of the framing, that grows too long."""
MAX_INTERIM_ANSWERS = 8
MAX_SKIPPED_BYTES = 1024 * 1024
EAGER_STEPS = 32
"""After so many reads and events without a wait, other green threads and timeouts have
their turn: a replica may send faster than this process reads."""
READ_STEPS = 8
"""What a read of `READ_BYTES` counts among them."""
DEFAULT_IDLE_S = 4.0
"""How long a connection is kept where the replica states no timeout."""
IDLE_MARGIN_S = 1.0
"""So long before the stated timeout a connection is no longer used."""

Headers = list[tuple[bytes, bytes]]


class Message(msgspec.Struct, frozen=True):
    """A request as it is sent to a replica.

    Parameters
    ----------
    method, target : bytes
        The request line.
    headers : list of tuple of bytes
        All headers but those of the framing.
    body : bytes
        The whole body.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class AnswerHead(msgspec.Struct, frozen=True):
    """The head of a replica's answer.

    Parameters
    ----------
    status : int
        The HTTP status.
    headers : list of tuple of bytes
        Names and values as they came.
    """

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header by its name in lower case."""
        return next(iter(self.all(name)), None)

    def all(self, name: bytes) -> list[bytes]:
        """Return all values of a header by its name in lower case."""
        return [value for other, value in self.headers if other.lower() == name]


class UpstreamConnection:
    """One connection and the parser of its current exchange."""

    def __init__(self, sock: socket.socket, address: Address):
        self.sock = sock
        self.address = address
        self.parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._eager_steps = 0
        self.idle_s = DEFAULT_IDLE_S
        self.reusable_until = 0.0

    def is_quiet(self) -> bool:
        """Whether nothing has arrived while no request was waiting."""
        try:
            # The green socket would wait here.
            self.sock.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def receive(self) -> bytes:
        """Wait for bytes; none at the end of the connection.

        Raises
        ------
        OSError
            Where the connection was reset, which the green socket's own method
            reports as its end: an answer without a length would look complete.
        """
        self.take_turns(READ_STEPS)
        while True:
            try:
                return self.sock.fd.recv(READ_BYTES)
            except BlockingIOError:
                self._eager_steps = 0
                trampoline(self.sock.fd, read=True)

    def take_turns(self, steps: int = 1) -> None:
        """Let other green threads go on after many steps without a wait."""
        self._eager_steps += steps
        if self._eager_steps >= EAGER_STEPS:
            self._eager_steps = 0
            eventlet.sleep(0)

    def shut(self) -> None:
        """End the connection; whoever waits on it goes on."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The other side has closed it already.
            pass

    def close(self) -> None:
        """End the connection and free its socket."""
        self.shut()
        self.sock.close()


class Exchange:
    """One request on its way and its answer.

    Parameters
    ----------
    give_back : callable
        Takes the connection at the end, and whether the answer was complete.
    conn : UpstreamConnection
        The connection, which serves this exchange only.
    message : Message
        The request that was sent.
    """

    def __init__(
        self,
        give_back: Callable[["UpstreamConnection", bool], None],
        conn: "UpstreamConnection",
        message: Message,
    ):
        self._give_back = give_back
        self._conn = conn
        self._message = message
        self._is_closed = False
        self._is_complete = False
        self._is_interrupted = False
        self._interim_answers = 0

    def head(self, timeout_s: float) -> AnswerHead:
        """Wait for the head of the answer.

        Raises
        ------
        UpstreamSilentError
            Where it did not come in time; the exchange goes on.
        UpstreamError
            Where the connection broke or sent no HTTP.
        """
        while True:
            event = self._next_event(timeout_s, "read head")
            if isinstance(event, h11.Response):
                headers = [(bytes(n), bytes(v)) for n, v in event.headers.raw_items()]
                head = AnswerHead(event.status_code, headers)
                self._conn.idle_s = _idle_s(head)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise self._error("no answer", "read head")
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise self._excess("too many interim answers", "read head")

    def read(self, timeout_s: float) -> bytes:
        """Wait for more of the body; returns nothing at its end.

        Raises
        ------
        UpstreamSilentError
            Where nothing came in time; the exchange goes on.
        UpstreamError
            Where the answer was cut off.
        """
        event = self._next_event(timeout_s, "read body")
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                self._is_complete = True
                return b""
        raise self._error("the answer was cut off", "read body")

    def read_all(self, timeout_s: float, max_bytes: int) -> bytes:
        """Read the whole body; see `read`."""
        body = bytearray()
        with eventlet.Timeout(timeout_s, self._silent("read body")):
            while part := self.read(timeout_s):
                body += part
                if len(body) > max_bytes:
                    raise self._excess("the answer is too long", "read body")
        return bytes(body)

    def skip(self, timeout_s: float) -> None:
        """Read past an answer that belongs to an earlier request."""
        self.read_all(timeout_s, MAX_SKIPPED_BYTES)
        rest, is_closed = self._conn.parser.trailing_data
        parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        encode(parser, self._message)
        if rest:
            parser.receive_data(rest)
        if is_closed:
            raise self._error("the connection was closed", "read head")
        self._conn.parser = parser
        self._is_complete = False

    def close(self) -> None:
        """End the exchange; the connection is kept where the answer is complete."""
        if self._is_closed:
            return
        self._is_closed = True
        self._give_back(self._conn, self._is_complete)

    def interrupt(self) -> None:
        """End a wait for the answer with an error, from another green thread."""
        self._is_interrupted = True
        self._conn.shut()

    def _next_event(self, timeout_s: float, step: str):
        if self._is_interrupted:
            raise self._error("the replica is gone", step)
        try:
            with eventlet.Timeout(max(0.0, timeout_s), self._silent(step)):
                event = self._read_event()
            # An answer without a length must not look complete.
            if self._is_interrupted:
                raise self._error("the replica is gone", step)
            return event
        except OSError as exc:
            raise self._error(f"the connection broke: {exc}", step) from exc
        except h11.RemoteProtocolError as exc:
            if exc.error_status_hint == TOO_LARGE:
                raise self._excess(str(exc), step) from exc
            raise self._error(f"no valid HTTP: {exc}", step) from exc

    def _read_event(self):
        parser = self._conn.parser
        self._conn.take_turns()
        while True:
            event = parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            parser.receive_data(self._conn.receive())

    def _silent(self, step: str) -> UpstreamSilentError:
        return UpstreamSilentError("silent", step=step, peer=str(self._conn.address))

    def _excess(self, text: str, step: str) -> UpstreamAnswerTooLargeError:
        return UpstreamAnswerTooLargeError(
            text, step=step, peer=str(self._conn.address)
        )

    def _error(self, text: str, step: str) -> UpstreamError:
        return UpstreamError(text, step=step, peer=str(self._conn.address))


def _idle_s(head: AnswerHead) -> float:
    """Return for how long a connection may be idle after an answer, in seconds."""
    text = head.get(b"keep-alive") or b""
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S


def encode(parser: h11.Connection, message: Message) -> bytes:
    """Return the bytes of a request and note in the parser that it was sent."""
    headers = list(message.headers)
    if message.body or message.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"Content-Length", b"%d" % len(message.body)))
    request = h11.Request(method=message.method, target=message.target, headers=headers)
    return b"".join(_pieces(parser, request, message.body))


def _pieces(
    parser: h11.Connection, request: h11.Request, body: bytes
) -> Iterator[bytes]:
    yield parser.send(request) or b""
    if body:
        yield parser.send(h11.Data(data=body)) or b""
    yield parser.send(h11.EndOfMessage()) or b""
