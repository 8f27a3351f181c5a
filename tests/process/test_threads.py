import socket
import unittest

import eventlet
from eventlet.event import Event
from eventlet.hubs import get_hub, trampoline
from eventlet.queue import Empty, LightQueue

from boragedeck.process.threads import end_thread
from boragedeck.process.timers import RealTimers

WAIT_S = 0.05
LONG_S = 20.0


class Interrupted(Exception):
    pass


class InterruptedEndTest(unittest.TestCase):
    """A thread is thrown into while it ends another one, and then waits."""

    def after_interrupt(self, wait):
        """Return what a wait returns behind an interrupted end of a thread."""

        def end_and_wait():
            other = eventlet.spawn(eventlet.sleep, LONG_S)
            eventlet.sleep(0)
            get_hub().schedule_call_global(0, eventlet.getcurrent().throw, Interrupted)
            with self.assertRaises(Interrupted):
                end_thread(other)
            self.assertTrue(other.dead)
            return wait()

        return eventlet.spawn(end_and_wait).wait()

    def test_queue_returns_something_that_was_never_put(self):
        queue = LightQueue()
        with self.assertRaises(Empty):
            self.after_interrupt(lambda: queue.get(timeout=WAIT_S))

    def test_put_into_a_full_queue_fails(self):
        queue = LightQueue(1)
        queue.put("first")
        eventlet.spawn_after(WAIT_S, queue.get)
        self.after_interrupt(lambda: queue.put("second"))
        self.assertEqual(queue.get(), "second")

    def test_event_that_was_not_sent_counts_as_sent(self):
        timers = RealTimers()
        self.assertFalse(self.after_interrupt(lambda: timers.wait(Event(), WAIT_S)))

    def test_sleep_ends_at_once(self):
        timers = RealTimers()
        began = timers.now()
        self.after_interrupt(lambda: timers.sleep(WAIT_S))
        self.assertGreaterEqual(timers.now() - began, WAIT_S)


class ReadyTogetherTest(unittest.TestCase):
    """Two threads wait for sockets that become ready in one poll of the hub."""

    def end_one_another(self, wait):
        """Return what waits; the first thread ends the other, which then waits."""
        pairs, threads, waited = [socket.socketpair(), socket.socketpair()], [], []

        def work(sock, other):
            try:
                trampoline(sock, read=True)
                end_thread(threads[other])
            except eventlet.greenlet.GreenletExit:
                waited.append(wait())

        for i, (sock, _) in enumerate(pairs):
            self.addCleanup(sock.close)
            threads.append(eventlet.spawn(work, sock, 1 - i))
        eventlet.sleep(0)
        for _, peer in pairs:
            peer.send(b"x")
            peer.close()
        for thread in threads:
            thread.wait()
        return waited

    def test_sleep_of_the_ended_one_ends_at_once(self):
        timers = RealTimers()

        def sleep():
            began = timers.now()
            timers.sleep(WAIT_S)
            return timers.now() - began

        (slept_s,) = self.end_one_another(sleep)
        self.assertGreaterEqual(slept_s, WAIT_S)

    def test_event_that_was_not_sent_counts_as_sent_for_the_ended_one(self):
        timers = RealTimers()
        waited = self.end_one_another(lambda: timers.wait(Event(), WAIT_S))
        self.assertEqual(waited, [False])


