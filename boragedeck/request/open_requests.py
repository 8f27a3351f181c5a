"""The requests that are being relayed, and how far each of them is."""

import enum
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

from boragedeck.process.observing.logs import PartLog

__all__ = ["OpenRequest", "OpenRequests", "Stage"]

MAX_LOGGED = 64

_log = PartLog("relay")


class Stage(enum.Enum):
    """How far a request is."""

    WAITING = "waiting"
    """No attempt runs: it waits for a place, a turn, a repeat or a verdict."""
    AT_REPLICA = "at_replica"
    """An attempt runs, and the caller has no part of the answer."""
    ANSWERING = "answering"
    """The caller has a part of the answer."""


class OpenRequest(Protocol):
    """A request that is being relayed."""

    def stage(self) -> Stage:
        """Return how far it is."""

    def log_fields(self) -> dict:
        """Return what the log says of it."""


class OpenRequests:
    """The requests that are being relayed."""

    def __init__(self):
        self._requests: set[OpenRequest] = set()

    @contextmanager
    def track(self, req: OpenRequest) -> Iterator[None]:
        """Keep a request among the open ones while its handler runs."""
        self._requests.add(req)
        try:
            yield
        finally:
            self._requests.discard(req)

    def counts(self) -> dict[str, int]:
        """Return how many requests are at each stage."""
        counts = Counter(req.stage() for req in self._requests)
        return {stage.value: counts[stage] for stage in Stage}

    def log_unanswered(self) -> None:
        """Log the requests that the end of the process leaves without an answer."""
        for req in list(self._requests)[:MAX_LOGGED]:
            _log.write("Cut by the stop.", **req.log_fields())
