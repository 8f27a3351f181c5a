"""Injects every fault at every step of an answer, with real processes on loopback.

Each cell of the matrix combines a fault with a step. A caller sends a request, the
fault is injected at the step, and the caller reattaches whenever its connection fails.
A cell is held if the answer arrived complete and without repeated tokens, refused if
the caller got a typed error, and red otherwise.
"""

import argparse
import collections
import contextlib
import enum
import http.client
import json
import pathlib
import secrets
import signal
import sys
import time

from boragedeck.patching import patch_all

patch_all()

import eventlet
import msgspec

from boragedeck.process.observing.timeline import EventFilter, merge, read_events
from boragedeck.process.observing.timeline_views import text_lines
from boragedeck.version.tables import Config
from scripts.caller import Caller, CallerError, Stream
from scripts.engine_metrics import RUNNING_REQUESTS, read_metrics
from scripts.local_cluster import ClusterOptions, LocalCluster, Process
from standins.relay import Relay
from standins.tokens import find_break

__all__ = ["Cell", "Fault", "FaultMatrix", "Outcome", "Step", "main"]

TOKENS = 60
MIDDLE = 30
TOKEN_INTERVAL_MS = 15.0
READ_TIMEOUT_S = 3.0
"""A caller considers a connection dead if nothing arrives for this time."""
CELL_TIMEOUT_S = 40.0
MAX_TIMELINE_EVENTS = 500
RETRY_INTERVAL_S = 0.1
PAUSE_S = 2.5
CURRENT_VERSION_ENGINES = 4
_CONNECTION_ERRORS = (OSError, EOFError, ValueError, http.client.HTTPException)
EXIT_RED = 1


class Step(enum.Enum):
    """The step of an answer at which a fault is injected."""

    ADMITTED = "admitted"
    FIRST_TOKEN = "first token"
    MIDDLE = "mid-answer"
    LAST_TOKEN = "last token"
    FINISHED = "finish"
    CANCELLED = "cancel"
    REATTACHED = "reattach"


class Fault(enum.Enum):
    """A fault to inject."""

    NONE = "none"
    ENGINE_KILLED = "engine killed"
    ENGINE_PAUSED = "engine paused"
    ENGINE_CONNECTION_SILENT = "engine's connection silent"
    OWNER_KILLED = "router killed"
    OWNER_PAUSED = "router paused"
    HOLDER_KILLED = "copy holder killed"
    CALLER_CUT = "caller cut off"
    CALLER_SILENT = "caller's connection silent"
    ENGINE_AND_OWNER_KILLED = "engine and router killed"
    ENGINE_AND_HOLDER_KILLED = "engine and copy holder killed"
    OWNER_AND_HOLDER_KILLED = "router and copy holder killed"
    PLATFORM_DOWN = "platform down"
    PLATFORM_DOWN_OWNER_KILLED = "platform down, router killed"


class Outcome(enum.Enum):
    """Outcome of a cell."""

    HELD = "held"
    REFUSED = "refused"
    RED = "RED"


class Cell(msgspec.Struct, frozen=True):
    """Result of one fault at one step.

    Parameters
    ----------
    fault : Fault
        The injected fault.
    step : Step
        The step at which it was injected.
    outcome : Outcome
        The outcome.
    detail : str
        The error's code, or a description of the failure.
    longest_wait_s : float
        Longest wait for the next text on one connection, in seconds.
    answer_id : str
        The answer's id.
    """

    fault: Fault
    step: Step
    outcome: Outcome
    detail: str
    longest_wait_s: float
    answer_id: str


class RelayedCluster(LocalCluster):
    """A cluster whose engines and first router are reached through relays."""

    def __init__(self, options: ClusterOptions):
        super().__init__(options)
        self.relays: dict[str, Relay] = {}

    def config(self) -> Config:
        """Return the configuration, with the relays' URLs for the engines'."""
        cfg = super().config()
        pools = tuple(
            msgspec.structs.replace(
                pool,
                upstreams=tuple(
                    msgspec.structs.replace(u, url=self.relay(u.url).url)
                    for u in pool.upstreams
                ),
            )
            for pool in cfg.pools
        )
        return msgspec.structs.replace(cfg, pools=pools)

    def relay(self, url: str) -> Relay:
        """Return the relay to a URL; the first call creates it."""
        if url not in self.relays:
            host, _, port = url.removeprefix("http://").rpartition(":")
            self.relays[url] = Relay(host, int(port))
        return self.relays[url]


