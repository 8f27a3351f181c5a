"""Counts whole answers around a stop while room is scarce, by the size of requests.

Three routers serve on a stand-in platform, and one is stopped while callers go on.
Prints each request without a whole answer: its size, when it was read and ended, and
what the replicas did for it. The exit status is 1 if one of them should have had an
answer.
"""

import itertools
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from boragedeck.patching import patch_all

patch_all()

import eventlet
import msgspec
import typer

from scripts.hardship import Hardship
from scripts.platform_cluster import NO_HARDSHIP, PlatformCluster
from scripts.platform_logs import read_lines
from scripts.scarce_caller import Connection, Habit, Request, SlowBody
from scripts.scarce_plays import PLAYS, Play, document
from soak.losses import Ending, crosses_close, is_excused
from standins.scarce_replica import Run, ScarceReplica

__all__ = ["Disturbance", "ScarceAnswers", "described", "end_of", "main"]

ZONES = "abc"
EVENTS = 40
EVENT_S = 0.1
TARGETS = tuple(number % len(ZONES) for number in range(40))
"""The routers of the callers."""
CALLER_S = 25.0
STOP_AT_S = 5.0
SENDING_ON_S = 6.0
"""How long after the SIGTERM callers send requests, in seconds."""
LEAVE_S = 3.0
APPLY_S = 2.0
PAUSE_S = 0.2
KEEP_SHARE = 0.7
CHUNKED_SHARE = 0.5
HABIT_SHARE = 0.6
MAX_PART_S = 0.02
CHANGES = 5
CHANGES_S = 1.5
LATE_BODY_S = 0.2
"""How long before or after the listener closes a late body ends, at most."""
STOP_LINES = ("Given up by the stop.", "Cut by the stop.")


class Disturbance(msgspec.Struct, frozen=True):
    """What happens beside the SIGTERM.

    Parameters
    ----------
    silence : bool
        Whether replicas fall silent for 1.0 to 1.3 s.
    changes : bool
        Whether the configuration changes five times within 1.5 s.
    hup : bool
        Whether all routers get SIGHUP.
    loss : bool
        Whether one replica is lost.
    again : bool
        Whether the router gets a second SIGTERM.
    """

    silence: bool = False
    changes: bool = False
    hup: bool = False
    loss: bool = False
    again: bool = False


