"""Measures how long green threads keep others from their turn."""

import gc
import time

import eventlet

TURN_S = 0.01
MAX_TURN_S = 0.15
"""So much processor time of one request may pass before another has its turn."""


class Turns:
    """Runs a green thread beside a test; a context manager.

    Notes
    -----
    Processor time is measured, so that other programs on the machine don't count, and
    what earlier tests left in memory is kept from the garbage collector meanwhile.

    Attributes
    ----------
    longest_s : float
        The most processor time that passed between two of its turns.
    """

    def __init__(self):
        self.longest_s = 0.0

    def __enter__(self):
        gc.collect()
        gc.freeze()
        self._thread = eventlet.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._thread.kill()
        gc.unfreeze()

    def _run(self):
        while True:
            begun = time.process_time()
            eventlet.sleep(TURN_S)
            self.longest_s = max(self.longest_s, time.process_time() - begun)
