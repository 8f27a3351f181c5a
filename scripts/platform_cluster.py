"""Routers as processes, before engines and a store that stand in for the platform."""

import os
import random
import subprocess
import sys
import time
from collections.abc import Iterable, Sequence
from pathlib import Path

import eventlet
import msgspec
import urllib3
import yaml

from scripts.hardship import BusyCore, Hardship
from scripts.ports import PortBlock
from standins.delayed_link import DelayedLink
from standins.gate import Gate
from standins.late_answers import with_share
from standins.relay_replica import RelayReplica
from standins.rows import RowStore
from standins.web import listen

__all__ = ["EVENTS", "ROUTE_HEADERS", "PlatformCluster"]

HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
POLL_S = 0.05
EVENTS = 40
REPEATED_SHARE = 0.1
"""Share of the engines' answers that are repeated late."""
REPEAT_SEED = 1
ROUTE_HEADERS = {"Host": "demo.example", "Api-Key": "demo-key", "Deadline-Ms": "10000"}
POOL = "engines"
ROLLOUT_KEY = f"rollout/{POOL}"
NO_HARDSHIP = Hardship()
REWRITE_DELAY_S = 0.3
"""How long after a return from an older copy the lost rows are written again."""


class PlatformCluster:
    """A stand-in platform, engines and routers on loopback.

    Parameters
    ----------
    directory : Path
        Directory of the settings and log files.
    hardship : Hardship, optional
        What the routers bear; by default nothing.

    Attributes
    ----------
    builds : dict of int to Path
        Source folders of the routers that don't run this one.
    gates : list of Gate
        Each router's own way to the store.
    """

    def __init__(self, directory: Path, hardship: Hardship = NO_HARDSHIP):
        self._delay_s = hardship.delay_s
        self._core = BusyCore(hardship.busy) if hardship.busy else None
        self._links: dict[tuple[str, int], DelayedLink] = {}
        self.builds: dict[int, Path] = {}
        self.gates: list[Gate] = []
        self.rows = RowStore()
        self._rng = random.Random(REPEAT_SEED)
        self.engines: dict[str, tuple[RelayReplica, object, object]] = {}
        self.routers: list[subprocess.Popen] = []
        self.settings: list[dict] = []
        self._metrics_ports: dict[int, int] = {}
        self._directory = directory
        self._ports = PortBlock()
        self._written: dict[tuple[str, str], bytes | None] = {}
        self.put_config()

    def take_port(self) -> int:
        """Return a port that no other test uses while this one runs."""
        return self._ports.take()

    def put_config(self, version: int = 1, key: str = "demo-key") -> None:
        """Write a configuration whose only API key is `key`."""
        self.put_document(_config(version, key))

    def put_document(self, cfg: dict) -> None:
        """Write a whole configuration."""
        self._put("op", "config", msgspec.json.encode(cfg))

    def order_version(self, version: str, duration_s: float) -> None:
        """Order that the engines move to a version within a time, in seconds."""
        order = {"service": POOL, "to": version, "durationS": duration_s}
        self._put("op", ROLLOUT_KEY, msgspec.json.encode(order))

    def published_result(self, version: str) -> str | None:
        """Return the published result of the move to a version; None if none is."""
        body = self.rows.value("status", ROLLOUT_KEY)
        status = {} if body is None else msgspec.json.decode(body)
        return status["state"] if status.get("to") == version else None

    def add_engine(
        self, name: str, zone: str, *, version: str = "v1", fails: bool = False
    ) -> None:
        """Start an engine and register it in the store."""
        replica = RelayReplica(
            name,
            EVENTS,
            version=version,
            fails=fails,
            may_repeat=with_share(REPEATED_SHARE, self._rng),
        )
        self.add_replica(replica, POOL, zone)

    def add_replica(self, replica: RelayReplica, service: str, zone: str) -> None:
        """Start a replica of a service and register it in the store."""
        listener = listen()
        server = eventlet.spawn(replica.serve, listener)
        self.engines[replica.name] = replica, listener, server
        address = _text(self._delayed(listener.getsockname()))
        entry = replica.store_entry(service, address, zone)
        self._put("servers", replica.name, entry)

    def drop_engine(self, name: str) -> None:
        """Delete the row of an engine, which serves on."""
        self._written["servers", name] = None
        self.rows.drop("servers", name)

    def crash_engine(self, name: str) -> None:
        """Stop an engine abruptly, close its connections and delete its row."""
        replica, listener, server = self.engines.pop(name)
        replica.is_lost = True
        server.kill()
        listener.close()
        self.drop_engine(name)

    def hush_engines(self, names: Iterable[str], seconds: float) -> None:
        """Let some engines stand still for a time, and return at once."""
        for name in names:
            replica, _, _ = self.engines[name]
            replica.silence.begin_for(seconds)

    def restore_store(self, ver: int) -> None:
        """Return to an older copy of the store; its writers write their rows again."""
        self.rows.restore(ver)
        eventlet.sleep(REWRITE_DELAY_S)
        for (table, key), value in list(self._written.items()):
            if value is None:
                self.rows.drop(table, key)
            elif self.rows.value(table, key) != value:
                self.rows.put(table, key, value)

    def add_router(self, zone: str, limits: dict | None = None) -> str:
        """Start a router, wait until it is ready and return its URL for callers.

        Parameters
        ----------
        zone : str
            Its failure domain.
        limits : dict, optional
            The limits of its VM, as its settings file names them.
        """
        number = len(self.routers)
        self.gates.append(Gate(self.rows.app))
        self.settings.append(self._settings(number, zone) | {"limits": limits or {}})
        self.write_settings(number, {})
        self.routers.append(self._start(number))
        self.wait_ready(number)
        return f"http://{self.settings[number]['listen']['front']}"

    def front(self, number: int) -> tuple[str, int]:
        """Return the address at which callers reach a router."""
        host, _, port = self.settings[number]["listen"]["front"].rpartition(":")
        return self._delayed((host, int(port)))

    def operators_url(self, number: int) -> str:
        """Return the URL of a router's metrics address."""
        return f"http://{HOST}:{self._metrics_ports[number]}"

    def restart_router(self, number: int) -> None:
        """Kill a router and start it with the same settings, without waiting for it."""
        self.routers[number].kill()
        _wait_exit(self.routers[number])
        self.routers[number] = self._start(number)

    def replace_routers(self, numbers: Sequence[int], build: Path | None) -> None:
        """Stop routers as planned, and start them from a source folder.

        Parameters
        ----------
        numbers : sequence of int
            The routers, which are replaced at the same time.
        build : Path or None
            The source folder; None for this one.
        """
        for number in numbers:
            self.routers[number].terminate()
        for number in numbers:
            _wait_exit(self.routers[number])
            self.builds.pop(number, None)
            if build is not None:
                self.builds[number] = build
            self.routers[number] = self._start(number)
        for number in numbers:
            self.wait_ready(number)

    def kill_all(self) -> None:
        """Kill all routers and crash all engines, as a loss of power does."""
        for router in self.routers:
            router.kill()
        for name in list(self.engines):
            self.crash_engine(name)
        for router in self.routers:
            _wait_exit(router)

    def start_all(self) -> None:
        """Start all routers again, without waiting for them."""
        self.routers = [self._start(number) for number in range(len(self.routers))]

    def write_settings(self, number: int, bounds: dict) -> None:
        """Add bounds to a router's settings and write its settings file."""
        settings = self.settings[number]
        settings["bounds"] |= bounds
        self._path(number).write_text(yaml.safe_dump(settings))

    def wait_ready(self, number: int) -> None:
        """Wait until a router reports that it is ready.

        Raises
        ------
        RuntimeError
            If it has ended.
        """
        url = f"http://{self.settings[number]['listen']['ready']}/"
        with eventlet.Timeout(READY_TIMEOUT_S):
            while not _is_ready(url):
                if self.routers[number].poll() is not None:
                    raise RuntimeError(
                        f"router {number} ended: {self._last_line(number)}"
                    )
                eventlet.sleep(POLL_S)

    def stop(self) -> list[int]:
        """Stop routers, engines and the platform; return the routers' exit codes."""
        for router in self.routers:
            router.terminate()
        exit_codes = [_wait_exit(router) for router in self.routers]
        for name in list(self.engines):
            self.crash_engine(name)
        for gate in self.gates:
            gate.close()
        for link in self._links.values():
            link.close()
        if self._core is not None:
            self._core.stop()
        self._ports.close()
        return exit_codes

    def _put(self, table: str, key: str, value: bytes) -> None:
        self._written[table, key] = value
        self.rows.put(table, key, value)

    def _delayed(self, address: tuple[str, int]) -> tuple[str, int]:
        """Return the address of a link with delay to an address, if links have any."""
        if not self._delay_s:
            return address
        if address not in self._links:
            self._links[address] = DelayedLink(address, self._delay_s, time.monotonic)
        return self._links[address].listener.getsockname()

    def _last_line(self, number: int) -> str:
        log = Path(self._directory, f"router-{number}.log").read_text()
        return log.rstrip().rpartition("\n")[2]

    def _path(self, number: int) -> Path:
        return Path(self._directory, f"router-{number}.yaml")

    def _start(self, number: int) -> subprocess.Popen:
        self._metrics_ports[number] = self._ports.take()
        environ = os.environ | {
            "BORAGEDECK_CONFIG": str(self._path(number)),
            "BORAGEDECK_METRICS_PORT": str(self._metrics_ports[number]),
        }
        command = [sys.executable, "-m", "boragedeck.process.daemon"]
        with Path(self._directory, f"router-{number}.log").open("ab") as log:
            router = subprocess.Popen(
                command,
                env=environ,
                stdout=log,
                stderr=log,
                cwd=self.builds.get(number),
            )
        if self._core is not None:
            self._core.add(router)
        return router

    def _settings(self, number: int, zone: str) -> dict:
        port = self._ports.take(4)
        return {
            "node": f"vm-{number}",
            "ip": HOST,
            "zone": zone,
            "listen": {
                "front": f"{HOST}:{port + 2}",
                "ready": f"{HOST}:{port + 3}",
            },
            "internalPorts": [port, port + 1],
            "platform": {"address": _text(self.gates[number].listener.getsockname())},
            "bounds": {"graceS": 8},
        }


