"""Measures how long green threads wait for their turn."""

import time

import eventlet

TURN_S = 0.01
MAX_TURN_S = 0.3
"""So long another request of the same router may be held up."""


class Turns:
    """Runs a green thread beside a test; a context manager.

    Attributes
    ----------
    longest_s : float
        The longest time by which its turn came late.
    """

    def __init__(self):
        self.longest_s = 0.0

    def __enter__(self):
        self._thread = eventlet.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._thread.kill()

    def _run(self):
        while True:
            begun = time.monotonic()
            eventlet.sleep(TURN_S)
            late_s = time.monotonic() - begun - TURN_S
            self.longest_s = max(self.longest_s, late_s)
