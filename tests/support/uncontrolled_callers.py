"""Callers that a router can't control, and what a router's process holds meanwhile."""

from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

import eventlet
from eventlet.green import socket
from eventlet.green.http import client

from standins.relay_replica import RelayReplica

__all__ = [
    "CallerCrowd",
    "LargeAnswers",
    "LongStreams",
    "open_files",
    "peak_bytes",
    "stream_event",
]

CHUNK = 65_536
SAMPLE_S = 0.02
SEND_S = 20.0
"""Longest time in which a caller sends its request."""
SLOW_RECEIVE_BYTES = 4_096
SMALL_BYTES = 10
READ_INTERVAL_S = 0.1
SLOW_BYTES_PER_S = 2_048
STEADY_BYTES_PER_S = 120_000
"""Fast enough not to count as slow."""
STEADY_RECEIVE_BYTES = 32_768
RECONNECT_S = 0.2
"""How long a caller that was refused or cut waits before it comes again."""
MAX_SOURCES = 250
"""The most addresses that callers of a held crowd come from."""
TRICKLE_BYTES = 100
TRICKLE_S = 0.2
"""A trickling body goes on by `TRICKLE_BYTES` once in this time, in seconds."""


def peak_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had, in bytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    found = next(line for line in lines if line.startswith("VmHWM:"))
    return int(found.split()[1]) * 1024


