"""The record of a case: what was sent, answered and run, with the time of each."""

import threading
import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes one line for each event.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: Path):
        self._began = time.monotonic()
        self._file = path.open("w")
        self._lock = threading.Lock()
        self.events: list[tuple[float, str, dict]] = []

    def now(self) -> float:
        """Return the time since the beginning, in seconds."""
        return time.monotonic() - self._began

    def write(self, what: str, **fields: object) -> None:
        """Write an event."""
        with self._lock:
            at = self.now()
            self.events.append((at, what, fields))
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            self._file.write(f"{at:8.3f} {what} {text}".rstrip() + "\n")
            self._file.flush()

    def all(self, what: str) -> list[tuple[float, dict]]:
        """Return the times and fields of all events of a kind."""
        with self._lock:
            return [(at, fields) for at, each, fields in self.events if each == what]

    def close(self) -> None:
        """Close the file; later events are dropped."""
        with self._lock:
            self._file.flush()
