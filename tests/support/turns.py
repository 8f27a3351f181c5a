"""Measures how long green threads keep others from their turn."""

import gc
import time

import eventlet

PROBE_INTERVAL_S = 0.01
MAX_BLOCK_S = 0.15
"""So much processor time of one request may pass before another has its turn."""


class BlockingMonitor:
    """Runs a green thread beside a test; a context manager.

    Notes
    -----
    Processor time is measured, so that other programs on the machine don't count, and
    what earlier tests left in memory is kept from the garbage collector meanwhile.

    Attributes
    ----------
    longest_block_s : float
        The most processor time that passed between two of its turns.
    """

    def __init__(self):
        self.longest_block_s = 0.0

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
            started_s = time.process_time()
            eventlet.sleep(PROBE_INTERVAL_S)
            self.longest_block_s = max(
                self.longest_block_s, time.process_time() - started_s
            )