class MatrixCaller:
    """A caller that reattaches until its answer has ended.

    Parameters
    ----------
    cluster : RelayedCluster
        The cluster.
    inject_fault : callable
        Injects the fault; called with the caller when the answer reaches the step.
    step : Step
        The step.
    """

    def __init__(self, cluster: RelayedCluster, inject_fault, step: Step):
        self._cluster = cluster
        self._inject_fault = inject_fault
        self._step = step
        self._is_fault_injected = False
        self._key = cluster.api_keys["mehurcek"]
        self.answer_id = f"cell-{secrets.token_hex(6)}"
        self.texts: list[str] = []
        self.last_event_id = ""
        self.is_done = False
        self.error: CallerError | None = None
        self.stream: Stream | None = None
        self.longest_wait_s = 0.0
        self._router = 0

    @property
    def tokens(self) -> int:
        """Number of tokens received."""
        return len("".join(self.texts).split())

    def run(self) -> None:
        """Send the request and read until the answer ends, fails or times out."""
        until = time.monotonic() + CELL_TIMEOUT_S
        if self._step is Step.ADMITTED:
            eventlet.spawn_after(0.01, self._try_inject_fault)
        while not self.is_done and time.monotonic() < until:
            try:
                self.stream = self._connect()
                self._read()
            except CallerError as exc:
                if not _may_retry(exc):
                    self.error = exc
                    return
            except _CONNECTION_ERRORS:
                pass
            self._router += 1
            eventlet.sleep(RETRY_INTERVAL_S)
        if self._step is Step.FINISHED and self.is_done:
            self._try_inject_fault()
            self._reread(until)

    def inject_fault(self) -> None:
        """Inject the fault; only the first call has an effect."""
        if not self._is_fault_injected:
            self._is_fault_injected = True
            self._inject_fault(self)

    def _try_inject_fault(self) -> None:
        # If the fault closes the caller's connection, its next read fails as well.
        with contextlib.suppress(OSError):
            self.inject_fault()

    def is_intact(self) -> bool:
        """Return whether the answer is complete, without repeated tokens."""
        text = "".join(self.texts)
        is_all = self.is_done and self.tokens == TOKENS
        return is_all and find_break(text) is None

    def _connect(self) -> Stream:
        caller = Caller(self._url(), self._key, timeout_s=READ_TIMEOUT_S)
        if self.last_event_id:
            return caller.reattach(self.answer_id, self.last_event_id)
        return caller.chat(
            "orders", self.answer_id, TOKENS, Idempotency_Key=self.answer_id
        )

    def _url(self) -> str:
        url = self._cluster.routers[self._router % len(self._cluster.routers)].url
        return self._cluster.relay(url).url if self._router == 0 else url

    def _read(self) -> None:
        at = time.monotonic()
        for event in self.stream:
            text = event.text()
            self.last_event_id = self.stream.last_event_id
            self.texts.append(text)
            self.is_done = self.stream.is_done
            if text:
                self.longest_wait_s = max(self.longest_wait_s, time.monotonic() - at)
                at = time.monotonic()
            self._check_step()
            if self.is_done:
                return

    def _check_step(self) -> None:
        match self._step:
            case Step.FIRST_TOKEN if self.tokens >= 1:
                self.inject_fault()
            case Step.MIDDLE if self.tokens >= MIDDLE:
                self.inject_fault()
            case Step.LAST_TOKEN if self.tokens >= TOKENS - 1:
                self.inject_fault()
            case Step.CANCELLED if (
                self.tokens >= MIDDLE and not self._is_fault_injected
            ):
                url = self._cluster.routers[1].url
                Caller(url, self._key).cancel(self.answer_id)
                self.inject_fault()
            case Step.REATTACHED if (
                self.tokens >= MIDDLE and not self._is_fault_injected
            ):
                self.stream.close()
                self._router = 1
                self.stream = self._connect()
                self.inject_fault()
                raise OSError("reattached; reading continues on the new stream")

    def _reread(self, until: float) -> None:
        """Read the finished answer again from its start, from other routers."""
        while time.monotonic() < until:
            self._router += 1
            self.texts, self.is_done = [], False
            try:
                caller = Caller(self._url(), self._key, timeout_s=READ_TIMEOUT_S)
                self.stream = caller.reattach(self.answer_id, "")
                self._read()
                return
            except CallerError as exc:
                if not _may_retry(exc):
                    self.error = exc
                    return
            except _CONNECTION_ERRORS:
                pass
            eventlet.sleep(RETRY_INTERVAL_S)


