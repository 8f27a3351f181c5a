"""Faults of routers and of the store during an upgrade."""

import enum
import random
import signal
from collections.abc import Callable, Iterator
from pathlib import Path

import eventlet

from scripts.builds import has_module
from scripts.platform_cluster import PlatformCluster
from scripts.upgrade_callers import Callers

__all__ = ["RouterFault", "StoreFault", "UpgradeFaults"]

STORE_AWAY_S = 1.5
SETTLE_S = 1.0
FREEZE_S = 1.5
CONTACT_S = 3.0
"""Time after a fault from which a router must keep its promises again."""
LOST_S = 0.5
"""Age of what a restored store has lost."""
STORM_CHANGES = 10
STORM_INTERVAL_S = 0.3
DELETED_ENTRIES, STORE_VERSION = "deleted_entries", "store_version"
"""Modules by which it is told what an old build can do."""


class RouterFault(enum.Enum):
    """What happens to one router of either build in a step."""

    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"
    """It gets no answer from the store, and learns of changes by other routers."""


class StoreFault(enum.Enum):
    """What happens to the store in a step."""

    AWAY = "away"
    RESTORED = "restored"
    """It returns from a copy that lacks the last changes."""
    STORM = "storm"
    """The operators change their table several times a second."""


class UpgradeFaults:
    """Draws faults for a fleet, each as often as the others.

    Parameters
    ----------
    cluster : PlatformCluster
        The fleet.
    callers : Callers
        Its callers, who don't use a router that is killed or frozen.
    old : Path
        The source folder of the old build.
    rng : random.Random
        Chooses the faults.
    change_key : callable
        Changes the operators' table.

    Attributes
    ----------
    restored : int
        How often the store has been restored.
    """

    def __init__(
        self,
        cluster: PlatformCluster,
        callers: Callers,
        old: Path,
        rng: random.Random,
        change_key: Callable[[], None],
    ):
        self.restored = 0
        self._cluster = cluster
        self._callers = callers
        self._old = old
        self._rng = rng
        self._change_key = change_key
        self._router_faults = _in_turn(rng, list(RouterFault))
        self._store_faults = _in_turn(rng, _store_faults(old))

    def disturb_router(self) -> None:
        """Let a fault happen to a router, and return when it must keep its promises.

        Notes
        -----
        A router that is cut off stays so until `end_cuts`.
        """
        number, fault = self._next_router_fault()
        match fault:
            case RouterFault.CUT:
                self._cluster.gates[number].is_silent = True
                eventlet.sleep(CONTACT_S + SETTLE_S)
                return
            case RouterFault.KILL:
                self._callers.take_out(number)
                self._cluster.restart_router(number)
                self._cluster.wait_ready(number)
            case RouterFault.FREEZE:
                self._callers.take_out(number)
                self._cluster.routers[number].send_signal(signal.SIGSTOP)
                eventlet.sleep(FREEZE_S)
                self._cluster.routers[number].send_signal(signal.SIGCONT)
        eventlet.sleep(CONTACT_S)
        self._callers.in_service.add(number)

    def end_cuts(self) -> None:
        """Let the store answer all routers again."""
        for gate in self._cluster.gates:
            gate.is_silent = False

    def disturb_store(self) -> None:
        """Let a fault happen to the store, and return when it is over."""
        ver = self._cluster.rows.ver
        match next(self._store_faults):
            case StoreFault.AWAY:
                self._take_store_away()
            case StoreFault.RESTORED:
                self._change_key()
                eventlet.sleep(LOST_S)
                self._take_store_away()
                self._cluster.restore_store(ver)
                self.restored += 1
            case StoreFault.STORM:
                for _ in range(STORM_CHANGES):
                    self._change_key()
                    eventlet.sleep(STORM_INTERVAL_S)
        eventlet.sleep(SETTLE_S)

    def _next_router_fault(self) -> tuple[int, RouterFault]:
        """Return a router in service and what happens to it.

        Notes
        -----
        A build that doesn't know deleted entries keeps leaving replicas while it is cut
        off, also without an upgrade.
        """
        numbers = sorted(self._callers.in_service)
        fault = next(self._router_faults)
        if fault is RouterFault.CUT and not has_module(self._old, DELETED_ENTRIES):
            newer = [each for each in numbers if each not in self._cluster.builds]
            if not newer:
                return self._next_router_fault()
            numbers = newer
        return self._rng.choice(numbers), fault

    def _take_store_away(self) -> None:
        self._cluster.rows.faults.status = 503
        eventlet.sleep(STORE_AWAY_S)
        self._cluster.rows.faults.status = 0


def _in_turn(rng: random.Random, faults: list) -> Iterator:
    """Return faults without end, each as often as the others."""
    while True:
        yield from rng.sample(faults, len(faults))


def _store_faults(old: Path) -> list[StoreFault]:
    """Return the faults that the old build survives by itself.

    Notes
    -----
    A build whose versions don't hold the store's era stays on its old table when the
    store is restored, also without an upgrade.
    """
    if has_module(old, STORE_VERSION):
        return list(StoreFault)
    return [fault for fault in StoreFault if fault is not StoreFault.RESTORED]
