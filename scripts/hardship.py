"""Hardships of routers as processes: little processor time, and links with delay."""

import os
import subprocess
import sys

import msgspec

__all__ = ["BusyCore", "Hardship"]

BUSY_S = 60.0
"""How long a busy process runs at most, in seconds."""
BUSY_CODE = """
import sys, time
until = time.monotonic() + float(sys.argv[1])
while time.monotonic() < until:
    pass
"""


class Hardship(msgspec.Struct, frozen=True):
    """What the routers of a cluster bear.

    Parameters
    ----------
    delay_s : float
        How long bytes take to the routers from callers, and to replicas, one way, in
        seconds.
    busy : int
        Number of busy processes on the one core that all routers share; 0 if the
        routers may use all cores.
    """

    delay_s: float = 0.0
    busy: int = 0


class BusyCore:
    """The last core, which processes share with busy ones of the same priority.

    Parameters
    ----------
    busy : int
        Number of busy processes.
    """

    def __init__(self, busy: int):
        self._core = max(os.sched_getaffinity(0))
        command = [sys.executable, "-c", BUSY_CODE, str(BUSY_S)]
        self._processes = [subprocess.Popen(command) for _ in range(busy)]
        for process in self._processes:
            self.add(process)

    def add(self, process: subprocess.Popen) -> None:
        """Let a process run on this core only."""
        os.sched_setaffinity(process.pid, {self._core})

    def stop(self) -> None:
        """End the busy processes."""
        for process in self._processes:
            process.kill()
            process.wait()
