"""A caller of `scarce_answers`, on a socket of its own."""

import enum
import re
import time
from collections.abc import Iterator

import eventlet
import msgspec
from eventlet.green import socket

__all__ = ["Connection", "Habit", "Request", "SlowBody"]

CHUNK_BYTES = 4_000
SMALL_BUFFER_BYTES = 4_096
SLOW_READ_S = 0.05
MAX_DETAIL = 80
CONTINUE_S = 1.0
"""How long a caller waits for the status 100."""
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class Habit(enum.Enum):
    """How a caller sends and reads."""

    PLAIN = "plain"
    SLOW_READER = "reads slowly"
    EXPECTS = "expects 100"
    HALF_CLOSES = "closes its half"
    LATE_BODY = "body ends around the close"
    BEHIND = "sends at once behind an answer"


class Request(msgspec.Struct):
    """A request and its end; times in monotonic seconds.

    Parameters
    ----------
    name : str
        Its id.
    router : int
        The router that it is sent to.
    size : str
        Its kind.
    tokens : int
        The tokens of its prompt.
    body_bytes : int
        The size of its body.
    is_chunked : bool
        Whether its body is sent in chunks.
    habit : Habit
        How it is sent, and its answer read.
    caller_s : float
        How long its caller waits, in seconds.
    is_kept : bool
        Whether its connection has served before.
    sent, last_sent, ended : float
        When its first byte and its last one were sent (0.0 if it wasn't), and when it
        ended.
    status : int
        The answer's status; 0 if there is none.
    is_complete : bool
        Whether the answer ended as its framing says.
    events : list of int
        The numbers of the events in the answer.
    detail : str
        The error.
    """

    name: str
    router: int
    size: str
    tokens: int
    body_bytes: int
    is_chunked: bool
    habit: Habit
    caller_s: float
    is_kept: bool = False
    sent: float = 0.0
    last_sent: float = 0.0
    ended: float = 0.0
    status: int = 0
    is_complete: bool = False
    events: list[int] = msgspec.field(default_factory=list)
    detail: str = ""


class SlowBody(msgspec.Struct, frozen=True):
    """The time that the body takes.

    Parameters
    ----------
    part_s : float
        The pause before each part, in seconds.
    last_at : float
        When the last part is sent, in monotonic seconds; 0.0 for at once.
    """

    part_s: float = 0.0
    last_at: float = 0.0


class Connection:
    """A connection to a router.

    Parameters
    ----------
    address : tuple of (str, int)
        The router's address.
    is_small : bool
        Whether its receive buffer is small.
    """

    def __init__(self, address: tuple[str, int], timeout_s: float, *, is_small: bool):
        self._sock = socket.socket()
        if is_small:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        self._sock.settimeout(timeout_s)
        self._sock.connect(address)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self._sock.makefile("rb")
        self.is_open = True
        self.has_served = False

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        self._file.close()
        self._sock.close()

    def exchange(self, req: Request, body: SlowBody) -> None:
        """Send a request and read its answer; note both in the request."""
        self.send(req, body)
        self.read(req)

    def send(self, req: Request, body: SlowBody) -> None:
        """Send a request; an answer may arrive before its whole body is read."""
        req.is_kept = self.has_served
        req.sent = time.monotonic()
        try:
            self._send(req, body)
        except OSError as exc:
            req.detail = repr(exc)[:MAX_DETAIL]

    def read(self, req: Request) -> None:
        """Read the answer to a request."""
        try:
            self._read(req)
        except (OSError, ValueError) as exc:
            req.detail += repr(exc)[:MAX_DETAIL]
            self.is_open = False
        req.ended = time.monotonic()
        self.has_served = True

    def _send(self, req: Request, body: SlowBody) -> None:
        self._sock.sendall(_head(req))
        if req.habit is Habit.EXPECTS:
            self._wait_continue()
        parts = list(_parts(req))
        for number, part in enumerate(parts, 1):
            eventlet.sleep(body.part_s)
            if number == len(parts):
                eventlet.sleep(max(0.0, body.last_at - time.monotonic()))
            self._sock.sendall(part)
        req.last_sent = time.monotonic()
        if req.habit is Habit.HALF_CLOSES:
            self._sock.shutdown(socket.SHUT_WR)

    def _wait_continue(self) -> None:
        with eventlet.Timeout(CONTINUE_S, False):
            self._file.peek(1)

    def _read(self, req: Request) -> None:
        status, headers = self._read_head()
        while status == 100:
            status, headers = self._read_head()
        req.status = status
        if headers.get("connection") == "close":
            self.is_open = False
        text = bytearray()
        try:
            for part in self._parts_of_answer(headers):
                text += part
                if req.habit is Habit.SLOW_READER:
                    eventlet.sleep(SLOW_READ_S)
        finally:
            req.events = [int(number) for number in EVENT_ID.findall(text)]
        req.is_complete = True

    def _read_head(self) -> tuple[int, dict[str, str]]:
        line = self._file.readline()
        if not line:
            raise ConnectionError("closed before a status")
        headers = {}
        while (header := self._file.readline().strip()) != b"":
            name, _, value = header.decode().partition(":")
            headers[name.lower()] = value.strip().lower()
        return int(line.split()[1]), headers

    def _parts_of_answer(self, headers: dict[str, str]) -> Iterator[bytes]:
        if headers.get("transfer-encoding") != "chunked":
            yield self._read_exactly(int(headers.get("content-length", 0)))
            return
        while size := int(self._file.readline() or b"cut", 16):
            yield self._read_exactly(size)
            self._file.readline()
        self._file.readline()

    def _read_exactly(self, size: int) -> bytes:
        data = self._file.read(size)
        if len(data) < size:
            raise ConnectionError("closed within the answer")
        return data


def _head(req: Request) -> bytes:
    lines = [
        "POST /stream/x HTTP/1.1",
        "Host: demo.example",
        "Api-Key: demo-key",
        f"Deadline-Ms: {int(req.caller_s * 1e3)}",
        f"Request-Id: {req.name}",
        "Model: m",
        f"Token-Counts: {req.tokens},1300",
    ]
    if req.is_chunked:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {req.body_bytes}")
    if req.habit is Habit.EXPECTS:
        lines.append("Expect: 100-continue")
    return "\r\n".join([*lines, "", ""]).encode()


def _parts(req: Request) -> Iterator[bytes]:
    """Yield the body as it is sent, in two parts at least."""
    size = min(CHUNK_BYTES, req.body_bytes // 2)
    if not req.is_chunked:
        yield b"x" * (req.body_bytes - size)
        yield b"x" * size
        return
    for start in range(0, req.body_bytes, size):
        part = b"x" * min(size, req.body_bytes - start)
        yield b"%x\r\n%b\r\n" % (len(part), part)
    yield b"0\r\n\r\n"
