"""Measures how long green threads block other green threads."""

import gc
import time

import eventlet

PROBE_INTERVAL_S = 0.01
MAX_BLOCK_S = 0.15
"""Maximum processor time for which a request may block other green threads."""


class BlockingMonitor:
    """Context manager that runs a probe in a green thread during a test.

    Notes
    -----
    It measures processor time, so that other programs on the machine don't count, and
    excludes objects left by earlier tests from garbage collection meanwhile.

    Attributes
    ----------
    longest_block_s : float
        Longest processor time between two turns of the probe, in seconds.
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
