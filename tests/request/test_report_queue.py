import unittest

import eventlet

from boragedeck.request.report_queue import ReportQueue


class ReportQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = ReportQueue(2)

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