def open_files(pid: int) -> int:
    """Return the number of a process's open descriptors."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def stream_event(number: int, size: int) -> bytes:
    """Return an event of a stream, given its number and the size of its data."""
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * size)


class LargeAnswers(RelayReplica):
    """A service whose answers are as large as the end of the path says.

    ``/large`` and ``/endless`` stand for the largest size, the latter without a length,
    ``/small`` for a few bytes; others have `CHUNK` bytes. A body is read before.
    """

    def __init__(self, name: str, size: int, slots: int):
        super().__init__(name, slots=slots)
        self._size = size

    def _answer(self, environ, start_response):
        while environ["wsgi.input"].read(CHUNK):
            pass
        path = environ["PATH_INFO"]
        headers = [
            ("Request-Id", environ.get("HTTP_REQUEST_ID", "")),
            ("Response-Seal", "stand-in"),
        ]
        size = CHUNK
        if path.endswith(("/large", "/endless")):
            size = self._size
        elif path.endswith("/small"):
            size = SMALL_BYTES
        if not path.endswith("/endless"):
            headers.append(("Content-Length", str(size)))
        start_response("200 OK", headers)
        return (b"x" * min(CHUNK, size - sent) for sent in range(0, size, CHUNK))


class LongStreams(RelayReplica):
    """An engine whose streams are long and arrive as fast as they are read."""

    def __init__(self, name: str, events: int, event_bytes: int):
        super().__init__(name, events)
        self._event_bytes = event_bytes

    def _stream(self, after: int) -> Iterator[bytes]:
        for number in range(after + 1, self._events + 1):
            yield stream_event(number, self._event_bytes)


class CallerCrowd:
    """Connections of callers to one router, and the largest memory of its process.

    Parameters
    ----------
    address : tuple of (str, int)
        Where the router listens for callers.
    pid : int
        The router's process.

    Attributes
    ----------
    most_files : int
        The most open descriptors since the start.
    statuses : Counter of int
        The statuses of the answers that were read whole; see `repeat`.
    """

    def __init__(self, address: tuple[str, int], pid: int):
        self._address = address
        self._pid = pid
        self._socks: set[socket.socket] = set()
        self._threads: list[eventlet.greenthread.GreenThread] = []
        self.most_files = 0
        self.statuses: Counter[int] = Counter()
        self._sampler = eventlet.spawn(self._sample)

    @property
    def most_bytes(self) -> int:
        """The largest resident memory since the process began."""
        return peak_bytes(self._pid)

    def connect(
        self, receive_bytes: int | None = None, source: str | None = None
    ) -> socket.socket | None:
        """Open a connection, which stays open; return None if that fails.

        Parameters
        ----------
        receive_bytes : int, optional
            Size of the socket's receive buffer.
        source : str, optional
            The caller's address.
        """
        sock = socket.socket()
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        try:
            if source is not None:
                sock.bind((source, 0))
            with eventlet.Timeout(SEND_S):
                sock.connect(self._address)
        except (OSError, eventlet.Timeout):
            sock.close()
            return None
        self._socks.add(sock)
        return sock

    def send_all(self, parts: list[bytes], count: int, receive_bytes=None) -> None:
        """Send the same bytes on several connections, without reading an answer.

        Notes
        -----
        A router may refuse a request and close the connection meanwhile.
        """
        threads = [
            eventlet.spawn(self._send, parts, receive_bytes) for _ in range(count)
        ]
        for thread in threads:
            thread.wait()

    def repeat(self, path: str, headers: dict, body: bytes, *, count: int, times: int):
        """Send requests one after the other on kept connections, and read each answer.

        Parameters
        ----------
        path, headers, body : str, dict and bytes
            The request.
        count, times : int
            The number of connections, and of requests on each.
        """
        threads = [
            eventlet.spawn(self._repeat, path, headers, body, times)
            for _ in range(count)
        ]
        for thread in threads:
            thread.wait()

    def hold_unfinished(self, parts: list[bytes], count: int) -> None:
        """Keep requests that stop short open, anew whenever they are closed."""
        self._hold(count, self._send_and_wait, parts)

    def hold_trickling(self, parts: list[bytes], count: int) -> None:
        """Keep requests open whose bodies go on slowly, anew whenever they end."""
        self._hold(count, self._trickle, parts)

    def hold_slow_readers(self, parts: list[bytes], count: int) -> None:
        """Keep callers that read their answers slowly, anew whenever these end."""
        self._hold(count, self._read_at(SLOW_BYTES_PER_S), parts)

    def hold_steady_readers(self, parts: list[bytes], count: int) -> None:
        """Keep callers that read steadily at `STEADY_BYTES_PER_S`, anew as above."""
        read = self._read_at(STEADY_BYTES_PER_S)
        self._hold(count, read, parts, STEADY_RECEIVE_BYTES)

    def close(self) -> None:
        """Close all connections."""
        self._sampler.kill()
        for thread in self._threads:
            thread.kill()
        for sock in self._socks:
            sock.close()

    def _hold(
        self,
        count: int,
        act: Callable,
        parts: list[bytes],
        receive_bytes: int = SLOW_RECEIVE_BYTES,
    ) -> None:
        for number in range(count):
            source = f"127.0.1.{number % MAX_SOURCES + 1}"
            thread = eventlet.spawn(self._come_again, source, receive_bytes, act, parts)
            self._threads.append(thread)

    def _come_again(
        self, source: str, receive_bytes: int, act: Callable, parts: list[bytes]
    ) -> None:
        while True:
            sock = self.connect(receive_bytes, source)
            if sock is not None:
                try:
                    act(sock, parts)
                except OSError:
                    pass  # The router has closed the connection, which it may.
                self._socks.discard(sock)
                sock.close()
            eventlet.sleep(RECONNECT_S)

    def _send_and_wait(self, sock: socket.socket, parts: list[bytes]) -> None:
        for part in parts:
            sock.sendall(part)
        while sock.recv(CHUNK):
            pass

    def _trickle(self, sock: socket.socket, parts: list[bytes]) -> None:
        for part in parts:
            sock.sendall(part)
        while True:
            sock.sendall(b"x" * TRICKLE_BYTES)
            eventlet.sleep(TRICKLE_S)

    def _read_at(self, bytes_per_s: int) -> Callable:
        def send_and_read(sock: socket.socket, parts: list[bytes]) -> None:
            for part in parts:
                sock.sendall(part)
            while sock.recv(int(bytes_per_s * READ_INTERVAL_S)):
                eventlet.sleep(READ_INTERVAL_S)

        return send_and_read

    def _send(self, parts: list[bytes], receive_bytes: int | None) -> None:
        sock = self.connect(receive_bytes)
        if sock is None:
            return
        try:
            with eventlet.Timeout(SEND_S, False):
                for part in parts:
                    sock.sendall(part)
        except OSError:
            # The router has closed the connection, which it may.
            pass

    def _repeat(self, path: str, headers: dict, body: bytes, times: int) -> None:
        conn = client.HTTPConnection(*self._address, timeout=SEND_S)
        for _ in range(times):
            try:
                conn.request("POST", path, body, headers)
                answer = conn.getresponse()
                answer.read()
                self.statuses[answer.status] += 1
            except (OSError, client.HTTPException):
                # The router has closed the connection, which it may; the next request
                # opens another one.
                conn.close()
        conn.close()

    def _sample(self) -> None:
        while True:
            self.most_files = max(self.most_files, open_files(self._pid))
            eventlet.sleep(SAMPLE_S)
