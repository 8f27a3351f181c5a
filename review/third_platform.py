"""Stand-in for the platform that keeps processes within their machine's memory."""

import asyncio
import time

from review.third_world import World

__all__ = ["MemoryKeeper", "memory_mb"]

CHECK_S = 0.02
RESTART_DELAY_S = 0.3


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB; 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024.0
    except OSError:
        pass
    return 0.0


class MemoryKeeper:
    """Kills a router that uses more than the memory of its machine, and restarts it.

    Parameters
    ----------
    world : World
        The deployment.
    limit_mb : float
        The memory of each machine.

    Attributes
    ----------
    ends : dict of str to list of float
        When each router's process ended by itself or went over its memory.
    peaks : dict of str to float
        The most memory that each router was seen to use, in MB.
    """

    def __init__(self, world: World, limit_mb: float):
        self._world = world
        self._limit_mb = limit_mb
        self.ends: dict[str, list[float]] = {}
        self.peaks: dict[str, float] = {}
        self._restarts: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Watch all routers."""
        while True:
            for router in self._world.routers:
                await self._check(router)
            await asyncio.sleep(CHECK_S)

    async def _check(self, router: dict) -> None:
        process, node = router["process"], router["node"]
        if process is None:
            return
        used_mb = memory_mb(process.pid)
        self.peaks[node] = max(used_mb, self.peaks.get(node, 0.0))
        if process.poll() is None and used_mb <= self._limit_mb:
            return
        self.ends.setdefault(node, []).append(time.monotonic())
        self._world.note(
            "process over its memory" if process.poll() is None else "process ended",
            router=node,
            memory_mb=round(used_mb),
            limit_mb=self._limit_mb,
            code=process.poll(),
        )
        process.kill()
        process.wait()
        router["process"] = None
        self._restarts.add(asyncio.ensure_future(self._restart(router)))

    async def _restart(self, router: dict) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        self._world.start_router(router)
