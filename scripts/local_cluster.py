"""Starts routers and stand-ins as processes on loopback."""

import atexit
import hashlib
import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

import msgspec

from boragedeck.connection.platform import HttpPlatform
from boragedeck.ids import (
    FailureDomain,
    OrganisationName,
    PoolName,
    RouteName,
    UpstreamName,
    Version,
)
from boragedeck.process.timers import RealTimers
from boragedeck.version.config_store import ConfigStore
from boragedeck.version.tables import (
    Config,
    Organisation,
    Pool,
    PoolKind,
    Route,
    RouteKind,
    Upstream,
)

__all__ = ["ClusterOptions", "LocalCluster", "Process"]

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 5.0
POLL_S = 0.05
EXIT_TERMINATED = 143
CURRENT_VERSION = Version("v1")
NEXT_VERSION = Version("v2")
ENGINE_POOL = PoolName("engines")
SERVICE_POOL = PoolName("kiosks")
ORGANISATIONS = (OrganisationName("mehurcek"), OrganisationName("bakhoor"))


class ClusterOptions(msgspec.Struct, frozen=True):
    """Options of a local cluster.

    Parameters
    ----------
    routers : int
        Number of routers.
    engines : int
        Number of engines; a third of them serve the next version.
    services : int
        Number of plain services.
    failure_domains : int
        Number of failure domains; the processes of a kind are assigned to them in turn.
    token_interval_ms : float
        Time per token of an engine that runs a single request, in milliseconds.
    engine_flags : tuple of str
        Additional flags of each engine.
    router_flags : tuple of str
        Additional flags of each router.
    log_dir : str
        Directory of the log files; if empty, a new temporary directory.
    """

    routers: int = 3
    engines: int = 6
    services: int = 3
    failure_domains: int = 3
    token_interval_ms: float = 20.0
    engine_flags: tuple[str, ...] = ()
    router_flags: tuple[str, ...] = ()
    log_dir: str = ""


