"""Runs a router on a stand-in of the users' platform and crashes an engine mid-stream.

Everything except the router runs in this process. The exit status is 1 if the answer
is incomplete or damaged.
"""

import os
import random
import socket
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from boragedeck.patching import patch_all

patch_all()

import eventlet
import msgspec
import urllib3
import yaml

from standins.relay_replica import RelayReplica
from standins.rows import RowStore
from standins.web import listen, serve

__all__ = ["PlatformCluster", "main"]

HOST = "127.0.0.1"
PAIR_PORTS = 15_000, 32_000
READY_TIMEOUT_S = 20.0
EVENTS = 40
ROUTE_HEADERS = {"Host": "demo.example", "Api-Key": "demo-key", "Deadline-Ms": "10000"}


class PlatformCluster:
    """A stand-in platform, engines and routers on loopback.

    Parameters
    ----------
    directory : Path
        Directory of the settings and log files.

    Attributes
    ----------
    builds : dict of int to Path
        Source folders of the routers that don't run this one.
    """

    def __init__(self, directory: Path):
        self.builds: dict[int, Path] = {}
        self.rows = RowStore()
        self.engines: dict[str, tuple[RelayReplica, object, object]] = {}
        self.routers: list[subprocess.Popen] = []
        self.settings: list[dict] = []
        self._directory = directory
        self._listener = listen()
        self._server = eventlet.spawn(serve, self.rows.app, self._listener)
        self.put_config()

    def put_config(self, version: int = 1, key: str = "demo-key") -> None:
        """Write a configuration whose only API key is `key`."""
        self.rows.put("op", "config", msgspec.json.encode(_config(version, key)))

    def add_engine(self, name: str, zone: str) -> None:
        """Start an engine and register it in the store."""
        replica, listener = RelayReplica(name, EVENTS), listen()
        server = eventlet.spawn(serve, replica.app, listener)
        self.engines[name] = replica, listener, server
        address = _address(listener)
        self.rows.put("servers", name, replica.store_entry("engines", address, zone))

    def crash_engine(self, name: str) -> None:
        """Stop an engine abruptly, close its connections and delete its row."""
        replica, listener, server = self.engines.pop(name)
        replica.is_lost = True
        server.kill()
        listener.close()
        self.rows.drop("servers", name)

    def add_router(self, zone: str) -> str:
        """Start a router, wait until it is ready and return its URL for callers."""
        number = len(self.routers)
        self.settings.append(self._settings(number, zone))
        self.write_settings(number, {})
        self.routers.append(self._start(number))
        self.wait_ready(number)
        return f"http://{self.settings[number]['listen']['front']}"

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
        """Wait until a router reports that it is ready."""
        _wait_ready(f"http://{self.settings[number]['listen']['ready']}/")

    def stop(self) -> list[int]:
        """Stop routers, engines and the platform; return the routers' exit codes."""
        for router in self.routers:
            router.terminate()
        exit_codes = [_wait_exit(router) for router in self.routers]
        for name in list(self.engines):
            self.crash_engine(name)
        self._server.kill()
        self._listener.close()
        return exit_codes

    def _path(self, number: int) -> Path:
        return Path(self._directory, f"router-{number}.yaml")

    def _start(self, number: int) -> subprocess.Popen:
        environ = os.environ | {
            "BORAGEDECK_CONFIG": str(self._path(number)),
            "BORAGEDECK_METRICS_PORT": str(_free_port()),
        }
        command = [sys.executable, "-m", "boragedeck.process.daemon"]
        with Path(self._directory, f"router-{number}.log").open("ab") as log:
            return subprocess.Popen(
                command,
                env=environ,
                stdout=log,
                stderr=log,
                cwd=self.builds.get(number),
            )

    def _settings(self, number: int, zone: str) -> dict:
        port = _free_port_pair()
        return {
            "node": f"vm-{number}",
            "ip": HOST,
            "zone": zone,
            "listen": {
                "front": f"{HOST}:{_free_port()}",
                "ready": f"{HOST}:{_free_port()}",
            },
            "internalPorts": [port, port + 1],
            "platform": {"address": _address(self._listener)},
            "bounds": {"graceS": 8},
        }


def main() -> None:
    """Run the demonstration."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = PlatformCluster(Path(directory))
        try:
            is_intact = _run_demo(cluster)
        finally:
            cluster.stop()
    print("The answer is complete." if is_intact else "The answer is damaged.")
    sys.exit(0 if is_intact else 1)


def _run_demo(cluster: PlatformCluster) -> bool:
    for name, zone in (("engine-1", "a"), ("engine-2", "b")):
        cluster.add_engine(name, zone)
    url = cluster.add_router("a")
    print(f"A router serves callers at {url}.")
    response = urllib3.PoolManager().request(
        "POST",
        f"{url}/answers/x",
        headers=ROUTE_HEADERS | {"Request-Id": "demo-1", "Token-Counts": "100,40"},
        preload_content=False,
    )
    body = b""
    while part := response.read1(65_536):
        body += part
        if b"id: 10\n" in body and len(cluster.engines) == 2:
            name = next(n for n, e in cluster.engines.items() if e[0].served_ids)
            print(f"After event 10 the engine of the stream, {name}, crashes.")
            cluster.crash_engine(name)
    expected = b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number)
        for number in range(1, EVENTS + 1)
    )
    print(f"{body.count(b'id: ')} events received.")
    return body == expected


def _config(version: int, key: str) -> dict:
    route = {
        "name": "answers",
        "host": "demo.example",
        "prefix": "/answers/",
        "kind": "streaming",
        "timeoutMs": 10_000,
        "latencyGoalMs": 2_000,
        "service": "engines",
        "maxAttempts": 5,
        "resumable": True,
        "targetGapMs": 700,
    }
    engine = {"slots": 8, "kvCapacity": 88_000, "backups": True}
    return {
        "version": version,
        "routes": [route],
        "services": [
            {"name": "engines", "engine": engine | {"models": [{"name": "m"}]}}
        ],
        "tenants": [{"name": "demo", "apiKeys": [key]}],
    }


def _address(listener) -> str:
    host, port = listener.getsockname()
    return f"{host}:{port}"


def _free_port_pair() -> int:
    """Return a free port whose successor is free, too.

    Notes
    -----
    The ports lie below those that the system gives to outgoing connections, one of
    which could take the second port before the router does.
    """
    while True:
        port = random.randrange(*PAIR_PORTS)
        if _is_free(port) and _is_free(port + 1):
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            # Another process listens there.
            return False
    return True


def _free_port() -> int:
    listener = listen()
    port = listener.getsockname()[1]
    listener.close()
    return port


def _wait_ready(url: str) -> None:
    pool = urllib3.PoolManager(retries=False, timeout=1.0)
    with eventlet.Timeout(READY_TIMEOUT_S):
        while True:
            try:
                if pool.request("GET", url).status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                # The router doesn't listen yet.
                pass
            eventlet.sleep(0.05)


def _wait_exit(router: subprocess.Popen) -> int:
    with eventlet.Timeout(READY_TIMEOUT_S):
        while router.poll() is None:
            eventlet.sleep(0.05)
    return router.returncode


if __name__ == "__main__":
    main()
