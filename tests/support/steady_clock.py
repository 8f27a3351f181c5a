"""A clock for tests on real sockets that leaves out standstills of the process.

A busy machine may let a process stand still for longer than a stream may take. All of a
test that runs in one process stands still then, its replicas and callers, too. The time
in which the process computes counts, so that code which holds it up is seen.
"""

import random
import time

import eventlet
from eventlet import hubs

from boragedeck.process.timers import RealTimers

__all__ = ["SteadyTimers"]

TICK_S = 0.02
"""How often the hub reads the clock at least, in seconds."""
MAX_STEP_S = 0.1
"""How much of the time between two readings counts at most, in seconds, beside that in
which the process computes."""


class SteadyClock:
    """Monotonic seconds, of which standstills of the process are left out."""

    def __init__(self):
        self._last = time.monotonic()
        self._last_used_s = time.process_time()
        self._left_out_s = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        now, used_s = time.monotonic(), time.process_time()
        idle_s = now - self._last - (used_s - self._last_used_s)
        self._left_out_s += max(0.0, idle_s - MAX_STEP_S)
        self._last, self._last_used_s = now, used_s
        return now - self._left_out_s


class SteadyTimers(RealTimers):
    """Timer service whose clock, like that of all green threads, is a steady one.

    Parameters
    ----------
    rng : random.Random
        The source of jitter.
    """

    def __init__(self, rng: random.Random):
        super().__init__(rng)
        hub = hubs.get_hub()
        if not isinstance(hub.clock, SteadyClock):
            # It stays for the life of the process, as what is scheduled goes by it.
            hub.clock = SteadyClock()
            eventlet.spawn_n(_tick)
        self.now = hub.clock


def _tick() -> None:
    while True:
        eventlet.sleep(TICK_S)
