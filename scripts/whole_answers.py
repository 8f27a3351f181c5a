"""Counts whole answers while routers are stopped and their configuration changes.

Three routers serve on a stand-in platform while replicas fall silent, the operators'
table or the settings change, and two routers are replaced, one a while after the
other. Callers read streams and make calls, with bodies in chunks that may take a while
and with a length, on kept connections and on new ones; some streams take as long as
their callers wait. The exit status is 1 if an answer that should be whole isn't, or if
one was cut before its caller's time.
"""

import http.client
import itertools
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from boragedeck.patching import patch_all

patch_all()

import eventlet
import msgspec
import typer

from scripts.hardship import Hardship
from scripts.platform_cluster import NO_HARDSHIP, PlatformCluster
from scripts.table_changes import (
    CALLS,
    DENIALS,
    ENGINES,
    NEW_VERSION,
    SHORT_TIMEOUT_MS,
    SPARES,
    Change,
    changed,
)
from soak.losses import Ending, crosses_close, is_excused
from standins.relay_replica import RelayReplica, RelayRun

__all__ = ["Play", "Request", "WholeAnswers", "main", "time_over"]

ZONES = "abc"
EVENTS = 50
EVENT_S = 0.08
CALL_HALF_S = 0.15
CHANGE_AT_S = 1.2
SILENCE_AT_S = 1.7
SENDING_S = 5.5
SECOND_STOP_S = 4.5
"""How long after the first router a second one is stopped, in seconds."""
STREAM_CALLERS = 24
CALL_CALLERS = 12
STREAM_ROUTES = ("stream", "resume")
CALL_ROUTES = ("once", "again")
ROUTES = STREAM_ROUTES, CALL_ROUTES
KEEP_SHARE = 0.7
"""Share of the requests that are sent on a connection that was kept."""
CHUNKED_SHARE = 0.5
BODY_PARTS = (b"a" * 30, b"b" * 30, b"c" * 30, b"d" * 30, b"e" * 30)
MAX_BODY_S = 1.5
"""Longest time from the first part of a body in chunks to its last one, in seconds."""
DEADLINE_S = 11.0
SHORT_DEADLINES_S = 3.0, 5.0
SHORT_SHARE = 0.3
"""Share of the streams whose callers wait for about as long as they take."""
FINAL_ANSWER_S = 0.1
"""How long before its caller's time a failure may be answered, at most."""
APPLY_S = 2.0
ROLLOUT_S = 4.0
PAUSE_S = 0.2
"""Longest pause of a caller, below the lowered idle timeout."""
SHOWN = 12


class Play(msgspec.Struct, frozen=True):
    """One play.

    Parameters
    ----------
    change : Change
        What is changed.
    silent_share : float
        Share of the replicas that fall silent after the change.
    has_stop : bool
        Whether two routers are told to stop, the first within the silence if there is
        one.
    has_hup : bool
        Whether the routers that aren't stopped first get SIGHUP then.
    """

    change: Change
    silent_share: float
    has_stop: bool
    has_hup: bool = False

    def __str__(self) -> str:
        silence = (
            f"{self.silent_share:.0%} silent" if self.silent_share else "no silence"
        )
        signals = [
            name
            for name, is_sent in (("SIGTERM", self.has_stop), ("SIGHUP", self.has_hup))
            if is_sent
        ]
        return f"{self.change.value}, {silence}, {' and '.join(signals) or '-'}"


class Request(msgspec.Struct):
    """A request and its end.

    Parameters
    ----------
    name : str
        Its id.
    router : int
        The router that it is sent to.
    route : str
        The route.
    is_chunked : bool
        Whether its body is sent in chunks.
    is_kept : bool
        Whether its connection has served before.
    sent, ended, over : float
        When it was sent, ended, and when its time was over, in monotonic seconds.
    caller_s : float
        How long its caller waits, in seconds.
    part_s : float
        The pause before each part of a body in chunks, in seconds.
    last_sent : float
        When its last byte was about to be sent, in monotonic seconds.
    status : int
        The answer's status; 0 if there is none.
    is_whole : bool
        Whether the whole answer was read.
    detail : str
        The error.
    """

    name: str
    router: int
    route: str
    is_chunked: bool
    is_kept: bool
    sent: float
    caller_s: float = DEADLINE_S
    part_s: float = 0.0
    last_sent: float = 0.0
    ended: float = 0.0
    over: float = 0.0
    status: int = 0
    is_whole: bool = False
    detail: str = ""


