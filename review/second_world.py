"""Runs one case: builds its world, plays it and exits with the case's status."""

import os
import sys
import tempfile
import threading
import traceback
from collections.abc import Callable
from pathlib import Path

from review.second_fleet import Fleet
from review.second_record import Record
from review.second_replica import Replica
from review.second_store import Store

__all__ = ["CannotRunError", "World", "run_case"]

MAX_RUN_S = 115.0
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_CANNOT_RUN = 2
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class CannotRunError(Exception):
    """The case could not be played."""


class World:
    """The store, the replicas and the routers of one case.

    Parameters
    ----------
    folder : Path
        The folder of the case, which gets the record.
    directory : Path
        A temporary folder.
    """

    def __init__(self, folder: Path, directory: Path):
        self.record = Record(Path(folder, "record.txt"))
        self.store = Store()
        self.replicas: list[Replica] = []
        self.fleet: Fleet | None = None
        self.directory = directory

    def write_manifest(
        self, routes: list[dict], services: list[dict], version: int = 7
    ) -> None:
        """Write the operator's manifest with one tenant, whose key is `key-one`."""
        tenants = [{"name": "tenant-one", "apiKeys": ["key-one"], "priority": 1}]
        manifest = {"version": version, "routes": routes, "services": services}
        manifest |= {"limits": LIMITS, "tenants": tenants}
        self.store.put("op", "config", manifest)

    def add_replica(self, service: str, zone: str, work: Callable, **more) -> Replica:
        """Start a replica, which registers itself."""
        replica = Replica(self.store, self.record, service, zone, work, **more)
        self.replicas.append(replica)
        return replica

    def start_routers(self, zones: list[str], limits: dict | None = None) -> Fleet:
        """Start routers and wait until all are ready."""
        fleet = Fleet(self.store, self.record, self.directory, zones, limits)
        self.fleet = fleet
        fleet.start_all()
        self.await_ready()
        return fleet

    def await_ready(self) -> None:
        """Wait until all routers are ready."""
        for number in range(len(self.fleet.hosts)):
            if not self.fleet.wait_ready(number):
                raise CannotRunError(f"router {number} isn't ready")

    def close(self) -> None:
        """End all that was started."""
        if self.fleet is not None:
            self.fleet.stop()
        for replica in self.replicas:
            replica.close()
        self.store.close()
        self.record.close()


def run_case(folder: Path, play: Callable[[World], list[str]]) -> None:
    """Play a case and exit: 1 if it returns broken rules, 0 if none, 2 if it can't run.

    Parameters
    ----------
    folder : Path
        The folder of the case.
    play : callable
        Plays the case; returns one line for each broken rule.
    """
    with tempfile.TemporaryDirectory() as directory:
        world = World(folder, Path(directory))
        watchdog = threading.Timer(MAX_RUN_S, _give_up, (world,))
        watchdog.daemon = True
        watchdog.start()
        status = EXIT_CANNOT_RUN
        try:
            broken = play(world)
            for line in broken:
                world.record.write("broken", rule=line)
                print(line)
            status = EXIT_BROKEN if broken else EXIT_HELD
        except CannotRunError as exc:
            print(f"cannot run: {exc}")
        except Exception:
            traceback.print_exc()
        finally:
            watchdog.cancel()
            world.record.write("ends", status=status)
            world.close()
    sys.stdout.flush()
    os._exit(status)


def _give_up(world: World) -> None:
    print("cannot run: it takes too long")
    world.close()
    os._exit(EXIT_CANNOT_RUN)
