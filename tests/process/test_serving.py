import os
import signal
import unittest

import eventlet

from boragedeck.process.serving import stop_event

SIGNALS = signal.SIGTERM, signal.SIGINT


class StopEventTest(unittest.TestCase):
    def setUp(self):
        for number in SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def test_second_signal_ends_or_begins_the_stop_again(self):
        stop, begun = stop_event(), []
        eventlet.spawn(lambda: begun.append(stop.wait()))
        eventlet.sleep(0)
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT):
            os.kill(os.getpid(), number)
            eventlet.sleep(0.01)
        self.assertEqual(len(begun), 1)