class WholeAnswers:
    """Plays stops, changes and silences on one cluster.

    Parameters
    ----------
    directory : Path
        Directory of the settings and log files.
    seed : int
        Seed of all draws.
    callers : tuple of int
        Number of callers that read streams, and that make calls.
    build : Path, optional
        Source folder of the routers; this one by default.
    hardship : Hardship, optional
        What the routers bear; by default nothing.

    Attributes
    ----------
    faults : list of tuple of (Play, Request)
        The requests without an answer that they should have had.
    """

    def __init__(
        self,
        directory: Path,
        seed: int,
        callers: tuple[int, int] = (STREAM_CALLERS, CALL_CALLERS),
        build: Path | None = None,
        hardship: Hardship = NO_HARDSHIP,
    ):
        self.faults: list[tuple[Play, Request]] = []
        self._rng = random.Random(seed)
        self._callers = callers
        self._build = build
        self._cluster = PlatformCluster(directory, hardship)
        if build is not None:
            self._cluster.builds |= dict.fromkeys(range(len(ZONES)), build)
        self._versions = itertools.count(2)
        self._numbers = itertools.count()
        self._stops: dict[int, float] = {}
        self._changed_at = float("inf")
        self._sending_until = 0.0
        self._add_replicas()
        self._cluster.put_document(changed(next(self._versions), Change.NONE))
        for zone in ZONES:
            self._cluster.add_router(zone)

    def run(self, play: Play) -> Counter:
        """Run one play; return how many requests ended how, by route."""
        self._prepare(play)
        began = time.monotonic()
        extra_s = SECOND_STOP_S if play.has_stop else 0.0
        self._sending_until = began + SENDING_S + extra_s
        requests: list[Request] = []
        threads = [
            eventlet.spawn(self._send_requests, number, routes, requests)
            for callers, routes in zip(self._callers, ROUTES, strict=True)
            for number in range(callers)
        ]
        eventlet.sleep(CHANGE_AT_S)
        self._make_change(play)
        eventlet.sleep(SILENCE_AT_S - CHANGE_AT_S)
        silence_s = self._rng.uniform(1.0, 1.3)
        self._fall_silent(play, silence_s)
        eventlet.sleep(self._rng.uniform(0.0, silence_s))
        first, second, _ = self._rng.sample(range(3), 3)
        if play.has_stop:
            threads.append(eventlet.spawn(self._replace, first))
        if play.has_hup:
            self._hang_up(first)
        if play.has_stop:
            eventlet.sleep(SECOND_STOP_S)
            threads.append(eventlet.spawn(self._replace, second))
        for thread in threads:
            thread.wait()
        counts = Counter()
        for request in requests:
            verdict = self._verdict(play, request)
            counts[request.route, verdict] += 1
            if verdict.isupper():
                self.faults.append((play, request))
        return counts

    def stop(self) -> None:
        """Stop routers, replicas and the platform."""
        self._cluster.stop()

    def _add_replicas(self) -> None:
        for number in range(10):
            service = ENGINES if number < 7 else SPARES
            self._add_engine(f"{service}-{number}", service, "v1")
        for number, service in enumerate((CALLS, CALLS, CALLS, "others", "others")):
            replica = RelayReplica(
                f"{service}-{number}", delay_s=CALL_HALF_S, is_chunked=number % 2 == 1
            )
            self._cluster.add_replica(replica, service, ZONES[number % 3])

    def _add_engine(self, name: str, service: str, version: str) -> None:
        replica = RelayReplica(name, EVENTS, EVENT_S, version=version)
        zone = ZONES[len(self._cluster.engines) % 3]
        self._cluster.add_replica(replica, service, zone)

    def _prepare(self, play: Play) -> None:
        self._cluster.put_document(changed(next(self._versions), Change.NONE))
        self._changed_at = float("inf")
        self._stops.clear()
        for number in range(len(ZONES)):
            self._cluster.wait_ready(number)
        if play.change is Change.ROLLOUT:
            for number in range(3):
                self._add_engine(f"new-{number}", ENGINES, NEW_VERSION)
        eventlet.sleep(APPLY_S)

    def _make_change(self, play: Play) -> None:
        self._changed_at = time.monotonic()
        match play.change:
            case Change.NONE:
                return
            case Change.ROLLOUT:
                self._cluster.order_version(NEW_VERSION, ROLLOUT_S)
            case Change.SETTINGS:
                for number, router in enumerate(self._cluster.routers):
                    bounds = {"retryBudgetRatio": 0.5, "contactMs": 2_500}
                    self._cluster.write_settings(number, bounds)
                    router.send_signal(signal.SIGHUP)
            case change:
                cfg = changed(next(self._versions), change)
                self._cluster.put_document(cfg)

    def _fall_silent(self, play: Play, seconds: float) -> None:
        names = sorted(self._cluster.engines)
        silent = self._rng.sample(names, round(play.silent_share * len(names)))
        self._cluster.hush_engines(silent, seconds)

    def _replace(self, number: int) -> None:
        self._stops[number] = time.monotonic()
        self._cluster.replace_routers([number], self._build)

    def _hang_up(self, stopped: int) -> None:
        """Let the routers that aren't stopped read their settings anew."""
        for number, router in enumerate(self._cluster.routers):
            if number != stopped:
                router.send_signal(signal.SIGHUP)

    def _send_requests(self, number: int, routes, requests: list[Request]) -> None:
        router = number % len(ZONES)
        rng = random.Random(self._rng.random())
        host, port = self._cluster.front(router)
        conn = http.client.HTTPConnection(host, int(port), timeout=DEADLINE_S + 2.0)
        while time.monotonic() < self._sending_until:
            eventlet.sleep(rng.uniform(0.02, PAUSE_S))
            if rng.random() > KEEP_SHARE:
                conn.close()
            is_kept = conn.sock is not None
            try:
                if not is_kept:
                    conn.connect()
            except OSError:
                # The router is being replaced; nothing was sent.
                continue
            req = self._request(rng, router, rng.choice(routes), is_kept=is_kept)
            requests.append(req)
            self._send(conn, req)
            req.ended = time.monotonic()
        conn.close()

    def _request(
        self, rng: random.Random, router: int, route: str, *, is_kept: bool
    ) -> Request:
        is_chunked = rng.random() < CHUNKED_SHARE
        is_short = route in STREAM_ROUTES and rng.random() < SHORT_SHARE
        return Request(
            name=f"id-{next(self._numbers)}",
            router=router,
            route=route,
            is_chunked=is_chunked,
            is_kept=is_kept,
            sent=time.monotonic(),
            caller_s=rng.uniform(*SHORT_DEADLINES_S) if is_short else DEADLINE_S,
            part_s=rng.uniform(0.0, MAX_BODY_S / len(BODY_PARTS)) * is_chunked,
            last_sent=time.monotonic(),
        )

    def _send(self, conn: http.client.HTTPConnection, req: Request) -> None:
        headers = {
            "Host": "demo.example",
            "Api-Key": "demo-key",
            "Deadline-Ms": str(int(req.caller_s * 1e3)),
            "Request-Id": req.name,
        }
        if req.route in STREAM_ROUTES:
            headers |= {"Token-Counts": f"100,{EVENTS}", "Model": "m"}
        body = _parts(req) if req.is_chunked else b"".join(BODY_PARTS)
        try:
            conn.request(
                "POST",
                f"/{req.route}/x",
                body,
                headers,
                encode_chunked=req.is_chunked,
            )
            answer = conn.getresponse()
            req.status = answer.status
            req.is_whole = _is_whole(req, answer.read())
        except (OSError, http.client.HTTPException) as exc:
            req.detail = repr(exc)[:60]
            conn.close()

    def _verdict(self, play: Play, req: Request) -> str:
        """Return how a request ended; in capitals if it shouldn't have."""
        runs = self._runs(req.name)
        if len(runs) > 1 and not self._may_run_again(play, req):
            return "TWICE"
        match req.status:
            case 200 if req.is_whole:
                return "whole"
            case 429 | 503:
                has_run = runs and req.route not in ("again", "resume")
                return "REFUSED AND RAN" if has_run else "refused"
            case status if status in DENIALS.get(play.change, ()):
                return "denied" if req.ended > self._changed_at else "DENIED"
        ending = self._ending(play, req)
        stops = [self._stops[req.router]] if req.router in self._stops else []
        if is_excused(ending, runs, stops):
            return "excused"
        if not req.status:
            is_crossing = crosses_close(ending, is_passed_on=bool(runs))
            return "crossed" if is_crossing else "CUT UNANSWERED"
        return "CUT" if req.status == http.HTTPStatus.OK else "FAILED"

    def _may_run_again(self, play: Play, req: Request) -> bool:
        """Return whether a table that may be in force lets a request run twice."""
        if play.change is not Change.ATTEMPTS:
            return req.route in ("again", "resume")
        match req.route:
            case "stream":
                return req.ended > self._changed_at
            case "resume":
                return req.sent <= self._changed_at + APPLY_S
        return req.route == "again"

    def _runs(self, name: str) -> list[RelayRun]:
        return [
            run
            for replica, _, _ in self._cluster.engines.values()
            for run in replica.runs
            if run.request_id == name
        ]

    def _ending(self, play: Play, req: Request) -> Ending:
        # The table that is in force when the whole body has arrived decides.
        is_lowered = play.change is Change.TIMEOUT and req.last_sent > self._changed_at
        route_s = SHORT_TIMEOUT_MS / 1e3 if is_lowered else float("inf")
        req.over = time_over(req, route_s)
        # Stricter than the rule: a close is seen when the second part is sent.
        sent_whole = req.sent + req.part_s
        return Ending(req.sent, sent_whole, req.over, req.ended)


