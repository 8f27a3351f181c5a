"""Stand-in for a replica that answers as the pages allow, and misbehaves on demand."""

import itertools
import random
import struct
import time

import eventlet
import msgspec
from eventlet.green import socket

from soak.history import End, History, Run
from soak.pieces import PieceHabits, PieceWriter
from soak.release import Release
from soak.room import Places, Room
from soak.rules import STREAM_ROUTES, events_of
from standins.silence import Silence
from standins.web import listen

__all__ = ["Mood", "Replica"]

MODELS = b'{"stage":"both","models":[{"name":"m"}]}'
EVENT_S = 0.08
HALF_S = 0.1
POLL_S = 0.05
PREFILL_TOKENS_PER_S = 8_000.0
FULL = "503 Service Unavailable\r\nNot-Executed: 1"
PADDING = b"." * 700
JOINED_RELEASE_SHARE = 0.7
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_REPEATED_BYTES = 64 * 1024

_tokens = itertools.count(1)


class Mood(msgspec.Struct):
    """How a replica misbehaves for now: shares of its requests.

    Parameters
    ----------
    full : float
        Turned away as not executed.
    grey : float
        Answered with status 500.
    loses : float
        Run, and the connection is closed without an answer.
    truncates : float
        Cut in the middle of the answer.
    repeats : float
        Answered, and the answer is sent again before the next one.
    closes : float
        Answered with ``Connection: close``.
    first_s : float
        Time before the first event of a stream, beside that of its prompt.
    pace : float
        Factor of all times.
    holds, joins, splits : float
        Streams whose pieces are written so; see `PieceHabits`.
    """

    full: float = 0.0
    grey: float = 0.0
    loses: float = 0.0
    truncates: float = 0.0
    repeats: float = 0.0
    closes: float = 0.0
    first_s: float = 0.0
    pace: float = 1.0
    holds: float = 0.0
    joins: float = 0.0
    splits: float = 0.0


class _Request(msgspec.Struct):
    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def is_stream(self) -> bool:
        return self.path.split("/")[1] in STREAM_ROUTES

    @property
    def prompt_tokens(self) -> int:
        return self._token_counts()[0]

    @property
    def tokens(self) -> int:
        """The memory that it needs."""
        return sum(self._token_counts())

    def _token_counts(self) -> list[int]:
        counts = self.headers.get("token-counts", "0,0")
        return [int(count) for count in counts.split(",")]


