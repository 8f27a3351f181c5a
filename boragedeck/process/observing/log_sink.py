"""Writes log lines without blocking requests."""

import fcntl
import os
import stat
from collections import deque
from typing import Any

import eventlet
import msgspec
from eventlet.patcher import original

__all__ = ["LogSink"]

MAX_QUEUED_LINES = 4_096
MAX_LINES_PER_S = 400
BATCH_LINES = 64
RETRY_INTERVAL_S = 0.05

_write_now = original("os").write
"""Eventlet's patched `os.write` would wait until the reader has room."""


class LogSink:
    """An eliot destination that queues lines and writes them in a green thread.

    Parameters
    ----------
    fd : int
        The file descriptor to write to.

    Attributes
    ----------
    dropped : int
        Number of lines dropped because the rate limit or the queue limit was reached.
    """

    def __init__(self, fd: int):
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._is_draining = False
        self._line_budget = float(MAX_LINES_PER_S)
        self._budget_updated_at = 0.0
        self.dropped = 0
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            flags = fcntl.fcntl(fd, fcntl.F_GETFL)
            fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one message, or drop it if a limit is reached."""
        if not self._spend_budget(message["timestamp"]):
            self.dropped += 1
            return
        line = msgspec.json.encode(message, enc_hook=repr) + b"\n"
        self._lines.append(line)
        if not self._is_draining:
            self._is_draining = True
            eventlet.spawn_n(self._drain)

    def flush(self) -> None:
        """Write queued lines until the queue is empty or the reader is behind."""
        while self._lines and self._write():
            pass

    def _spend_budget(self, now: float) -> bool:
        earned = max(0.0, now - self._budget_updated_at) * MAX_LINES_PER_S
        self._line_budget = min(float(MAX_LINES_PER_S), self._line_budget + earned)
        self._budget_updated_at = now
        if self._line_budget < 1.0 or len(self._lines) >= MAX_QUEUED_LINES:
            return False
        self._line_budget -= 1.0
        return True

    def _drain(self) -> None:
        try:
            while self._lines:
                if not self._write():
                    eventlet.sleep(RETRY_INTERVAL_S)
        finally:
            self._is_draining = False

    def _write(self) -> bool:
        """Write a batch; return False if the reader is behind."""
        count = min(BATCH_LINES, len(self._lines))
        batch = b"".join(self._lines.popleft() for _ in range(count))
        try:
            written = _write_now(self._fd, batch)
        except BlockingIOError:
            written = 0
        if written < len(batch):
            self._lines.appendleft(batch[written:])
        return written > 0
