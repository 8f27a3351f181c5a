import unittest

import eventlet

from boragedeck.request.report_queue import ReportQueue
from boragedeck.request.stream_attempt import AttemptReport
from boragedeck.request.stream_messages import (
    AttemptOutcome,
    Ended,
    Events,
    Heard,
    Silent,
)
from boragedeck.request.unread_reports import MAX_UNREAD_BYTES, make_report_queue


def join_none(first, second):
    """Join no reports."""


class ReportQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = ReportQueue(2, lambda report: 1, join_none)

    def put(self, *reports):
        return eventlet.spawn(lambda: [self.queue.put(report) for report in reports])

    def test_report_is_lost_if_its_reader_is_ended_while_it_handles_it(self):
        def read():
            self.queue.first()
            eventlet.sleep(60.0)
            self.queue.remove_first()

        reader = eventlet.spawn(read)
        self.put(1, 2)
        eventlet.sleep(0.01)
        reader.kill()
        self.assertEqual(self.queue.take_all(), [1, 2])

    def test_writer_waits_until_a_report_has_been_handled(self):
        writer = self.put(1, 2, 3)
        eventlet.sleep(0.01)
        self.assertEqual(len(self.queue), 2)
        self.assertEqual(self.queue.first(), 1)
        eventlet.sleep(0.01)
        self.assertFalse(writer.dead)
        self.queue.remove_first()
        writer.wait()
        self.assertEqual(self.queue.take_all(), [2, 3])

    def test_reports_of_one_writer_overtake_each_other(self):
        self.put(*range(50))
        self.put(*range(100, 150))
        found = []
        while len(found) < 100:
            found.append(self.queue.first())
            self.queue.remove_first()
        first = [report for report in found if report < 100]
        self.assertEqual(first, list(range(50)))
        self.assertEqual([n for n in found if n >= 100], list(range(100, 150)))

    def test_early_wake_up_is_taken_for_a_report(self):
        reader = eventlet.spawn(self.queue.first)
        eventlet.sleep(0)
        eventlet.hubs.get_hub().schedule_call_global(0, reader.switch)
        eventlet.sleep(0.01)
        self.assertFalse(reader.dead)
        self.queue.put(7)
        self.assertEqual(reader.wait(), 7)

    def test_early_wake_up_ends_a_writer(self):
        writer = self.put(1, 2, 3)
        eventlet.sleep(0.01)
        eventlet.hubs.get_hub().schedule_call_global(0, writer.switch)
        eventlet.sleep(0.01)
        self.assertFalse(writer.dead)
        self.assertEqual(len(self.queue), 2)
        self.queue.remove_first()
        writer.wait()
        self.assertEqual(self.queue.take_all(), [2, 3])

    def test_writer_waits_for_ever_after_its_reader_has_gone(self):
        writer = self.put(1, 2, 3, 4)
        eventlet.sleep(0.01)
        self.queue.close()
        with eventlet.Timeout(1.0):
            writer.wait()

    def test_reports_that_nobody_has_read_are_lost_by_the_close(self):
        self.put(1, 2, 3)
        eventlet.sleep(0.01)
        self.queue.close()
        eventlet.sleep(0.01)
        self.assertEqual(self.queue.take_all(), [1, 2])