class Replica:
    """A replica that listens at a port of its own.

    Parameters
    ----------
    name, service, zone : str
        Its id, its service and its zone.
    history : History
        Where runs are noted.
    room : Room
        Its slots and memory.
    rng : random.Random
        Draws how each request is answered.
    port : int, optional
        The TCP port; 0 for any free one.

    Attributes
    ----------
    mood : Mood
        How it misbehaves.
    silence : Silence
        Lets it stand still.
    release : Release or None
        Holds the first events of some streams back.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        history: History,
        room: Room,
        rng: random.Random,
        port: int = 0,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.mood = Mood()
        self.silence = Silence()
        self.release: Release | None = None
        self._history = history
        self._room = room
        self._places = Places(room)
        self._rng = rng
        self._has_early_head = rng.random() < 0.5
        self._is_lost = False
        self._born_ms = int(time.time() * 1000.0)
        self._sequence = 0
        self._listener = listen(port)
        self._handlers: set = set()
        self._acceptor = eventlet.spawn(self._accept)

    def entry(self, state: str = "ready") -> bytes:
        """Return its entry in the store, with a new sequence."""
        self._sequence += 1
        host, port = self._listener.getsockname()
        fields = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self._room.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        return msgspec.json.encode(fields)

    def active_runs(self) -> int:
        """Return the number of runs at work."""
        return sum(
            run.replica == self.name and run.end is None for run in self._history.runs
        )

    def crash(self) -> None:
        """Stop at once, and reset all connections."""
        self._is_lost = True
        self._acceptor.kill()
        self._listener.close()
        for handler in list(self._handlers):
            handler.kill()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            handler = eventlet.spawn(self._serve, sock)
            self._handlers.add(handler)
            handler.link(lambda each: self._handlers.discard(each))

    def _serve(self, sock: socket.socket) -> None:
        file = sock.makefile("rb")
        late_answer = b""
        try:
            while True:
                self.silence.wait()
                request = _read_request(file)
                self.silence.wait()
                if request is None:
                    break
                late_answer, goes_on = self._answer(sock, request, late_answer)
                if not goes_on:
                    break
        except OSError:
            # The router has closed the connection.
            pass
        finally:
            if self._is_lost:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            file.close()
            sock.close()

    def _answer(
        self, sock: socket.socket, request: _Request, late: bytes
    ) -> tuple[bytes, bool]:
        """Answer; return what is sent again later, and whether to go on."""
        if late:
            sock.sendall(late)
        if request.path.startswith("/boragedeck/"):
            head = "HTTP/1.1 200 OK\r\nContent-Type: application/json"
            sock.sendall(_message(head, MODELS))
            return b"", True
        run = self._note(request)
        try:
            return self._run(sock, request, run)
        finally:
            run.ended = time.monotonic()
            if run.end is None:
                run.end = End.BROKEN if self._is_lost else End.DROPPED

    def _note(self, request: _Request) -> Run:
        headers = request.headers
        run = Run(
            call=headers.get("request-id", ""),
            token=next(_tokens),
            replica=self.name,
            service=self.service,
            method=request.method,
            path=request.path,
            body=request.body,
            tenant=headers.get("tenant", ""),
            has_key="api-key" in headers,
            after=int(headers.get("last-event-id", 0)),
            arrived=time.monotonic(),
        )
        self._history.runs.append(run)
        return run

    def _run(
        self, sock: socket.socket, request: _Request, run: Run
    ) -> tuple[bytes, bool]:
        rejection = self._rejection(request)
        if not rejection and not self._wait_for_place(sock, request):
            rejection = FULL
        if rejection:
            run.end = End.REJECTED
            head = f"HTTP/1.1 {rejection}\r\nRequest-Id: {run.call}"
            answer = _message(head, b"")
            sock.sendall(answer)
            return self._repeated(answer), True
        run.began = time.monotonic()
        try:
            return self._serve_run(sock, request, run)
        finally:
            self._places.free(request.tokens)

    def _wait_for_place(self, sock: socket.socket, request: _Request) -> bool:
        limit_s = int(request.headers.get("deadline-ms", 0)) / 1e3
        until = time.monotonic() + limit_s

        def may_wait() -> bool:
            self.silence.wait()
            _check_open(sock)
            return time.monotonic() < until

        return self._places.wait(request.tokens, may_wait)

    def _serve_run(
        self, sock: socket.socket, request: _Request, run: Run
    ) -> tuple[bytes, bool]:
        if self._draws(self.mood.grey):
            answer = self._fail(sock, run)
        elif self._draws(self.mood.loses):
            self._sleep(HALF_S)
            run.end = End.BROKEN
            return b"", False
        elif request.is_stream:
            answer = self._send_events(sock, request, run)
        else:
            answer = self._send_body(sock, run)
        return self._repeated(answer), run.end is End.WHOLE and not self._closed(answer)

    def _rejection(self, request: _Request) -> str:
        """Return the status line and headers of a rejection; empty if it runs."""
        expected = request.headers.get("expect-instance")
        if expected not in (None, self.name):
            return f"421 Misdirected Request\r\nInstance-Id: {self.name}"
        if "kv-from" in request.headers or self._draws(self.mood.full):
            return FULL
        return ""

    def _head(self, run: Run, status: str) -> str:
        head = f"HTTP/1.1 {status}\r\nRequest-Id: {run.call}"
        head += f"\r\nResponse-Seal: seal-{run.token}"
        run.status = int(status.split()[0])
        if self._draws(self.mood.closes):
            head += "\r\nConnection: close"
        return head

    def _fail(self, sock: socket.socket, run: Run) -> bytes:
        answer = _message(self._head(run, "500 Internal Server Error"), b"")
        sock.sendall(answer)
        run.end = End.WHOLE
        return answer

    def _send_body(self, sock: socket.socket, run: Run) -> bytes:
        run.answer = b"answer to %s run %d " % (run.call.encode(), run.token) + PADDING
        message = _message(self._head(run, "200 OK"), run.answer)
        middle = len(message) - len(run.answer) // 2
        self._sleep(HALF_S)
        sock.sendall(message[:middle])
        self._sleep(HALF_S)
        if self._draws(self.mood.truncates):
            run.end = End.BROKEN
            return b""
        sock.sendall(message[middle:])
        run.end = End.WHOLE
        return message

    def _send_events(self, sock: socket.socket, request: _Request, run: Run) -> bytes:
        head = self._head(run, "200 OK") + "\r\nContent-Type: text/event-stream"
        head += "\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer = head.encode()
        release = self._release_of(run)
        habits = self._draw_habits(release)
        writer = PieceWriter(sock, habits, self._rng)
        if not self._has_early_head:
            self._prefill(sock, request, release)
            writer.write(answer)
        else:
            sock.sendall(answer)
            self._prefill(sock, request, release)
        event_s = 0.0 if release else EVENT_S
        numbers = range(run.after + 1, events_of(run.path) + 1)
        cut_at = self._rng.choice(numbers or [0])
        is_cut = self._draws(self.mood.truncates)
        for number in numbers:
            if event_s:
                self._sleep(event_s)
            chunk = _chunk(_event(run, number))
            if is_cut and number == cut_at:
                # In the middle of an event.
                writer.write(chunk[:-9])
                writer.end()
                run.end = End.BROKEN
                return b""
            writer.write(chunk)
            answer += chunk
        writer.write(_chunk(b""))
        writer.end()
        run.end = End.WHOLE
        return answer + _chunk(b"")

    def _release_of(self, run: Run) -> Release | None:
        """Return what holds the first event of a run back, if anything does."""
        release, call = self.release, self._history.calls.get(run.call)
        if release is None or call is None or not release.holds(call):
            return None
        return release

    def _draw_habits(self, release: Release | None) -> PieceHabits:
        mood = self.mood
        if release is not None:
            # Short answers come at once, some of them in few pieces.
            return PieceHabits(joins=self._draws(JOINED_RELEASE_SHARE))
        return PieceHabits(
            self._draws(mood.holds), self._draws(mood.joins), self._draws(mood.splits)
        )

    def _prefill(
        self, sock: socket.socket, request: _Request, release: Release | None
    ) -> None:
        """Work on a stream before its first event, while its caller is there."""
        if release is not None:
            release.wait(lambda: _check_open(sock))
            return
        seconds = request.prompt_tokens / PREFILL_TOKENS_PER_S + self.mood.first_s
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self._sleep(POLL_S)
            _check_open(sock)

    def _sleep(self, seconds: float) -> None:
        eventlet.sleep(seconds * self.mood.pace)
        self.silence.wait()

    def _draws(self, share: float) -> bool:
        return share > 0.0 and self._rng.random() < share

    def _repeated(self, answer: bytes) -> bytes:
        is_short = len(answer) <= MAX_REPEATED_BYTES
        return answer if is_short and self._draws(self.mood.repeats) else b""

    def _closed(self, answer: bytes) -> bool:
        return b"\r\nConnection: close" in answer.partition(b"\r\n\r\n")[0]


def _check_open(sock: socket.socket) -> None:
    """Raise an error if the other side has closed a connection."""
    try:
        data = sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return
    if not data:
        raise ConnectionResetError("the router has closed the connection")


def _event(run: Run, number: int) -> bytes:
    text = f"id: {number}\ndata: piece {number} of {run.call} run {run.token}\n\n"
    return text.encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _message(head: str, body: bytes) -> bytes:
    return f"{head}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def _read_request(file) -> _Request | None:
    """Read a request; None if the connection has ended."""
    line = file.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split()
    headers = {}
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = file.read(length) if length else b""
    if len(body) < length:
        return None
    return _Request(method, path, headers, body)
