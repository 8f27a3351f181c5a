import unittest
from unittest import mock

import eventlet
from eventlet.event import Event
from eventlet.green import socket

from boragedeck.process.timers import ManualTimers, RealTimers


class ManualTimersTest(unittest.TestCase):
    def test_subscribers_are_called_in_order_of_time(self):
        timers = ManualTimers(start_s=0.0)
        calls = []
        timers.subscribe(2.0, lambda: calls.append(("two", timers.now())))
        timers.call_later(3.0, lambda: calls.append(("once", timers.now())))
        timers.advance(5.0)
        self.assertEqual(calls, [("two", 2.0), ("once", 3.0), ("two", 4.0)])

    def test_cancelled_subscription_is_not_called(self):
        timers = ManualTimers()
        calls = []
        sub = timers.subscribe(1.0, lambda: calls.append(1))
        timers.advance(1.0)
        sub.cancel()
        timers.advance(5.0)
        self.assertEqual(calls, [1])

    def test_wait_ends_with_the_event_or_the_timeout(self):
        timers = ManualTimers()
        event = Event()
        early = eventlet.spawn(timers.wait, event, 1.0)
        late = eventlet.spawn(timers.wait, event, 10.0)
        timers.advance(2.0)
        event.send(None)
        timers.advance(0.0)
        self.assertEqual((early.wait(), late.wait()), (False, True))

    def test_threads_that_wake_each_other_all_run_within_the_call_that_wakes_one(self):
        timers = ManualTimers()
        events = [Event() for _ in range(15)]
        ran = []

        def wake_next(number):
            events[number].wait()
            eventlet.sleep(0)
            ran.append(number)
            if number + 1 < len(events):
                eventlet.spawn(wake_next, number + 1)
                events[number + 1].send(None)

        eventlet.spawn(wake_next, 0)
        timers.call_later(1.0, lambda: events[0].send(None))
        timers.advance(1.0)
        self.assertEqual(ran, list(range(len(events))))

    def test_socket_is_read_within_the_call_that_writes_to_it(self):
        timers = ManualTimers()
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        got = eventlet.spawn(far.recv, 1)
        timers.call_later(1.0, lambda: near.send(b"x"))
        timers.advance(1.0)
        self.assertTrue(got.dead)
        self.assertEqual(got.wait(), b"x")

    def test_no_rounds_are_spent_when_nothing_can_run(self):
        timers = ManualTimers()
        for number in range(100):
            timers.call_later(number, lambda: None)
        with mock.patch.object(eventlet, "sleep", wraps=eventlet.sleep) as sleep:
            timers.advance(100.0)
        self.assertLessEqual(sleep.call_count, 3 * 100)


class RealTimersTest(unittest.TestCase):
    def test_wait_times_out_and_sees_a_sent_event(self):
        timers = RealTimers()
        event = Event()
        self.assertFalse(timers.wait(event, 0.0))
        event.send(None)
        self.assertTrue(timers.wait(event, 0.0))
