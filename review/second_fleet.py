"""Starts the routers by the deploy file, with settings of a small deployment."""

import json
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

from review.second_client import ask
from review.second_record import Record
from review.second_store import Store

__all__ = ["BOUNDS", "Fleet", "ROOT"]

ROOT = Path(__file__).resolve().parents[1]
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.8,
    "budgetWindowS": 10,
    "retryBudgetExtra": 150,
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
    "recoveryS": 12,
    "eventDelayMs": 120,
    "reuseWindowS": 10,
}
CONTRACTS = (
    "base drain config cost retry recover engine stream tenants rollout platform"
)
READY_TIMEOUT_S = 20.0


class Fleet:
    """Some routers as processes, each on a loopback address of its own.

    Parameters
    ----------
    store : Store
        The platform's store.
    record : Record
        Receives starts and ends.
    directory : Path
        Where settings and logs are written.
    zones : list of str
        The zone of each router.
    limits : dict, optional
        The limits of each machine, beside the usual ones.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        directory: Path,
        zones: list[str],
        limits: dict | None = None,
    ):
        self._store = store
        self._record = record
        self._directory = directory
        self._zones = zones
        self._limits = limits or {}
        first = random.randrange(1, 200)
        self.hosts = [f"127.7.{first}.{n + 1}" for n in range(len(zones))]
        self._base = _free_ports(self.hosts)
        deploy = tomllib.loads(Path(ROOT, "deploy/system.toml").read_text())
        self._role = deploy["roles"]["router"]
        self.processes: list[subprocess.Popen | None] = [None] * len(zones)

    def front(self, number: int) -> tuple[str, int]:
        """Return where requesters reach a router."""
        return self.hosts[number], self._base

    def ready(self, number: int) -> tuple[str, int]:
        """Return where the platform asks whether a router is ready."""
        return self.hosts[number], self._base + 1

    def settings_path(self, number: int) -> Path:
        """Return the path of a router's settings file."""
        return Path(self._directory, f"router-{number}.yaml")

    def write_settings(self, number: int, bounds: dict | None = None) -> None:
        """Write a router's settings; JSON is YAML, too."""
        settings = self._settings(number)
        settings["bounds"] = BOUNDS | (bounds or {})
        self.settings_path(number).write_text(json.dumps(settings, indent=1))

    def start(self, number: int) -> None:
        """Start a router, without waiting for it."""
        path = os.environ.get("PATH", "")
        environ = {"PATH": path, "HOME": os.environ.get("HOME", "/")}
        environ["LANG"] = os.environ.get("LANG", "C.UTF-8")
        environ["PYTHONPATH"] = str(Path(ROOT, "target/deps"))
        environ["PYTHONDONTWRITEBYTECODE"] = "1"
        environ |= self._role["env"]
        environ["BORAGEDECK_METRICS_PORT"] = str(self._base + 3)
        environ["BORAGEDECK_CONFIG"] = str(self.settings_path(number))
        with Path(self._directory, f"router-{number}.log").open("ab") as log:
            process = subprocess.Popen(
                self._role["run"].split(" "),
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
            )
        self.processes[number] = process
        self._record.write("router starts", router=number, pid=process.pid)

    def start_all(self) -> None:
        """Write the settings of all routers and start them."""
        for number in range(len(self._zones)):
            self.write_settings(number)
            self.start(number)

    def wait_ready(self, number: int) -> bool:
        """Wait until a router says that it is ready; return whether it did in time."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if self.is_ready(number, 1.0):
                self._record.write("router ready", router=number)
                return True
            if self.processes[number].poll() is not None:
                return False
            time.sleep(0.05)
        return False

    def is_ready(self, number: int, timeout_s: float) -> bool:
        """Ask a router as the platform does."""
        target = "/boragedeck/readyz"
        answer = ask(self.ready(number), "GET", target, {}, timeout_s=timeout_s)
        return answer.status == 200

    def kill(self, number: int, how: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to a router."""
        self._record.write("signal", router=number, signal=how.name)
        self.processes[number].send_signal(how)

    def stop(self) -> None:
        """Kill all routers that run, and wait for their ends."""
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.kill()
        for process in self.processes:
            if process is not None:
                process.wait()

    def rss_mb(self, number: int) -> float:
        """Return the resident memory of a router, in MB."""
        text = Path(f"/proc/{self.processes[number].pid}/status").read_text()
        lines = [line for line in text.splitlines() if line.startswith("VmRSS")]
        return int(lines[0].split()[1]) / 1024.0 if lines else 0.0

    def _settings(self, number: int) -> dict:
        host, base, zone = self.hosts[number], self._base, self._zones[number]
        limits = {
            "cpuShare": 0.537,
            "cores": 2,
            "memoryMb": 300,
            "maxFds": 4100,
            "linkMbps": 1000.0,
            "diskMb": 0,
        }
        return {
            "node": f"front-{zone}-{number}",
            "role": "router",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": host,
            "zone": zone,
            "region": "r",
            "zones": {each: "r" for each in sorted(set(self._zones))},
            "listen": {
                "front": f"{host}:{base}",
                "ready": f"{host}:{base + 1}",
                "control": f"{host}:{base + 2}",
            },
            "internalPorts": [base + 10, base + 25],
            "seeds": [f"{each}:{base + 2}" for each in self.hosts[:3]],
            "bootstrap": True,
            "inFaultBudget": False,
            "limits": limits | self._limits,
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": CONTRACTS.split(),
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "platform": {
                "address": self._store.address,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "txnMs": 8.0,
                "partitionWritesS": 150,
                "rowBytes": 65536,
                "across": False,
                "historyS": 20,
                "blobBytes": 8388608,
                "blobMs": 25.0,
                "blobMbS": 80.0,
            },
        }


def _free_ports(hosts: list[str]) -> int:
    """Return the first of 32 ports that are free at all addresses."""
    for _ in range(50):
        base = random.randrange(20_000, 31_000, 40)
        if all(_is_free(host, base + n) for host in hosts for n in range(32)):
            return base
    raise RuntimeError("there are no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