def _parts(req: Request) -> Iterator[bytes]:
    for part in BODY_PARTS:
        eventlet.sleep(req.part_s)
        yield part
    req.last_sent = time.monotonic()


def time_over(req: Request, route_s: float = float("inf")) -> float:
    """Return from when on a request may have no whole answer, in monotonic seconds.

    Parameters
    ----------
    req : Request
        The request, with its end.
    route_s : float, optional
        The route's timeout in seconds, if it may be shorter than the caller's.

    Notes
    -----
    An answer that has begun goes on for that time after the last byte. The final
    answer of a router is due before that time, counted from the first byte.
    """
    limit_s = min(route_s, int(req.caller_s * 1e3) / 1e3)
    if req.status in (0, http.HTTPStatus.OK):
        return req.last_sent + limit_s
    return req.sent + limit_s - FINAL_ANSWER_S


def _is_whole(req: Request, body: bytes) -> bool:
    if req.route in CALL_ROUTES:
        return body.startswith(b"served by ")
    pieces = (b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
    return body == b"".join(pieces)


def _plays(rng: random.Random, changes: list[Change]) -> list[Play]:
    plays = [
        Play(change, share, has_stop, has_hup)
        for change in changes
        for share in (0.0, 0.6, 1.0)
        for has_stop in (False, True)
        for has_hup in (False, True)
    ]
    # The new version stays, so that its order is played last.
    rng.shuffle(plays)
    return sorted(plays, key=lambda play: play.change is Change.ROLLOUT)


def main(
    seed: int = 1,
    plays: int = 0,
    only: str = "",
    logs: Path | None = None,
    build: Path | None = None,
    delay_ms: int = 0,
    busy: int = 0,
) -> None:
    """Play and print the counts.

    Parameters
    ----------
    seed : int
        Seed of all draws.
    plays : int
        Number of plays; 0 for all.
    only : str
        Names of the changes that are played, with commas between; all if empty.
    logs : Path, optional
        An existing directory in which the routers' logs stay.
    build : Path, optional
        Source folder of the routers; this one by default.
    delay_ms, busy : int
        What the routers bear; see `Hardship`.
    """
    hardship = Hardship(delay_ms / 1e3, busy)
    names = only.split(",") if only else list(Change.__members__)
    changes = [Change[name] for name in names]
    total: Counter = Counter()
    with tempfile.TemporaryDirectory() as directory:
        where = logs or Path(directory)
        check = WholeAnswers(where, seed, build=build, hardship=hardship)
        try:
            for play in _plays(random.Random(seed), changes)[: plays or None]:
                counts = check.run(play)
                total += counts
                print(f"{play}: {_text(counts)}", flush=True)
        finally:
            check.stop()
    print(f"All: {_text(total)}")
    for is_chunked in (False, True):
        print(_cuts_text([req for _, req in check.faults], is_chunked=is_chunked))
    for play, req in check.faults[:SHOWN]:
        print(play, req)
    sys.exit(1 if check.faults else 0)


def _text(counts: Counter) -> str:
    return ", ".join(
        f"{route} {verdict} {count}"
        for (route, verdict), count in sorted(counts.items())
    )


def _cuts_text(requests: list[Request], *, is_chunked: bool) -> str:
    """Return how long before its caller's time an answer was cut."""
    early_s = sorted(
        req.over - req.ended
        for req in requests
        if req.status == http.HTTPStatus.OK and req.is_chunked is is_chunked
    )
    name = "in chunks" if is_chunked else "with a length"
    if not early_s:
        return f"Body {name}: none cut"
    span = f"{early_s[0]:.3f} to {early_s[-1]:.3f} s"
    return f"Body {name}: {len(early_s)} cut, {span} before the time was over"


if __name__ == "__main__":
    typer.run(main)
