"""Attempts of the stand-alone edition that are stopped."""

import unittest

import eventlet
from eventlet.hubs import get_hub

from boragedeck.interfaces import Outcome
from boragedeck.request.attempt import Attempt

LONG_S = 20.0


class Interrupted(Exception):
    pass


class SilentRun:
    def __init__(self):
        self.is_closed = False

    def __iter__(self):
        eventlet.sleep(LONG_S)
        yield

    def close(self):
        self.is_closed = True


class InterruptedStopTest(unittest.TestCase):
    """Whoever stops an attempt is itself ended while the attempt's thread ends."""

    def setUp(self):
        self.run_, self.outcomes = SilentRun(), []
        self.attempt = Attempt(
            self, lambda url, req: self.run_, None, self, 0, **self.callbacks()
        )
        self.attempt.begin()
        eventlet.sleep(0)
        eventlet.spawn(self.stop_interrupted).wait()

    def callbacks(self):
        return dict.fromkeys(("accept", "ended", "acquired"), lambda *args: None)

    model = "v1"
    url = "http://engine"

    # The attempt's chooser, slot and upstream.
    def acquire(self, request):
        return self

    upstream = property(lambda self: self)

    def is_err(self):
        return False

    def ok(self):
        return self

    def finish(self, outcome):
        self.outcomes.append(outcome)

    def stop_interrupted(self):
        thread = eventlet.getcurrent()
        get_hub().schedule_call_global(0, thread.throw, Interrupted)
        with self.assertRaises(Interrupted):
            self.attempt.stop(Outcome.SILENT)

    def test_slot_is_kept(self):
        self.assertEqual(self.outcomes, [Outcome.SILENT])

    def test_run_goes_on_at_its_engine(self):
        self.assertTrue(self.run_.is_closed)
