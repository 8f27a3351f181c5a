"""Stand-in for a replica on the users' platform, serving calls and streams."""

import time
from collections.abc import Callable, Iterator

import eventlet
import msgspec
from eventlet.green import socket

from standins.late_answers import never, repeating_protocol
from standins.silence import Silence
from standins.web import App, json_answer, serve

__all__ = ["RelayReplica", "RelayRun"]

SEAL = ("Response-Seal", "stand-in")
MODEL = "m"


class RelayRun(msgspec.Struct):
    """A request that a replica began to serve; times are monotonic seconds.

    Parameters
    ----------
    request_id : str
        The request's id.
    began, ended : float
        When the replica began and ended it; infinite while it is at work.
    broke_off : bool
        Whether the replica itself broke it off.
    """

    request_id: str
    began: float
    ended: float = float("inf")
    broke_off: bool = False


class RelayReplica:
    """WSGI application of a replica.

    Parameters
    ----------
    name : str
        The replica's id.
    events : int
        Number of events in each stream; 0 for a plain service.
    event_interval_s : float
        Time between events, in seconds.
    version : str
        The version of its model.
    fails : bool
        Whether it answers each request with status 500.
    may_repeat : callable, optional
        Returns whether an answer is repeated late; see `AnswerRepeater`.
    delay_s : float
        Time before each half of a plain answer, in seconds.
    is_chunked : bool
        Whether plain answers are sent in chunks, and not with a length.
    slots : int
        How many requests it says that it serves at the same time.

    Attributes
    ----------
    runs : list of RelayRun
        The requests that it started to serve.
    served_ids : list of str
        Their ids.
    silence : Silence
        Lets the replica stand still, with its connections open.
    is_lost : bool
        Whether it aborts its streams, as a lost replica does.
    limit_per_s : float or None
        The limit on requests that it names in its answers; None if it names none.
    """

    def __init__(
        self,
        name: str,
        events: int = 0,
        event_interval_s: float = 0.02,
        *,
        version: str = "v1",
        fails: bool = False,
        may_repeat: Callable[[], bool] = never,
        delay_s: float = 0.0,
        is_chunked: bool = False,
        slots: int = 8,
    ):
        self.name = name
        self.version = version
        self.fails = fails
        self.runs: list[RelayRun] = []
        self.served_ids: list[str] = []
        self.silence = Silence()
        self.is_lost = False
        self.limit_per_s: float | None = None
        self._events = events
        self._interval_s = event_interval_s
        self._may_repeat = may_repeat
        self._delay_s = delay_s
        self._is_chunked = is_chunked
        self._slots = slots

    @property
    def app(self) -> App:
        """The WSGI application."""
        return self._answer

    def serve(self, listener: socket.socket) -> None:
        """Serve requests until the listener is closed."""
        serve(self.app, listener, protocol=repeating_protocol(self._may_repeat))

    def store_entry(self, service: str, address: str, zone: str) -> bytes:
        """Return the replica's own entry in the store."""
        return msgspec.json.encode(
            {
                "service": service,
                "address": address,
                "zone": zone,
                "version": self.version,
                "slots": self._slots,
                "state": "ready",
                "born": int(time.time() * 1000.0),
            }
        )

    def _answer(self, environ, start_response):
        self.silence.wait()
        if environ["PATH_INFO"] == "/boragedeck/report":
            return json_answer({"models": [{"name": MODEL}]}).send(start_response)
        request_id = environ.get("HTTP_REQUEST_ID", "")
        echo = ("Request-Id", request_id)
        expected = environ.get("HTTP_EXPECT_INSTANCE")
        if expected not in (None, self.name):
            misdirected = [echo, ("Instance-Id", self.name)]
            start_response("421 Misdirected Request", misdirected)
            return [b""]
        if "HTTP_KV_FROM" in environ:
            start_response("503 Service Unavailable", [echo, ("Not-Executed", "1")])
            return [b""]
        run = RelayRun(request_id, time.monotonic())
        self.runs.append(run)
        self.served_ids.append(request_id)
        headers = [echo, SEAL]
        if self.fails:
            run.ended = time.monotonic()
            start_response("500 Internal Server Error", headers)
            return [b""]
        if self.limit_per_s is not None:
            headers.append(("Server-Limit", str(self.limit_per_s)))
        if not self._events:
            body = b"served by " + self.name.encode()
            headers.append(("Content-Type", "text/plain"))
            if not self._is_chunked:
                headers.append(("Content-Length", str(len(body))))
            start_response("200 OK", headers)
            return self._noting_end(run, self._halves(body))
        start_response("200 OK", [*headers, ("Content-Type", "text/event-stream")])
        events = self._stream(int(environ.get("HTTP_LAST_EVENT_ID", 0)))
        return self._noting_end(run, events)

    def _noting_end(self, run: RelayRun, parts: Iterator[bytes]):
        """Send the parts of an answer; note when and how the run ends."""
        try:
            yield from parts
        except ConnectionAbortedError:
            run.broke_off = True
            raise
        finally:
            run.ended = time.monotonic()

    def _halves(self, body: bytes):
        middle = len(body) // 2
        for half in (body[:middle], body[middle:]):
            eventlet.sleep(self._delay_s)
            self.silence.wait()
            yield half

    def _stream(self, after: int):
        for number in range(after + 1, self._events + 1):
            self.silence.wait()
            if self.is_lost:
                raise ConnectionAbortedError(f"{self.name} is lost")
            yield b"id: %d\ndata: piece %d\n\n" % (number, number)
            eventlet.sleep(self._interval_s)
