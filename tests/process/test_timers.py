import unittest

import eventlet
from eventlet.event import Event

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


class RealTimersTest(unittest.TestCase):
    def test_wait_times_out_and_sees_a_sent_event(self):
        timers = RealTimers()
        event = Event()
        self.assertFalse(timers.wait(event, 0.0))
        event.send(None)
        self.assertTrue(timers.wait(event, 0.0))