class Process:
    """A child process, which prints a line of JSON when it is ready.

    Parameters
    ----------
    arguments : list of str
        The module and its flags, for ``python -m``.
    log : pathlib.Path
        File to which its standard error is appended.
    """

    def __init__(self, arguments: list[str], log: pathlib.Path):
        self.arguments = arguments
        self._log = log
        with open(log, "ab") as file:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=file,
                start_new_session=True,
            )
        self.ready: dict = {}

    @property
    def pid(self) -> int:
        """The process id."""
        return self.popen.pid

    @property
    def url(self) -> str:
        """The URL at which it serves."""
        return self.ready["url"]

    def wait_ready(self) -> None:
        """Wait for the line that the process prints when it is ready.

        Raises
        ------
        RuntimeError
            If it exits first or prints something else.
        """
        line = self.popen.stdout.readline()
        try:
            self.ready = json.loads(line)
        except ValueError:
            text = self._log.read_text(errors="replace")[-2000:]
            name = self.arguments[0]
            raise RuntimeError(f"{name} is not ready: {line!r}\n{text}") from None

    def signal(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.popen.poll() is None:
            os.kill(self.pid, number)

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()
        self.popen.stdout.close()


class LocalCluster:
    """Routers, engines, services and a platform as processes on loopback.

    Parameters
    ----------
    options : ClusterOptions
        Its options.

    Attributes
    ----------
    platform, routers, engines, services : Process or list of Process
        The processes.
    api_keys : dict
        API keys by organisation.
    """

    def __init__(self, options: ClusterOptions):
        self.options = options
        directory = options.log_dir or tempfile.mkdtemp(prefix="boragedeck-")
        self.log_dir = pathlib.Path(directory)
        self.log_dir.mkdir(parents=True, exist_ok=True)
        self.routers: list[Process] = []
        self.engines: list[Process] = []
        self.services: list[Process] = []
        self.api_keys = {name: secrets.token_urlsafe(18) for name in ORGANISATIONS}
        atexit.register(self.stop)
        if signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
            # Without a handler the children would outlive this process.
            signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))

    def start(self) -> None:
        """Start all processes and wait until each router is ready.

        Raises
        ------
        RuntimeError
            If a process does not become ready.
        """
        self.platform = self._start_process("platform", ["standins.platform"])
        self.engines = [self.start_engine(i) for i in range(self.options.engines)]
        self.services = [self._start_service(i) for i in range(self.options.services)]
        for process in [self.platform, *self.engines, *self.services]:
            process.wait_ready()
        self.apply(self.config())
        self.routers = [self.start_router(i) for i in range(self.options.routers)]
        for router in self.routers:
            router.wait_ready()
        for router in self.routers:
            self.wait_serving(router)

    def stop(self) -> None:
        """Stop all processes."""
        processes = [*self.routers, *self.engines, *self.services]
        if hasattr(self, "platform"):
            processes.append(self.platform)
        for process in processes:
            process.stop()
        self.routers, self.engines, self.services = [], [], []
        atexit.unregister(self.stop)

    def config(self) -> Config:
        """Return the configuration that `start` applies."""
        organisations = tuple(
            Organisation(name, (hashlib.sha256(key.encode()).hexdigest(),))
            for name, key in self.api_keys.items()
        )
        routes = (
            Route(RouteName("orders"), ENGINE_POOL, version=CURRENT_VERSION),
            Route(RouteName("recipes"), ENGINE_POOL, version=CURRENT_VERSION),
            Route(
                RouteName("dispense"),
                SERVICE_POOL,
                kind=RouteKind.CALL,
                repeatable=False,
            ),
            Route(RouteName("accounts"), SERVICE_POOL, kind=RouteKind.CALL),
        )
        engines = tuple(
            Upstream(
                UpstreamName(f"engine-{i}"),
                engine.url,
                self.failure_domain(i),
                self.engine_version(i),
            )
            for i, engine in enumerate(self.engines)
        )
        services = tuple(
            Upstream(UpstreamName(f"kiosk-{i}"), service.url, self.failure_domain(i))
            for i, service in enumerate(self.services)
        )
        pools = (
            Pool(ENGINE_POOL, PoolKind.ENGINE, upstreams=engines),
            Pool(SERVICE_POOL, PoolKind.SERVICE, upstreams=services),
        )
        return Config(organisations=organisations, routes=routes, pools=pools)

    def apply(self, cfg: Config) -> None:
        """Apply a configuration.

        Raises
        ------
        RuntimeError
            If the platform can't be read or the configuration is not applied.
        """
        store = ConfigStore(HttpPlatform(self.platform.url), RealTimers())
        base = store.read()
        if base.is_err():
            raise RuntimeError(str(base.err()))
        result = store.apply(
            base.ok(), cfg, author="local cluster", apply_id=secrets.token_hex(8)
        )
        if result.is_err():
            raise RuntimeError(str(result.err()))

    def engine_version(self, i: int) -> Version:
        """Return the i-th engine's version; the last third serve the next one."""
        return CURRENT_VERSION if i < self.options.engines * 2 / 3 else NEXT_VERSION

    def failure_domain(self, i: int) -> FailureDomain:
        """Return the failure domain of the i-th process of a kind."""
        return FailureDomain(f"fd-{i % self.options.failure_domains + 1}")

    def start_router(self, i: int) -> Process:
        """Start the router of the i-th VM, without waiting until it is ready."""
        flags = [
            "--listen=127.0.0.1:0",
            "--peer-listen=127.0.0.1:0",
            f"--vm=vm-{i + 1}",
            f"--failure-domain={self.failure_domain(i)}",
            f"--platform-url={self.platform.url}",
            f"--log-file={self.log_dir / f'router-{i}.log'}",
            *self.options.router_flags,
        ]
        return self._start_process(f"router-{i}", ["boragedeck.process.daemon", *flags])

    def wait_serving(self, router: Process) -> None:
        """Wait until a router reports that it is ready and knows all running routers.

        Raises
        ------
        RuntimeError
            If it takes longer than `READY_TIMEOUT_S`.
        """
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if self._is_serving(router):
                return
            time.sleep(POLL_S)
        raise RuntimeError(f"router {router.url} did not become ready in time")

    def _is_serving(self, router: Process) -> bool:
        try:
            urllib.request.urlopen(router.url + "/-/ready", timeout=1).close()
            with urllib.request.urlopen(router.url + "/-/status", timeout=1) as file:
                peers = json.load(file)["peers"]
        except OSError:
            return False
        known = {peer["router"] for peer in peers} | {router.ready["router"]}
        alive = [r for r in self.routers if r.popen.poll() is None]
        return known.issuperset(r.ready["router"] for r in alive)

    def start_engine(self, i: int) -> Process:
        """Start the i-th engine, without waiting until it is ready."""
        flags = [
            "--port=0",
            f"--version={self.engine_version(i)}",
            f"--token-interval-ms={self.options.token_interval_ms}",
            *self.options.engine_flags,
        ]
        return self._start_process(f"engine-{i}", ["standins.engine", *flags])

    def _start_service(self, i: int) -> Process:
        return self._start_process(f"service-{i}", ["standins.service", "--port=0"])

    def _start_process(self, name: str, arguments: list[str]) -> Process:
        return Process(arguments, self.log_dir / f"{name}.err")
