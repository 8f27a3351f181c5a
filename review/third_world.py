"""A small deployment on loopback: store, replicas, routers as processes, clients."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from review.third_http import Request, Response, read_response
from review.third_replica import Replica, Work
from review.third_store import Store

__all__ = ["World"]

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 20.0
PORTS_PER_ROUTER = 8

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
    "reuseWindowS": 8.8,
}
"""The bounds of the users' sheets for their first deployments."""


class World:
    """The parts of one deployment.

    Parameters
    ----------
    record : Path
        File that says what was sent, answered and run.

    Attributes
    ----------
    sent_to : dict of str to str
        The router to which each caller's request was sent, by the request's id.
    """

    def __init__(self, record: Path):
        self.store = Store()
        self.replicas: list[Replica] = []
        self.routers: list[dict] = []
        self._record = record.open("w")
        self._since = time.monotonic()
        self._rng = random.Random()
        self._directory = tempfile.TemporaryDirectory()
        self._sent = 0
        self.sent_to: dict[str, str] = {}

    def note(self, text: str, **fields) -> None:
        """Write a line to the record."""
        at = time.monotonic() - self._since
        parts = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{at:8.3f} {text} {parts}".rstrip() + "\n")
        self._record.flush()

    async def add_replica(
        self, service: str, zone: str, work_for: Callable[[Request], Work], **options
    ) -> Replica:
        """Start a replica."""
        replica = Replica(self.store, service, zone, work_for, self.note, **options)
        await replica.start()
        self.replicas.append(replica)
        return replica

    async def add_router(self, zone: str, *, limits: dict | None = None) -> dict:
        """Start a router as the deploy file says, and wait until it is ready."""
        router = self.make_router(zone, limits=limits)
        self.start_router(router)
        await self.wait_ready(router)
        return router

    def make_router(self, zone: str, *, limits: dict | None = None) -> dict:
        """Return a router that isn't started yet, with its settings file."""
        number = len(self.routers)
        port = _free_ports(self._rng, PORTS_PER_ROUTER)
        router = {
            "node": f"front-{zone}-{number}",
            "front": ("127.0.0.1", port),
            "ready": ("127.0.0.1", port + 1),
            "metrics": port + 3,
            "settings": str(Path(self._directory.name, f"router-{number}.yaml")),
            "log": Path(self._directory.name, f"router-{number}.log"),
            "process": None,
        }
        settings = {
            "node": router["node"],
            "role": "router",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "r",
            "zones": {zone: "r"},
            "listen": {
                "front": f"127.0.0.1:{port}",
                "ready": f"127.0.0.1:{port + 1}",
                "control": f"127.0.0.1:{port + 2}",
            },
            "internalPorts": [port + 4, port + 7],
            "seeds": [],
            "bootstrap": False,
            "limits": limits or {"cpuShare": 0.537, "cores": 2, "memoryMb": 300},
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self.store.address, "form": "table"},
        }
        Path(router["settings"]).write_text(json.dumps(settings))
        self.routers.append(router)
        return router

    def start_router(self, router: dict) -> None:
        """Start a router's process, as the platform does."""
        environ = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environ |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BORAGEDECK_CONFIG": router["settings"],
            "BORAGEDECK_METRICS_PORT": str(router["metrics"]),
        }
        with router["log"].open("ab") as log:
            router["process"] = subprocess.Popen(
                ["python3", "-m", "boragedeck.process.daemon"],
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
            )
        self.note("router started", router=router["node"], pid=router["process"].pid)

    async def wait_ready(self, router: dict) -> None:
        """Wait until a router says that it is ready.

        Raises
        ------
        RuntimeError
            If it doesn't in time.
        """
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            found = await self.exchange(router["ready"], "GET", "/boragedeck/readyz")
            if found.status == 200:
                self.note("router ready", router=router["node"])
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{router['node']} isn't ready")

    async def exchange(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Response:
        """Send one request on a new connection, and return the response."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    lines = [f"{method} {target} HTTP/1.1"]
                    fields = {"Host": "front"} | (headers or {})
                    if body:
                        fields["Content-Length"] = str(len(body))
                    lines += [f"{name}: {value}" for name, value in fields.items()]
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                    return await read_response(reader)
                finally:
                    writer.close()
        except TimeoutError:
            return Response(error="timeout")
        except OSError as exc:
            return Response(error=f"{type(exc).__name__}: {exc}")

    async def request(
        self,
        router: dict,
        method: str,
        target: str,
        *,
        host: str,
        key: str,
        deadline_ms: int,
        body: bytes = b"",
        what: str = "",
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a caller's request to a router, and record its answer."""
        self._sent += 1
        request_id = f"{what or 'q'}-{self._sent:05d}"
        fields = {
            "Host": host,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Api-Key": key,
        } | (headers or {})
        self.sent_to[request_id] = router["node"]
        self.note("sent", request=request_id, router=router["node"], target=target)
        found = await self.exchange(
            router["front"], method, target, fields, body, deadline_ms / 1000.0 + 1.0
        )
        self.note(
            "answered",
            request=request_id,
            status=found.status,
            complete=found.is_complete,
            error=found.error.replace(" ", "_"),
        )
        found.request_id = request_id
        return found

    def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for replica in self.replicas:
            replica.stop()
        for router in self.routers:
            process = router["process"]
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            for router in self.routers:
                target = Path(os.environ["KEEP_LOGS"], router["log"].name)
                target.write_bytes(router["log"].read_bytes())
        self._record.close()
        self._directory.cleanup()


def _free_ports(rng: random.Random, count: int) -> int:
    """Return the first of some consecutive free ports outside the ephemeral range."""
    while True:
        first = rng.randrange(12_000, 32_000)
        try:
            for port in range(first, first + count):
                with socket.socket() as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        return first