class ScarceAnswers:
    """One play on a cluster of its own.

    Parameters
    ----------
    directory : Path
        Directory of the settings and log files.
    seed : int
        Seed of all draws.
    play : Play
        The play.
    build : Path, optional
        Source folder of the routers; this one by default.
    hardship : Hardship, optional
        What the routers bear; by default nothing.

    Attributes
    ----------
    stopped_at : float
        When the router got SIGTERM, in monotonic seconds.
    stopped : int
        The router that is stopped.
    requests : list of Request
        All requests.
    """

    def __init__(
        self,
        directory: Path,
        seed: int,
        play: Play,
        build: Path | None = None,
        hardship: Hardship = NO_HARDSHIP,
    ):
        self.stopped_at = float("inf")
        self.requests: list[Request] = []
        self._rng = random.Random(seed)
        self.stopped = self._rng.randrange(len(ZONES))
        self._directory = directory
        self._play = play
        self._replicas: list[ScarceReplica] = []
        self._numbers = itertools.count()
        self._versions = itertools.count(2)
        self._ends_at = 0.0
        self._cluster = PlatformCluster(directory, hardship)
        if build is not None:
            self._cluster.builds |= dict.fromkeys(range(len(ZONES)), build)
        self._put_document()
        for number in range(play.replicas):
            self._add_replica(number)
        for zone in ZONES:
            self._cluster.add_router(zone)

    def run(
        self,
        disturbance: Disturbance,
        stop_at_s: float = STOP_AT_S,
        sending_on_s: float = SENDING_ON_S,
        targets: Sequence[int] = TARGETS,
    ) -> None:
        """Send requests, stop a router, and wait until all requests have ended.

        Parameters
        ----------
        disturbance : Disturbance
            What happens beside the SIGTERM.
        stop_at_s : float
            How long requests are sent before the SIGTERM, in seconds.
        sending_on_s : float
            How long requests are sent after it, in seconds.
        targets : sequence of int
            The router of each caller.
        """
        eventlet.sleep(APPLY_S)
        self.stopped_at = time.monotonic() + stop_at_s
        self._ends_at = self.stopped_at + sending_on_s
        threads = [eventlet.spawn(self._call, router) for router in targets]
        eventlet.sleep(stop_at_s)
        self.stopped_at = time.monotonic()
        self._cluster.routers[self.stopped].terminate()
        self._disturb(disturbance)
        for thread in threads:
            thread.wait()

    def address(self, router: int) -> tuple[str, int]:
        """Return the address of a router for callers."""
        return self._cluster.front(router)

    def runs(self, name: str) -> list[Run]:
        """Return what the replicas did for a request."""
        return [
            run
            for replica in self._replicas
            for run in replica.work
            if run.request == name
        ]

    def stage_lines(self) -> dict[str, str]:
        """Return what the stopped router says that it ended, by request."""
        lines = read_lines(Path(self._directory, f"router-{self.stopped}.log"))
        return {
            line["request"]: f"{line['text']} {line.get('stage')}"
            for line in lines
            if line.get("text", "").endswith(STOP_LINES)
        }

    def stop(self) -> None:
        """Stop routers, replicas and the platform."""
        self._cluster.stop()

    def _put_document(self) -> None:
        self._cluster.put_document(document(next(self._versions), self._play))

    def _add_replica(self, number: int) -> None:
        tokens = self._play.own_tokens
        replica = ScarceReplica(f"engine-{number}", EVENTS, EVENT_S, tokens)
        self._cluster.add_replica(replica, "engines", ZONES[number % len(ZONES)])
        self._replicas.append(replica)
        if self._play.receive_bytes:
            _, listener, _ = self._cluster.engines[replica.name]
            option = eventlet.green.socket.SO_RCVBUF
            size = self._play.receive_bytes
            listener.setsockopt(eventlet.green.socket.SOL_SOCKET, option, size)

    def _disturb(self, disturbance: Disturbance) -> None:
        if disturbance.silence:
            eventlet.spawn_after(self._rng.uniform(0.0, 4.0), self._fall_silent)
        if disturbance.loss:
            eventlet.spawn_after(self._rng.uniform(0.5, 4.0), self._lose_replica)
        if disturbance.hup:
            for router in self._cluster.routers:
                router.send_signal(signal.SIGHUP)
        if disturbance.again:
            router = self._cluster.routers[self.stopped]
            eventlet.spawn_after(self._rng.uniform(0.5, 3.0), router.terminate)
        if disturbance.changes:
            for _ in range(CHANGES):
                eventlet.sleep(CHANGES_S / CHANGES)
                self._put_document()

    def _fall_silent(self) -> None:
        names = sorted(self._cluster.engines)
        self._cluster.hush_engines(names, self._rng.uniform(1.0, 1.3))

    def _lose_replica(self) -> None:
        self._cluster.crash_engine(self._rng.choice(sorted(self._cluster.engines)))

    def _call(self, router: int) -> None:
        rng = random.Random(self._rng.random())
        conn = None
        while time.monotonic() < self._ends_at:
            req = self._request(rng, router)
            is_behind = conn is not None and conn.is_open and conn.has_served
            if req.habit is not Habit.BEHIND or not is_behind:
                eventlet.sleep(rng.uniform(0.02, PAUSE_S))
            if conn is not None and not (conn.is_open and _is_kept(rng, req)):
                conn.close()
                conn = None
            try:
                conn = conn or self._connect(req)
            except OSError:
                # The stopped router doesn't listen; nothing was sent.
                continue
            self.requests.append(req)
            conn.exchange(req, self._body(rng, req))
        if conn is not None:
            conn.close()

    def _connect(self, req: Request) -> Connection:
        is_small = req.habit is Habit.SLOW_READER
        return Connection(self.address(req.router), CALLER_S + 2.0, is_small=is_small)

    def _request(self, rng: random.Random, router: int) -> Request:
        size = rng.choice(self._play.sizes)
        tokens, body_bytes = size.draw(rng)
        has_habit = self._play.has_habits and rng.random() < HABIT_SHARE
        habit = rng.choice(list(Habit)) if has_habit else Habit.PLAIN
        return Request(
            name=f"id-{next(self._numbers)}",
            router=router,
            size=size.name,
            tokens=tokens,
            body_bytes=body_bytes,
            is_chunked=rng.random() < CHUNKED_SHARE,
            habit=habit,
            caller_s=CALLER_S,
        )

    def _body(self, rng: random.Random, req: Request) -> SlowBody:
        part_s = rng.uniform(0.0, MAX_PART_S) * req.is_chunked
        if req.habit is not Habit.LATE_BODY:
            return SlowBody(part_s)
        closes_at = self.stopped_at + LEAVE_S
        return SlowBody(part_s, closes_at + rng.uniform(-LATE_BODY_S, LATE_BODY_S))


