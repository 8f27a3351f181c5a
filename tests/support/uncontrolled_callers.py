"""Callers that a router can't control, and what a router's process holds meanwhile."""

from collections.abc import Iterator
from pathlib import Path

import eventlet
from eventlet.green import socket

from standins.relay_replica import RelayReplica

__all__ = [
    "CallerCrowd",
    "LargeAnswers",
    "LongStreams",
    "open_files",
    "resident_bytes",
]

CHUNK = 65_536
SAMPLE_S = 0.02
SEND_S = 20.0
"""Longest time in which a caller sends its request."""
SLOW_RECEIVE_BYTES = 4_096


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    found = next(line for line in lines if line.startswith("VmRSS:"))
    return int(found.split()[1]) * 1024


def open_files(pid: int) -> int:
    """Return the number of a process's open descriptors."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


class LargeAnswers(RelayReplica):
    """A service whose answer to each call is large."""

    def __init__(self, name: str, size: int):
        super().__init__(name)
        self._part = b"x" * CHUNK
        self._size = size

    def _answer(self, environ, start_response):
        echo = ("Request-Id", environ.get("HTTP_REQUEST_ID", ""))
        size = self._size if environ["PATH_INFO"].endswith("/large") else CHUNK
        headers = [echo, ("Response-Seal", "stand-in"), ("Content-Length", str(size))]
        start_response("200 OK", headers)
        return (self._part for _ in range(size // CHUNK))


class LongStreams(RelayReplica):
    """An engine whose streams are long and arrive as fast as they are read."""

    def __init__(self, name: str, events: int, event_bytes: int):
        super().__init__(name, events)
        self._data = b"x" * event_bytes

    def _stream(self, after: int) -> Iterator[bytes]:
        for number in range(after + 1, self._events + 1):
            yield b"id: %d\ndata: %s\n\n" % (number, self._data)


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
    most_bytes, most_files : int
        The most resident memory and open descriptors since the start.
    """

    def __init__(self, address: tuple[str, int], pid: int):
        self._address = address
        self._pid = pid
        self._socks: list[socket.socket] = []
        self.most_bytes = self.most_files = 0
        self._sampler = eventlet.spawn(self._sample)

    def connect(self, receive_bytes: int | None = None) -> socket.socket | None:
        """Open a connection, which stays open; return None if that fails."""
        sock = socket.socket()
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        try:
            with eventlet.Timeout(SEND_S):
                sock.connect(self._address)
        except (OSError, eventlet.Timeout):
            sock.close()
            return None
        self._socks.append(sock)
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

    def close(self) -> None:
        """Close all connections."""
        self._sampler.kill()
        for sock in self._socks:
            sock.close()

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

    def _sample(self) -> None:
        while True:
            self.most_bytes = max(self.most_bytes, resident_bytes(self._pid))
            self.most_files = max(self.most_files, open_files(self._pid))
            eventlet.sleep(SAMPLE_S)
