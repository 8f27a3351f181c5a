"""Stand-in of a replica: it serves calls and streams, and keeps its entry written."""

import itertools
import json
import secrets
import socket
import struct
import threading
import time
from collections.abc import Callable

from review.second_record import Record
from review.second_store import Store

__all__ = ["Crash", "Replica", "Request", "answer_call"]

HEARTBEAT_S = 1.2
HEARTBEATS_TO_LAPSE = 3
_numbers = itertools.count(1)


class Crash(Exception):
    """Ends the replica at once, as a crash of its process does."""


class Request:
    """A request as a replica has read it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self) -> str:
        """The caller's id of the request."""
        return self.headers.get("request-id", "")


class Replica:
    """One run of a replica, with an id and an address of its own.

    Parameters
    ----------
    store : Store
        Where it registers itself.
    record : Record
        Receives what it runs.
    service : str
        The service.
    zone : str
        Its zone.
    work : callable
        Runs a request: gets the replica, the request and the connection, and answers.
    engine : bool, optional
        Whether it is a model replica.
    slots : int, optional
        How many requests it says that it runs at once.
    host : str, optional
        Its loopback address.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        zone: str,
        work: Callable[["Replica", Request, socket.socket], None],
        *,
        engine: bool = False,
        slots: int = 6,
        host: str = "127.0.0.1",
    ):
        self.name = f"i-{next(_numbers)}-{secrets.token_hex(3)}"
        self.service = service
        self.zone = zone
        self.record = record
        self.is_crashed = False
        self._store = store
        self._work = work
        self._engine = engine
        self._slots = slots
        self._born = int(time.time() * 1000.0)
        self._conns: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self.write_entry("ready")
        threading.Thread(target=self._accept, daemon=True).start()

    def write_entry(self, state: str) -> None:
        """Write its entry in the platform's list."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self._born,
        }
        if self._engine:
            models = [{"name": "m", "version": 1, "adapters": []}]
            entry |= {"stage": "both", "models": models}
        self._store.put("servers", self.name, entry)

    def crash(self) -> None:
        """End at once: the kernel resets its connections, and its entry lapses."""
        with self._lock:
            if self.is_crashed:
                return
            self.is_crashed = True
            conns = list(self._conns)
        self.record.write("replica crashes", replica=self.name)
        _close(self._listener)
        for conn in conns:
            reset(conn)
        lapse_s = HEARTBEATS_TO_LAPSE * HEARTBEAT_S
        timer = threading.Timer(lapse_s, self._store.drop, ("servers", self.name))
        timer.daemon = True
        timer.start()

    def close(self) -> None:
        """Stop serving, at the end of a case."""
        self.is_crashed = True
        _close(self._listener)

    def _accept(self) -> None:
        while not self.is_crashed:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._conns.add(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        file = conn.makefile("rb")
        try:
            while (req := _read_request(file)) is not None and not self.is_crashed:
                self._answer(req, conn)
        except Crash:
            self.crash()
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._conns.discard(conn)
            file.close()
            # Without a shutdown, which would end what `reset` has marked cleanly.
            conn.close()

    def _answer(self, req: Request, conn: socket.socket) -> None:
        if req.target == "/boragedeck/report":
            models = [{"name": "m", "version": 1, "adapters": []}]
            body = json.dumps({"stage": "both", "models": models}).encode()
            send(conn, 200, {"Content-Type": "application/json"}, body)
            return
        echo = {"Request-Id": req.request_id}
        expected = req.headers.get("expect-instance")
        if expected not in (None, self.name):
            send(conn, 421, echo | {"Instance-Id": self.name}, b"")
            return
        self.record.write("reaches", request=req.request_id, replica=self.name)
        self._work(self, req, conn)


def answer_call(replica: Replica, req: Request, conn: socket.socket) -> None:
    """Answer a call at once with a success that names the request."""
    replica.record.write("runs", request=req.request_id, replica=replica.name)
    headers = {"Request-Id": req.request_id, "Response-Seal": f"seal-{replica.name}"}
    send(conn, 200, headers, f"answer to {req.request_id}".encode())


def send(conn: socket.socket, status: int, headers: dict, body: bytes) -> None:
    """Send a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def reset(conn: socket.socket) -> None:
    """Let a connection be reset when its thread, which is woken, closes it."""
    try:
        option = struct.pack("ii", 1, 0)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        conn.shutdown(socket.SHUT_RD)
    except OSError:
        # The other side has closed it already.
        pass


def _read_request(file) -> Request | None:
    line = file.readline(65536)
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := file.readline(65536).strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = file.read(length) if length else b""
    if len(body) < length:
        return None
    return Request(method, target, headers, body)


def _close(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It isn't connected.
        pass
    sock.close()
