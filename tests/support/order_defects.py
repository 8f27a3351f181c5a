"""Seeded defects in the order of a stream's events, each with its test."""

from eventlet import getcurrent
from eventlet.hubs import get_hub

from boragedeck.process import threads
from boragedeck.request.events import EventSplitter
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_stream import StreamRelay
from boragedeck.request.report_queue import ReportQueue
from boragedeck.request.stream_delivery import StreamDelivery
from tests.support.method_defects import MethodDefect

__all__ = ["ORDER_DEFECTS"]

STREAMS = "tests.request.test_stream_order"
ENDS = "tests.request.test_interruptions"
THREADS = "tests.process.test_threads"

_handle = StreamRelay._handle


def _handle_out_of_the_queue(self, report):
    self._reports._reports.popleft()
    is_complete = _handle(self, report)
    self._reports._reports.appendleft(report)
    return is_complete


def _accept_any(self, number):
    return None


def _leave_wake_up(hub, thread):
    get_hub().schedule_call_global(0, getcurrent().switch)


ORDER_DEFECTS = (
    MethodDefect(
        "a report is in hand while another attempt is ended",
        f"{STREAMS}.StopBetweenAttemptsTest"
        ".test_first_event_is_lost_by_a_stop_that_ends_the_handler",
        StreamRelay,
        "_handle",
        _handle_out_of_the_queue,
    ),
    MethodDefect(
        "a whole stream is in hand while another attempt is ended",
        f"{STREAMS}.StopBetweenAttemptsTest"
        ".test_whole_stream_of_one_read_is_lost_by_a_stop_that_ends_the_handler",
        StreamRelay,
        "_handle",
        _handle_out_of_the_queue,
    ),
    MethodDefect(
        "a run may begin at any event",
        f"{STREAMS}.FirstEventTest"
        ".test_stream_that_begins_at_its_third_event_looks_whole",
        EventSplitter,
        "_check_order",
        _accept_any,
    ),
    MethodDefect(
        "events are written wherever they go on",
        f"{STREAMS}.WriteTest"
        ".test_stream_that_lost_an_event_inside_the_router_looks_whole",
        StreamDelivery,
        "_check_follows",
        _accept_any,
    ),
    MethodDefect(
        "an end is written wherever it comes",
        f"{STREAMS}.WriteTest"
        ".test_stream_that_lost_its_last_event_inside_the_router_looks_whole",
        StreamDelivery,
        "_check_follows",
        _accept_any,
    ),
    MethodDefect(
        "a handler is ended while it ends its attempts",
        f"{ENDS}.EndOfAllAttemptsTest.test_second_attempt_of_a_stream_goes_on",
        RelayJob,
        "begin_clean_up",
        lambda self: None,
    ),
    MethodDefect(
        "a writer waits for a handler that has gone",
        f"{ENDS}.UnreadHeardTest"
        ".test_thread_of_its_probe_waits_for_ever_once_the_caller_has_left",
        ReportQueue,
        "close",
        lambda self: None,
    ),
    MethodDefect(
        "ending a thread leaves a wake-up behind",
        f"{THREADS}.InterruptedEndTest.test_sleep_ends_at_once",
        threads,
        "_forget_readiness",
        _leave_wake_up,
    ),
)
