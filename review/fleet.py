"""Starts routers as processes, with the command and settings of a small deployment."""

import asyncio
import json
import os
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path

from review.http_text import read_body, read_head

__all__ = ["Record", "Router", "has_trouble", "run_case"]

ROOT = Path(__file__).resolve().parents[1]
READY_TIMEOUT_S = 25.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.05
HOST_PREFIX = "127.0.7."
CASE_TIMEOUT_S = 115.0
EXIT_HELD, EXIT_BROKEN, EXIT_UNABLE = 0, 1, 2


def has_trouble() -> bool:
    """Return whether the script shall cause the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to the file `record.txt`.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._since = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line, with the time since the start in seconds."""
        self._file.write(f"{time.monotonic() - self._since:8.3f} {text}\n")

    def close(self) -> None:
        """Write what is still buffered."""
        self._file.close()


class Router:
    """One router process on a loopback address of its own.

    Parameters
    ----------
    number : int
        The number of the router, from 1.
    zone : str
        Its zone.
    store : str
        The address of the store.
    folder : Path
        A temporary folder for its settings and its log.
    seeds : list of str
        The hosts of the seeds.
    """

    def __init__(
        self, number: int, zone: str, store: str, folder: Path, seeds: list[str]
    ):
        self.host = host_of(number)
        front, ready, control, first, metrics = _free_ports(self.host)
        self.front = self.host, front
        self._ready = self.host, ready
        self._metrics = str(metrics)
        self.settings = {
            "node": f"front-{zone}-{number}",
            "role": "router",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": zone,
            "region": "si-central",
            "listen": {
                "front": f"{self.host}:{front}",
                "ready": f"{self.host}:{ready}",
                "control": f"{self.host}:{control}",
            },
            "internalPorts": [first, first + 8],
            "seeds": [f"{seed}:{control}" for seed in seeds],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "linkMbps": 1000.0},
            "heartbeatMs": 1200,
            "bounds": {
                "contactMs": 3000,
                "graceS": 8,
                "retryBudgetRatio": 0.8,
                "budgetWindowS": 10,
                "retryBudgetExtra": 150,
                "exposureShare": 0.1,
                "exposureSlack": 50,
                "configApplyMs": 2000,
            },
            "platform": {"address": store, "form": "table"},
        }
        self._file = folder / f"router-{number}.yaml"
        self._log = folder / f"router-{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.write_settings()

    def write_settings(self) -> None:
        """Write the settings file; JSON is valid YAML."""
        self._file.write_text(json.dumps(self.settings))

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        command = role["router"]["run"].split(" ")
        environ = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environ |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BORAGEDECK_CONFIG": str(self._file),
            "BORAGEDECK_METRICS_PORT": self._metrics,
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environ, stdout=log, stderr=log
            )

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready."""
        until = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > until or self.process.returncode is not None:
                raise RuntimeError(f"{self.host} isn't ready: {self.log()[-500:]}")
            await asyncio.sleep(POLL_S)

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(*self._ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /boragedeck/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
            head = await read_head(reader)
            if head is None:
                return False
            await read_body(reader, head)
            return head.status == 200
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)

    def log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


def host_of(number: int) -> str:
    """Return the loopback address of a router."""
    return f"{HOST_PREFIX}{number}"


def run_case(case, broken_text: str) -> None:
    """Run a case, print its result and exit with its code.

    Parameters
    ----------
    case : coroutine
        Returns whether the rule held.
    broken_text : str
        What is printed if it didn't.
    """
    try:
        has_held = asyncio.run(asyncio.wait_for(case, CASE_TIMEOUT_S))
    except Exception as exc:
        print(f"The case couldn't run: {exc!r}", file=sys.stderr)
        sys.exit(EXIT_UNABLE)
    print("The rule held." if has_held else broken_text)
    sys.exit(EXIT_HELD if has_held else EXIT_BROKEN)


def _free_ports(host: str) -> tuple[int, int, int, int, int]:
    """Return free ports: three, the first of a block, and one; the same for all hosts.

    The ports are the same on all machines of a deployment.
    """
    if not _PORTS:
        for first in range(21_000 + os.getpid() % 500 * 20, 60_000, 20):
            if all(_is_free(host, first + offset) for offset in range(16)):
                _PORTS.append(first)
                break
    first = _PORTS[0]
    return first, first + 1, first + 2, first + 4, first + 15


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


_PORTS: list[int] = []