def end_of(req: Request, runs: list[Run], stopped_at: float) -> str:
    """Return how a request ended; in capitals if it shouldn't have.

    Parameters
    ----------
    req : Request
        The request.
    runs : list of Run
        What the replicas did for it.
    stopped_at : float
        When its router got SIGTERM, in monotonic seconds; infinite if it didn't.
    """
    if req.is_complete:
        if req.status != 200:
            return f"answered {req.status}"
        return "whole" if req.events == list(range(1, EVENTS + 1)) else "WRONG"
    if req.habit is Habit.HALF_CLOSES:
        return "half closed"
    sent_whole = req.last_sent or float("inf")
    ending = Ending(req.sent, sent_whole, sent_whole + req.caller_s, req.ended)
    if not req.status and crosses_close(ending, is_passed_on=bool(runs)):
        return "crossed"
    if is_excused(ending, runs, [stopped_at]):
        return "excused"
    return "CUT" if req.status else "UNANSWERED"


def main(
    play: str = "mixed",
    seed: int = 1,
    build: Path | None = None,
    logs: Path | None = None,
    silence: bool = False,
    changes: bool = False,
    hup: bool = False,
    loss: bool = False,
    again: bool = False,
    delay_ms: int = 0,
    busy: int = 0,
) -> None:
    """Run one play and print how the requests ended, by size.

    Parameters
    ----------
    play : str
        Name of the play; see `scarce_plays`.
    seed : int
        Seed of all draws.
    build : Path, optional
        Source folder of the routers; this one by default.
    logs : Path, optional
        An existing directory in which the routers' logs stay.
    silence, changes, hup, loss, again : bool
        What happens beside the SIGTERM; see `Disturbance`.
    delay_ms, busy : int
        What the routers bear; see `Hardship`.
    """
    hardship = Hardship(delay_ms / 1e3, busy)
    disturbance = Disturbance(silence, changes, hup, loss, again)
    with tempfile.TemporaryDirectory() as directory:
        where = logs or Path(directory)
        check = ScarceAnswers(where, seed, PLAYS[play], build, hardship)
        try:
            check.run(disturbance)
            counts, faults = _counted(check)
        finally:
            check.stop()
    print(f"{play}, seed {seed}, {disturbance}, {hardship}")
    print(f"  {len(check.requests)} requests")
    for (size, where, end), count in sorted(counts.items()):
        print(f"  {size}, {where}: {end} {count}")
    for line in faults:
        print(f"  {line}")
    sys.exit(1 if any(end.isupper() for _, _, end in counts) else 0)


def _counted(check: ScarceAnswers) -> tuple[Counter, list[str]]:
    """Return the ends by size, and a line for each answer that isn't whole."""
    counts: Counter = Counter()
    lines = []
    stages = check.stage_lines()
    for req in check.requests:
        is_stopped = req.router == check.stopped
        runs = check.runs(req.name)
        stopped_at = check.stopped_at if is_stopped else float("inf")
        end = end_of(req, runs, stopped_at)
        counts[req.size, "stopped" if is_stopped else "others", end] += 1
        if not req.is_complete:
            stage = stages.get(req.name, "")
            lines.append(f"{end}: {described(req, runs, check.stopped_at)} {stage}")
    return counts, lines


def described(req: Request, runs: list[Run], stopped_at: float) -> str:
    """Return a request and its end, with times relative to the SIGTERM.

    Parameters
    ----------
    req : Request
        The request.
    runs : list of Run
        What the replicas did for it.
    stopped_at : float
        When a router got SIGTERM, in monotonic seconds.
    """

    def relative(at: float) -> str:
        return f"{at - stopped_at:+.2f}" if at not in (0.0, float("inf")) else "-"

    worked = [
        f"{relative(run.arrived)}/{relative(run.began)}/{relative(run.ended)}"
        for run in runs
    ]
    return (
        f"{req.name} router {req.router} {req.size} {req.body_bytes} B"
        f" {req.tokens} tokens {'chunked' if req.is_chunked else 'length'}"
        f" {'kept' if req.is_kept else 'new'} {req.habit.value};"
        f" sent {relative(req.sent)} read {relative(req.last_sent)}"
        f" ended {relative(req.ended)} status {req.status}"
        f" events {len(req.events)} runs {worked or 'none'} {req.detail}"
    )


def _is_kept(rng: random.Random, req: Request) -> bool:
    is_new = req.habit is Habit.SLOW_READER or rng.random() > KEEP_SHARE
    return req.habit is Habit.BEHIND or not is_new


if __name__ == "__main__":
    typer.run(main)
