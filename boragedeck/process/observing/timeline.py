"""Merges the log files of several processes into one time line, in causal order.

See Also
--------
boragedeck.process.observing.logs : Writes the files.
boragedeck.process.membership.causal_clock : Defines the order.
"""

import heapq
import math
import os
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from boragedeck.process.membership.causal_clock import MAX_CLOCK_US, MICROSECONDS_PER_S

__all__ = ["Event", "EventFilter", "Timeline", "merge", "read_events"]

MAX_LINE_BYTES = 64 * 1024
"""Longer lines are skipped, so that a file without line ends can't fill the memory."""
MAX_RUN_ID_PREFIX_CHARS = 64
"""Maximum number of characters of an answer's id with which a run's id begins."""
MAX_SAFE_TIME_S = MAX_CLOCK_US // MICROSECONDS_PER_S

Scalar = str | int | float | bool | None


class Event(msgspec.Struct, frozen=True):
    """One log message of one process.

    Parameters
    ----------
    clock : int
        Its value on the causal clock, in microseconds; its wall time if the message
        has no such value.
    process : str
        The router's id; without one, the file's name and the process id.
    seq : int
        Its sequence number in its process; 0 if it has none.
    at : float
        Wall time of its process, in Unix seconds.
    text : str
        The sentence.
    fields : dict
        The whole message as it was written.
    """

    clock: int
    process: str
    seq: int
    at: float
    text: str
    fields: dict[str, Any]

    def order(self) -> tuple[int, str, int, float]:
        """Return the sort key of the event; wall time is compared last."""
        return self.clock, self.process, self.seq, self.at


class EventFilter(msgspec.Struct, frozen=True):
    """Selects events by request, rollout and time.

    Parameters
    ----------
    request : str
        A request's id, with or without its organisation and a slash; empty for any.
    rollout : str
        A route, or a route and number such as ``"orders/3"``; empty for any.
    since : float
        Unix seconds; earlier events are excluded.
    """

    request: str = ""
    rollout: str = ""
    since: float = -math.inf

    def matches(self, event: Event) -> bool:
        """Return whether an event is selected."""
        if event.at < self.since:
            return False
        if not self.request and not self.rollout:
            return True
        return self._concerns_request(event) or self._concerns_rollout(event)

    def _concerns_request(self, event: Event) -> bool:
        if not self.request:
            return False
        for name in ("answer", "request"):
            value = event.fields.get(name)
            if isinstance(value, str) and _has_id(value, self.request):
                return True
        run = event.fields.get("run")
        answer_id = self.request.partition("/")[2] or self.request
        run_id_prefix = answer_id[:MAX_RUN_ID_PREFIX_CHARS] + "-"
        # A run's id is the answer's id, a hyphen and a random part without hyphens.
        is_run = isinstance(run, str) and run.startswith(run_id_prefix)
        return (
            is_run
            and "-" not in run[len(run_id_prefix) :]
            and "answer" not in event.fields
        )

    def _concerns_rollout(self, event: Event) -> bool:
        value = event.fields.get("rollout")
        if not self.rollout or not isinstance(value, str):
            return False
        return value == self.rollout or value.rpartition("/")[0] == self.rollout


class Timeline(msgspec.Struct, frozen=True):
    """Events of all processes in causal order.

    Parameters
    ----------
    events : list of Event
        The events, causes first.
    skipped : int
        Number of lines that aren't messages: incomplete, too long, or not JSON objects.
    omitted : int
        Number of earlier events that matched but exceeded the limit.
    """

    events: list[Event]
    skipped: int
    omitted: int

    def processes(self) -> list[str]:
        """Return the processes, in the order of their first events."""
        return list(dict.fromkeys(event.process for event in self.events))


def read_events(path: str | os.PathLike[str]) -> Iterator[Event | None]:
    """Read a log file line by line.

    Parameters
    ----------
    path : str or path
        A file of JSON lines.

    Yields
    ------
    Event or None
        None for a line that isn't a message.

    Raises
    ------
    OSError
        If the file can't be read.
    """
    source = os.path.basename(os.fspath(path))
    with open(path, "rb") as file:
        while line := file.readline(MAX_LINE_BYTES):
            if len(line) == MAX_LINE_BYTES and not line.endswith(b"\n"):
                _skip_line(file)
                yield None
            elif line.strip():
                yield _parse_event(line, source)


def merge(
    sources: Iterable[Iterable[Event | None]], event_filter: EventFilter, *, limit: int
) -> Timeline:
    """Merge the messages of several processes.

    Parameters
    ----------
    sources : iterable of iterable of Event or None
        The messages of each file; None counts as skipped.
    event_filter : EventFilter
        Selects the messages to keep.
    limit : int
        Maximum number of events to keep, the latest in causal order; bounds memory.

    Notes
    -----
    Files need not be in causal order: a restarted process appends to the file of its
    predecessor, whose clock may have been ahead.
    """
    latest: list[tuple[tuple, int, Event]] = []
    skipped = omitted = number = 0
    for source in sources:
        for event in source:
            if event is None:
                skipped += 1
                continue
            if not event_filter.matches(event):
                continue
            number += 1
            entry = (event.order(), number, event)
            if len(latest) < limit:
                heapq.heappush(latest, entry)
            else:
                heapq.heappushpop(latest, entry)
                omitted += 1
    return Timeline([event for _, _, event in sorted(latest)], skipped, omitted)


def _has_id(value: str, request: str) -> bool:
    return value == request or value.partition("/")[2] == request


def _skip_line(file: Any) -> None:
    while part := file.readline(MAX_LINE_BYTES):
        if part.endswith(b"\n"):
            return


def _parse_event(line: bytes, source: str) -> Event | None:
    try:
        fields = msgspec.json.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    at = _wall_time(fields.get("timestamp"))
    clock = fields.get("clock")
    if not _is_count(clock) or clock == 0:
        clock = int(at * MICROSECONDS_PER_S)
    seq = fields.get("seq")
    return Event(
        clock=clock,
        process=_process_name(fields, source),
        seq=seq if _is_count(seq) else 0,
        at=at,
        text=_text(fields),
        fields=fields,
    )


def _wall_time(value: Any) -> float:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return float(value) if is_number and 0 <= value <= MAX_SAFE_TIME_S else 0.0


def _is_count(value: Any) -> bool:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and 0 <= value <= MAX_CLOCK_US


def _process_name(fields: dict[str, Any], source: str) -> str:
    router = fields.get("router")
    if isinstance(router, str) and router:
        return router
    pid = fields.get("pid")
    return f"{source}:{pid}" if _is_count(pid) else source


def _text(fields: dict[str, Any]) -> str:
    for name in ("text", "message_type", "message", "action_type"):
        value = fields.get(name)
        if isinstance(value, str) and value:
            return value
    return ""
