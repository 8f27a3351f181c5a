"""What the reports of a stream's attempts take while its caller reads slowly."""

from collections.abc import Callable

from boragedeck.request.report_queue import ReportQueue
from boragedeck.request.stream_attempt import AttemptReport
from boragedeck.request.stream_messages import (
    Ended,
    Events,
    Heard,
    Silent,
    StreamMessage,
)

__all__ = ["MAX_UNREAD_BYTES", "make_report_queue"]

MAX_UNREAD_BYTES = 32 * 1024
"""How far a stream's replica is read ahead of its caller. A replica may cut off an
answer that isn't read, and an ordinary stream has 8 to 10 KB. 1,000 callers that don't
read take 32 MB; a router takes 40 MB at rest, and the smallest VMs have 128 MB."""
REPORT_BYTES = 256
"""What a report takes besides the bytes of its events."""


def make_report_queue(
    on_full: Callable[[], None] = lambda: None,
) -> ReportQueue[AttemptReport]:
    """Return the queue between the attempts of a stream and its caller.

    Parameters
    ----------
    on_full : callable, optional
        Called when a replica isn't read on for the first time.
    """
    return ReportQueue(MAX_UNREAD_BYTES, _report_bytes, _join_reports, on_full)


def _report_bytes(report: AttemptReport) -> int:
    match report.message:
        case Events(data=data):
            return REPORT_BYTES + len(data)
        case Ended():
            # It comes once, and a whole stream must not wait for room for its end.
            return 0
    return REPORT_BYTES


def _join_reports(first: AttemptReport, second: AttemptReport) -> AttemptReport | None:
    if first.attempt is not second.attempt:
        return None
    message = _join(first.message, second.message)
    return None if message is None else AttemptReport(first.attempt, message)


def _join(first: StreamMessage, second: StreamMessage) -> StreamMessage | None:
    match first, second:
        case Events(), Events() if second.follows == first.position:
            return Events(first.data + second.data, first.follows, second.position)
        case Silent(), Silent() | Heard() | Events():
            # A silence that is over, or reported again, needs no second attempt.
            return second
    return None
