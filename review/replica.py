"""Stand-in for the replicas of a service, which answer calls."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from review.fleet import Record
from review.http_text import Head, answer_bytes, read_body, read_head

__all__ = ["CallReplica", "StreamReplica"]

SEAL = "Response-Seal"
REPORT = (
    b'{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false}'
)


class CallReplica:
    """A replica that runs calls, each for the same time.

    Parameters
    ----------
    name : str
        Its id.
    service : str
        Its service.
    zone : str
        Its zone.
    record : Record
        Where runs are written.
    slots : int, optional
        Number of calls that it runs at once.
    queue : int, optional
        Number of further calls that may wait; others get 503 with `Not-Executed`.
    work_s : float, optional
        How long a call runs, in seconds.
    version : str, optional
        The version of its software.
    fails : callable, optional
        Returns whether the next call fails with status 500.

    Attributes
    ----------
    address : str
        IP:PORT at which it listens.
    runs : Counter
        How often each request id has run.
    seen : dict of str to Head
        The head of the last request with each id that has run.
    arrivals : int
        Number of requests that reached it, without status checks.
    failures : int
        Number of calls that it answered with status 500.
    may_repeat_answer : callable
        Returns whether a copy of a rejection is sent, too, where the next answer on
        the connection is expected.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        record: Record,
        *,
        slots: int = 6,
        queue: int = 2,
        work_s: float = 0.045,
        version: str = "v1",
        fails: Callable[[], bool] = lambda: False,
    ):
        self.name = name
        self.version = version
        self.fails = fails
        self.arrivals = 0
        self.failures = 0
        self.service = service
        self.zone = zone
        self.address = ""
        self.runs: Counter[str] = Counter()
        self.seen: dict[str, Head] = {}
        self.rejected = 0
        self.misdirected = 0
        self.repeated_answers = 0
        self.may_repeat_answer: Callable[[], bool] = lambda: False
        self._record = record
        self._slots = asyncio.Semaphore(slots)
        self._places = slots + queue
        self._slot_count = slots
        self._taken = 0
        self._work_s = work_s
        self._born_ms = int(time.time() * 1000.0)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int = 0) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def stop(self) -> None:
        """Accept no further connections."""
        self._server.close()

    def abort(self) -> None:
        """Stop at once, and reset all connections."""
        self.stop()
        for writer in self._writers:
            writer.transport.abort()

    def entry(self, **fields) -> dict:
        """Return its entry in the platform's list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self._slot_count,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self._born_ms,
        } | fields

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late_answer = b""
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if late_answer:
                    self.repeated_answers += 1
                    writer.write(late_answer)
                    late_answer = b""
                answer, is_rejection = await self._answer(head, body)
                writer.write(answer)
                await writer.drain()
                if is_rejection and self.may_repeat_answer():
                    late_answer = answer
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head: Head, body: bytes) -> tuple[bytes, bool]:
        if head.target == "/boragedeck/report":
            return answer_bytes(404, []), False
        request_id = head.headers.get("request-id", "")
        echo = [("Request-Id", request_id), ("Keep-Alive", "timeout=5")]
        if head.headers.get("expect-instance", self.name) != self.name:
            self.misdirected += 1
            return answer_bytes(421, [*echo, ("Instance-Id", self.name)]), True
        self.arrivals += 1
        if self._taken >= self._places:
            self.rejected += 1
            self._record.write(f"{self.name} rejects {request_id}")
            return answer_bytes(503, [*echo, ("Not-Executed", "1")]), True
        self._taken += 1
        try:
            async with self._slots:
                self.runs[request_id] += 1
                self.seen[request_id] = head
                self._record.write(f"{self.name} runs {request_id}")
                await asyncio.sleep(self._work_s)
        finally:
            self._taken -= 1
        seal = (SEAL, f"{self.name}.{request_id}")
        if self.fails():
            self.failures += 1
            return answer_bytes(500, [*echo, seal]), False
        return answer_bytes(200, [*echo, seal], b"done " + request_id.encode()), False


class StreamReplica(CallReplica):
    """A replica that answers with streams of events.

    Parameters
    ----------
    *args, **kwargs
        As for `CallReplica`.
    events : int
        Number of events of a stream.
    event_interval_s : float
        Time between events, in seconds.

    Attributes
    ----------
    aborted : int
        Number of streams whose connection was closed before their end.
    """

    def __init__(self, *args, events: int, event_interval_s: float, **kwargs):
        super().__init__(*args, slots=64, **kwargs)
        self.aborted = 0
        self._events = events
        self._interval_s = event_interval_s

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head)
                if head.target == "/boragedeck/report":
                    writer.write(answer_bytes(200, [], REPORT))
                elif head.headers.get("expect-instance", self.name) != self.name:
                    echo = ("Request-Id", head.headers.get("request-id", ""))
                    misdirected = [echo, ("Instance-Id", self.name)]
                    writer.write(answer_bytes(421, misdirected))
                else:
                    await self._stream(head, reader, writer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stream(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_id = head.headers.get("request-id", "")
        self.runs[request_id] += 1
        self.seen[request_id] = head
        self._record.write(f"{self.name} runs {request_id}")
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"{SEAL}: {self.name}.{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        begin = int(head.headers.get("last-event-id", "0")) + 1
        for number in range(begin, self._events + 1):
            await asyncio.sleep(self._interval_s)
            if reader.at_eof() or writer.is_closing():
                self.aborted += 1
                self._record.write(
                    f"{self.name}: {request_id} was closed by its sender"
                )
                raise ConnectionError("the sender has left")
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self._record.write(f"{self.name} ends {request_id}")