class EndThreadTest(unittest.TestCase):
    def test_thread_that_waits_goes_on_until_it_is_woken(self):
        thread = eventlet.spawn(eventlet.sleep, LONG_S)
        eventlet.sleep(0)
        end_thread(thread)
        self.assertTrue(thread.dead)

    def test_error_is_replaced(self):
        error = Interrupted()
        thread = eventlet.spawn(eventlet.sleep, LONG_S)
        eventlet.sleep(0)
        end_thread(thread, error)
        with self.assertRaises(Interrupted) as caught:
            thread.wait()
        self.assertIs(caught.exception, error)

    def test_thread_that_was_ended_before_it_started_runs(self):
        ran = []
        thread = eventlet.spawn(ran.append, 1)
        end_thread(thread, Interrupted())
        eventlet.sleep(0)
        self.assertEqual(ran, [])

    def test_thread_that_was_ended_before_it_started_is_waited_for_in_vain(self):
        thread = eventlet.spawn(eventlet.sleep, 0)
        end_thread(thread)
        with (
            eventlet.Timeout(WAIT_S),
            self.assertRaises(eventlet.greenlet.GreenletExit),
        ):
            thread.wait()

    def test_clean_up_of_the_thread_comes_later_than_its_end_returns(self):
        steps = []

        def work():
            try:
                eventlet.sleep(LONG_S)
            finally:
                steps.append("cleaned up")

        thread = eventlet.spawn(work)
        eventlet.sleep(0)
        get_hub().schedule_call_global(0, steps.append, "another thread")
        end_thread(thread)
        self.assertEqual(steps, ["cleaned up", "another thread"])

    def test_thread_that_waits_as_it_cleans_up_holds_up_its_end(self):
        cleaned_up = Event()

        def work():
            try:
                eventlet.sleep(LONG_S)
            finally:
                cleaned_up.wait()

        thread = eventlet.spawn(work)
        eventlet.sleep(0)
        with eventlet.Timeout(WAIT_S):
            end_thread(thread)
        self.assertFalse(thread.dead)
        cleaned_up.send()
        eventlet.sleep(0)
        self.assertTrue(thread.dead)

    def test_thread_can_not_be_ended_from_the_hub(self):
        thread = eventlet.spawn(eventlet.sleep, LONG_S)
        eventlet.sleep(0)
        get_hub().schedule_call_global(0, end_thread, thread)
        eventlet.sleep(0.01)
        self.assertTrue(thread.dead)

    def test_thread_can_not_end_itself(self):
        def end_self():
            end_thread(eventlet.getcurrent(), Interrupted())

        with self.assertRaises(Interrupted):
            eventlet.spawn(end_self).wait()

    def test_thread_that_has_ended_is_thrown_into(self):
        thread = eventlet.spawn(eventlet.sleep, 0)
        thread.wait()
        end_thread(thread)
        self.assertIsNone(thread.wait())

    def test_thread_that_ends_its_ender_is_not_ended(self):
        steps, enders = [], []

        def work():
            try:
                eventlet.sleep(LONG_S)
            finally:
                end_thread(enders[0], Interrupted())
                steps.append("cleaned up")

        def end():
            eventlet.sleep(0)
            try:
                end_thread(thread)
            except Interrupted:
                steps.append("interrupted")
                eventlet.sleep(WAIT_S)
                steps.append("waited")

        thread = eventlet.spawn(work)
        enders.append(eventlet.spawn(end))
        with eventlet.Timeout(LONG_S):
            enders[0].wait()
        self.assertTrue(thread.dead)
        self.assertEqual(steps, ["interrupted", "cleaned up", "waited"])

    def test_third_thread_that_the_ended_one_ends_goes_on(self):
        third = eventlet.spawn(eventlet.sleep, LONG_S)

        def work():
            try:
                eventlet.sleep(LONG_S)
            finally:
                end_thread(third)

        thread = eventlet.spawn(work)
        eventlet.sleep(0)
        end_thread(thread)
        self.assertTrue(third.dead)
        eventlet.sleep(0)
        self.assertTrue(thread.dead)

    def test_clean_up_is_not_ended_by_a_second_end(self):
        def work():
            try:
                eventlet.sleep(LONG_S)
            finally:
                eventlet.sleep(LONG_S)

        thread = eventlet.spawn(work)
        eventlet.sleep(0)
        end_thread(thread)
        self.assertFalse(thread.dead)
        end_thread(thread, Interrupted())
        with self.assertRaises(Interrupted):
            thread.wait()