class FaultMatrix:
    """Runs cells one after the other on one cluster, repaired after each cell."""

    def __init__(self) -> None:
        options = ClusterOptions(
            token_interval_ms=TOKEN_INTERVAL_MS, router_flags=("--drain-s=5",)
        )
        self.cluster = RelayedCluster(options)
        self._copies: list[int] = []

    def start(self) -> None:
        """Start the cluster."""
        self.cluster.start()

    def stop(self) -> None:
        """Stop the cluster and its relays."""
        self.cluster.stop()
        for relay in self.cluster.relays.values():
            relay.close()

    def run(self, fault: Fault, step: Step) -> Cell:
        """Run one cell, then repair the cluster."""
        self._copies = self._count_copies()
        inject_fault = _INJECTORS[fault]
        caller = MatrixCaller(self.cluster, lambda c: inject_fault(self, c), step)
        caller.run()
        cell = _evaluate(fault, step, caller)
        self._repair()
        return cell

    def busy_engine(self) -> Process:
        """Return an engine that runs a request; the first engine if none does."""
        for _ in range(10):
            for engine in self.cluster.engines[:CURRENT_VERSION_ENGINES]:
                if engine.popen.poll() is None and _running_requests(engine) > 0:
                    return engine
            eventlet.sleep(0.01)
        return self.cluster.engines[0]

    def owner(self, caller: MatrixCaller) -> Process:
        """Return the router to which the caller sent its request."""
        return self.cluster.routers[0]

    def holder(self) -> Process:
        """Return the router whose number of copies has grown most since the cell began.

        The first router, which owns the answer, is left out; if no number grows, it is
        the second router.
        """
        for _ in range(10):
            counts = self._count_copies()
            increases = [b - a for a, b in zip(self._copies, counts, strict=True)]
            if max(increases[1:]) > 0:
                return self.cluster.routers[1 + increases[1:].index(max(increases[1:]))]
            eventlet.sleep(0.01)
        return self.cluster.routers[1]

    def set_platform(self, *, down: bool) -> None:
        """Make the platform unavailable or available."""
        host = self.cluster.platform.url.removeprefix("http://")
        conn = http.client.HTTPConnection(host, timeout=5)
        conn.request("PUT", "/faults", json.dumps({"down": down}))
        conn.getresponse().read()
        conn.close()

    def _count_copies(self) -> list[int]:
        return [
            _fetch_status(router).get("copies", 0) for router in self.cluster.routers
        ]

    def _repair(self) -> None:
        cluster = self.cluster
        self.set_platform(down=False)
        for process in [*cluster.engines, *cluster.routers]:
            process.signal(signal.SIGCONT)
        dead_engines = [e for e in cluster.engines if e.popen.poll() is not None]
        for engine in dead_engines:
            i = cluster.engines.index(engine)
            cluster.engines[i] = cluster.start_engine(i)
            cluster.engines[i].wait_ready()
        if dead_engines:
            cluster.apply(cluster.config())
        for i, router in enumerate(cluster.routers):
            if router.popen.poll() is not None:
                cluster.routers[i] = cluster.start_router(i)
                cluster.routers[i].wait_ready()
        for router in cluster.routers:
            cluster.wait_serving(router)


def _kill_engine(matrix: FaultMatrix, caller: MatrixCaller) -> None:
    matrix.busy_engine().signal(signal.SIGKILL)


def _pause(process: Process) -> None:
    process.signal(signal.SIGSTOP)
    eventlet.spawn_after(PAUSE_S, process.signal, signal.SIGCONT)


def _silence_engine(matrix: FaultMatrix, caller: MatrixCaller) -> None:
    matrix.cluster.relay(matrix.busy_engine().url).silence()


def _kill_owner(matrix: FaultMatrix, caller: MatrixCaller) -> None:
    matrix.owner(caller).signal(signal.SIGKILL)


def _kill_holder(matrix: FaultMatrix, caller: MatrixCaller) -> None:
    matrix.holder().signal(signal.SIGKILL)


def _disconnect_caller(matrix: FaultMatrix, caller: MatrixCaller) -> None:
    if caller.stream is not None:
        caller.stream.close()
    raise OSError("connection closed by the fault")


def _silence_caller(matrix: FaultMatrix, caller: MatrixCaller) -> None:
    matrix.cluster.relay(matrix.owner(caller).url).silence()


def _inject_both(first, second):
    def inject_fault(matrix: FaultMatrix, caller: MatrixCaller) -> None:
        first(matrix, caller)
        second(matrix, caller)

    return inject_fault


def _take_platform_down(matrix: FaultMatrix, caller: MatrixCaller) -> None:
    matrix.set_platform(down=True)