class SizeTest(unittest.TestCase):
    """Reports with sizes of their own, of which numbers are joined by their sum."""

    def setUp(self):
        self.queue = ReportQueue(10, lambda report: report, self.join)
        self.is_joining = False

    def join(self, first, second):
        return first + second if self.is_joining else None

    def put(self, *reports):
        writer = eventlet.spawn(lambda: [self.queue.put(report) for report in reports])
        eventlet.sleep(0.01)
        return writer

    def test_reports_take_more_than_the_bound(self):
        writer = self.put(4, 6, 1)
        self.assertFalse(writer.dead)
        self.assertEqual(self.queue.unread_bytes, 10)
        self.queue.remove_first()
        writer.wait()
        self.assertEqual(self.queue.unread_bytes, 7)

    def test_full_queue_is_noted_for_each_report(self):
        noted = []
        queue = ReportQueue(1, lambda report: 1, join_none, lambda: noted.append(1))
        writer = eventlet.spawn(lambda: [queue.put(number) for number in range(4)])
        for _ in range(4):
            eventlet.sleep(0.01)
            queue.remove_first()
        writer.wait()
        self.assertEqual(noted, [1])

    def test_room_made_while_a_full_queue_is_noted_is_missed_by_its_writer(self):
        queue = ReportQueue(1, lambda report: 1, join_none, lambda: eventlet.sleep(0))
        writer = eventlet.spawn(lambda: [queue.put(number) for number in (1, 2)])
        reader = eventlet.spawn(lambda: (queue.first(), queue.remove_first()))
        reader.wait()
        with eventlet.Timeout(1.0):
            writer.wait()
        self.assertEqual(queue.take_all(), [2])

    def test_report_above_the_bound_is_never_taken(self):
        self.put(11).wait()
        self.assertEqual(self.queue.unread_bytes, 11)

    def test_report_without_a_size_waits_for_room(self):
        self.put(11, 0).wait()
        self.assertEqual(self.queue.take_all(), [11, 0])

    def test_size_is_kept_after_all_reports_are_taken(self):
        self.is_joining = True
        self.put(1, 2, 3).wait()
        self.queue.remove_first()
        self.assertEqual(self.queue.unread_bytes, 5)
        self.queue.take_all()
        self.assertEqual(self.queue.unread_bytes, 0)

    def test_report_that_is_being_handled_is_joined(self):
        self.is_joining = True
        self.put(1, 2, 3).wait()
        self.assertEqual(self.queue.take_all(), [1, 5])


class UnreadReportTest(unittest.TestCase):
    """The reports of a stream's attempts."""

    def setUp(self):
        self.queue = make_report_queue()
        self.first, self.second = object(), object()

    def put(self, *messages, attempt=None):
        for message in messages:
            self.queue.put(AttemptReport(attempt or self.first, message))

    def messages(self):
        return [report.message for report in self.queue.take_all()]

    def test_unread_events_take_a_report_each(self):
        events = [Events(b"%d" % n, n or None, n + 1) for n in range(100)]
        self.put(*events)
        joined = Events(b"".join(each.data for each in events[1:]), 1, 100)
        self.assertEqual(self.messages(), [events[0], joined])

    def test_events_that_do_not_follow_are_joined(self):
        events = Events(b"a", None, 1), Events(b"b", 1, 2), Events(b"d", 3, 4)
        self.put(*events)
        self.assertEqual(self.messages(), list(events))

    def test_events_of_two_attempts_are_joined(self):
        self.put(Events(b"a", None, 1), Events(b"b", 1, 2))
        self.put(Events(b"c", 2, 3), attempt=self.second)
        self.assertEqual(len(self.messages()), 3)

    def test_silence_that_is_over_starts_a_second_attempt(self):
        silent, events = Silent(1.0, may_work=False), Events(b"b", 1, 2)
        self.put(Events(b"a", None, 1), silent, silent, events)
        self.assertEqual(self.messages(), [Events(b"a", None, 1), events])

    def test_silence_that_goes_on_is_forgotten(self):
        silent, lost = Silent(1.0, may_work=False), Ended(AttemptOutcome.LOST, 1)
        self.put(Events(b"a", None, 1), Heard(), silent, lost)
        self.assertEqual(self.messages()[1:], [Heard(), silent, lost])

    def test_end_of_a_stream_waits_for_room(self):
        ended = Ended(AttemptOutcome.COMPLETE, 1)
        with eventlet.Timeout(1.0):
            self.put(Events(b"x" * MAX_UNREAD_BYTES, None, 1), ended)
        self.assertEqual(self.messages()[1:], [ended])