def _config(version: int, key: str) -> dict:
    route = {
        "name": "answers",
        "host": "demo.example",
        "prefix": "/answers/",
        "kind": "streaming",
        "timeoutMs": 10_000,
        "latencyGoalMs": 2_000,
        "service": POOL,
        "maxAttempts": 5,
        "resumable": True,
        "targetGapMs": 700,
    }
    # What can't be resumed is asked for once.
    single = {"name": "drafts", "prefix": "/drafts/", "resumable": False}
    engine = {"slots": 8, "kvCapacity": 88_000, "backups": True}
    return {
        "version": version,
        "routes": [route, route | single],
        "services": [{"name": POOL, "engine": engine | {"models": [{"name": "m"}]}}],
        "tenants": [{"name": "demo", "apiKeys": [key]}],
    }


def _text(address: tuple[str, int]) -> str:
    host, port = address
    return f"{host}:{port}"


def _is_ready(url: str) -> bool:
    try:
        answer = urllib3.request("GET", url, retries=False, timeout=1.0)
    except urllib3.exceptions.HTTPError:
        # The router doesn't listen yet.
        return False
    return answer.status == 200


def _wait_exit(router: subprocess.Popen) -> int:
    with eventlet.Timeout(READY_TIMEOUT_S):
        while router.poll() is None:
            eventlet.sleep(POLL_S)
    return router.returncode