_INJECTORS = {
    Fault.NONE: lambda matrix, caller: None,
    Fault.ENGINE_KILLED: _kill_engine,
    Fault.ENGINE_PAUSED: lambda matrix, caller: _pause(matrix.busy_engine()),
    Fault.ENGINE_CONNECTION_SILENT: _silence_engine,
    Fault.OWNER_KILLED: _kill_owner,
    Fault.OWNER_PAUSED: lambda matrix, caller: _pause(matrix.owner(caller)),
    Fault.HOLDER_KILLED: _kill_holder,
    Fault.CALLER_CUT: _disconnect_caller,
    Fault.CALLER_SILENT: _silence_caller,
    Fault.ENGINE_AND_OWNER_KILLED: _inject_both(_kill_engine, _kill_owner),
    Fault.ENGINE_AND_HOLDER_KILLED: _inject_both(_kill_engine, _kill_holder),
    Fault.OWNER_AND_HOLDER_KILLED: _inject_both(_kill_holder, _kill_owner),
    Fault.PLATFORM_DOWN: _take_platform_down,
    Fault.PLATFORM_DOWN_OWNER_KILLED: _inject_both(_take_platform_down, _kill_owner),
}


def _may_retry(exc: CallerError) -> bool:
    # The caller may retry on 429, on 503 and on an unreachable answer, but not on other
    # errors, such as 409. Errors within a stream have status 0.
    return exc.status in (429, 503) or exc.body.get("code") == "answer_unreachable"


def _evaluate(fault: Fault, step: Step, caller: MatrixCaller) -> Cell:
    broken = find_break("".join(caller.texts))
    if broken is not None:
        outcome, detail = Outcome.RED, f"wrong token at position {broken}"
    elif caller.is_intact():
        outcome, detail = Outcome.HELD, ""
    elif step is Step.CANCELLED and caller.is_done:
        outcome, detail = Outcome.HELD, f"cancelled after {caller.tokens} tokens"
    elif caller.error is not None and caller.error.body.get("code"):
        outcome, detail = Outcome.REFUSED, caller.error.body["code"]
    else:
        text = f"{caller.tokens} tokens, done={caller.is_done}, {caller.error}"
        outcome, detail = Outcome.RED, text
    return Cell(fault, step, outcome, detail, caller.longest_wait_s, caller.answer_id)


def _running_requests(engine: Process) -> float:
    try:
        return read_metrics(engine, timeout_s=1.0)[RUNNING_REQUESTS]
    except OSError:
        return 0.0


def _fetch_status(router: Process) -> dict:
    host = router.url.removeprefix("http://")
    try:
        conn = http.client.HTTPConnection(host, timeout=1)
        conn.request("GET", "/-/status")
        return json.loads(conn.getresponse().read())
    except (OSError, ValueError):
        return {}


def main() -> None:
    """Run the matrix and print it; exit with 1 if a cell is red."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--fault", choices=[f.value for f in Fault], action="append")
    parser.add_argument("--step", choices=[s.value for s in Step], action="append")
    arguments = parser.parse_args()
    faults = [f for f in Fault if not arguments.fault or f.value in arguments.fault]
    steps = [s for s in Step if not arguments.step or s.value in arguments.step]
    matrix = FaultMatrix()
    cells = []
    try:
        matrix.start()
        for fault in faults:
            for step in steps:
                cell = matrix.run(fault, step)
                cells.append(cell)
                _print_cell(cell)
                if cell.outcome is Outcome.RED:
                    _print_timeline(cell, matrix.cluster.log_dir)
    finally:
        matrix.stop()
    counts = collections.Counter(cell.outcome for cell in cells)
    print(", ".join(f"{counts[outcome]} {outcome.value}" for outcome in Outcome))
    sys.exit(EXIT_RED if counts[Outcome.RED] else 0)


def _print_cell(cell: Cell) -> None:
    print(
        f"{cell.fault.value:32} {cell.step.value:12} {cell.outcome.value:8}"
        f" longest wait {cell.longest_wait_s:5.2f} s  {cell.detail}",
        flush=True,
    )


def _print_timeline(cell: Cell, log_dir: pathlib.Path) -> None:
    sources = map(read_events, sorted(log_dir.glob("router-*.log")))
    event_filter = EventFilter(request=cell.answer_id)
    for line in text_lines(merge(sources, event_filter, limit=MAX_TIMELINE_EVENTS)):
        print(f"    {line}", flush=True)


if __name__ == "__main__":
    main()
