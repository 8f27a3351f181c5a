"""Stand-in for a replica of a service, which a request may crash."""

import asyncio
import json
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress

from review.third_http import Request, get, read_request
from review.third_store import Store

__all__ = ["Arrival", "Replica", "Work"]

LINGER_RESET = struct.pack("ii", 1, 0)


class Arrival:
    """A request that a replica received and began to run.

    Parameters
    ----------
    request_id : str
        Its id.
    replica : str
        The replica's id.
    at : float
        When it arrived, in monotonic seconds.
    body : bytes
        Its body.
    crashed : bool
        Whether it crashed the replica.
    """

    def __init__(self, request_id, replica, at, body, crashed):
        self.request_id = request_id
        self.replica = replica
        self.at = at
        self.body = body
        self.crashed = crashed


class Work:
    """How a replica serves a request.

    Parameters
    ----------
    work_s : float
        How long it works before the answer begins.
    body_s : float
        How long the body takes after the head has been sent.
    crashes_after_s : float or None
        When the request crashes the replica after it began to run; None if it doesn't.
    status : int
        The status of the answer.
    """

    def __init__(self, work_s=0.02, body_s=0.0, crashes_after_s=None, status=200):
        self.work_s = work_s
        self.body_s = body_s
        self.crashes_after_s = crashes_after_s
        self.status = status


class Replica:
    """A replica with its entry in the store.

    Parameters
    ----------
    store : Store
        Where it registers itself.
    service, zone : str
        As in its entry.
    work_for : callable
        Returns how a request is served.
    note : callable
        Called with what happens, for the record.
    slots : int, optional
        How many requests it runs at once; a few more wait.
    down_s : float, optional
        How long it is down after a crash.
    heartbeat_s : float, optional
        How often it would renew its entry; the entry is dropped three times that after
        a crash.
    version : str, optional
        The version of its software.

    Attributes
    ----------
    running : int
        How many requests it runs now.
    arrivals : list of Arrival
        The requests that began to run.
    """

    def __init__(
        self,
        store: Store,
        service: str,
        zone: str,
        work_for: Callable[[Request], Work],
        note: Callable[..., None],
        *,
        slots: int = 6,
        down_s: float = 3.0,
        heartbeat_s: float = 1.2,
        version: str = "v1",
    ):
        self._store = store
        self._service = service
        self._zone = zone
        self._work_for = work_for
        self._note = note
        self._slots = slots
        self._down_s = down_s
        self._heartbeat_s = heartbeat_s
        self._version = version
        self.running = 0
        self._boots = 0
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._places = asyncio.Semaphore(slots)
        self._is_up = False
        self._port = 0
        self._server: asyncio.Server | None = None
        self._entry: dict = {}
        self._later: set[asyncio.Task] = set()
        self.name = ""
        self.arrivals: list[Arrival] = []

    async def start(self) -> None:
        """Start, or start again, as a new boot with a new id."""
        self._boots += 1
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.name = f"i-{self._service}-{self._port}-{self._boots}"
        self._places = asyncio.Semaphore(self._slots)
        self._is_up = True
        self._entry = {
            "service": self._service,
            "address": f"127.0.0.1:{self._port}",
            "zone": self._zone,
            "version": self._version,
            "slots": self._slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        self._store.put("servers", self.name, self._entry)
        self._note("replica up", replica=self.name)

    def drain(self) -> None:
        """Report that it is draining; it serves on."""
        self._store.put("servers", self.name, self._entry | {"state": "draining"})
        self._note("replica drains", replica=self.name)

    def leave(self) -> None:
        """Remove its entry, and end."""
        self._store.drop("servers", self.name)
        self._note("replica ends", replica=self.name)
        self.stop()

    def stop(self) -> None:
        """End the replica and all that it would still do."""
        self._end_channels()
        for task in self._later:
            task.cancel()

    def crash(self) -> None:
        """Crash: all channels are reset, the port refuses, nothing is told."""
        if not self._is_up:
            return
        self._note("replica crashed", replica=self.name)
        self._end_channels()
        self._spawn(self._expire(self.name))
        self._spawn(self._return())

    def _end_channels(self) -> None:
        self._is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()
        self._writers.clear()

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._later.add(task)
        task.add_done_callback(self._later.discard)

    async def _expire(self, name: str) -> None:
        await asyncio.sleep(3 * self._heartbeat_s)
        self._store.drop("servers", name)

    async def _return(self) -> None:
        await asyncio.sleep(self._down_s)
        await self.start()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                await self._answer(req, writer)
        except (OSError, asyncio.CancelledError):
            # The peer has left, or the case ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, req: Request, writer) -> None:
        path = req.target.partition("?")[0]
        request_id = get(req.headers, "Request-Id") or ""
        echo = [("Request-Id", request_id)] if request_id else []
        if path == "/boragedeck/report":
            report = {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 1,
                "queued": 0,
                "inFlight": 0,
                "kvUsed": 0,
                "kvTotal": 88_000,
                "handles": 0,
            }
            await _send(writer, 200, echo, json.dumps(report).encode())
            return
        own = ("Instance-Id", self.name)
        if path == "/healthz":
            await _send(writer, 200, [*echo, own], b"")
            return
        if get(req.headers, "Expect-Instance") not in (None, self.name):
            await _send(writer, 421, [*echo, own], b"")
            return
        if self._places.locked():
            await _send(writer, 503, [*echo, ("Not-Executed", "1")], b"")
            return
        async with self._places:
            self.running += 1
            try:
                await self._run(req, request_id, echo, writer)
            finally:
                self.running -= 1

    async def _run(self, req: Request, request_id: str, echo, writer) -> None:
        work = self._work_for(req)
        is_deadly = work.crashes_after_s is not None
        self.arrivals.append(
            Arrival(request_id, self.name, time.monotonic(), req.body, is_deadly)
        )
        self._note("run", replica=self.name, request=request_id, crashes=is_deadly)
        if is_deadly:
            await asyncio.sleep(work.crashes_after_s)
            self.crash()
            return
        await asyncio.sleep(work.work_s)
        body = b"served by " + self.name.encode()
        headers = [*echo, ("Response-Seal", f"seal-{request_id}")]
        if not work.body_s:
            await _send(writer, work.status, headers, body)
            return
        head = _head(200, [*headers, ("Content-Length", str(len(body)))])
        writer.write(head + body[:4])
        await writer.drain()
        await asyncio.sleep(work.body_s)
        writer.write(body[4:])
        await writer.drain()


def _head(status: int, headers: list[tuple[str, str]]) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def _send(writer, status: int, headers, body: bytes) -> None:
    length = ("Content-Length", str(len(body)))
    writer.write(_head(status, [*headers, length]) + body)
    await writer.drain()
