"""Compares what callers of streams receive with what the runs of replicas wrote.

One router in this process, on loopback sockets, with replicas that fall silent together
and then release what they have made, in one write or in parts. Each stream is silent
long enough for a second attempt. `--stop` gives up what hasn't begun whenever the
replicas go on, as the end of a stop does. The time of a suspicion is made shorter.

    python -m scripts.piece_order --streams 3000 --stop
"""

import collections
import random

import eventlet
import msgspec
import typer
from eventlet.green import socket

from boragedeck.request import stream_liveness
from boragedeck.request.stream_liveness import StreamLivenessMonitor
from boragedeck.version.routing import RelayPool
from tests.support.cut_fleet import Cut, CutFleet
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    answer,
    head_of,
    read_response,
    report_model,
    routing_table,
    send_request,
    stream_rule,
)

__all__ = ["PieceOrderOptions", "PieceOrderPlay", "main"]

AT_ONCE = 150
REPLICAS = 6
MOST_PIECES = 6
FIRST_WAIT_S = 0.02
GAP_S = 0.004
SUSPECT_S = 0.05
SILENCE_S = 0.2, 0.5
PAUSE_S = 0.07, 0.23
STOP_S = -0.01, 0.03
"""When the stop comes, after the end of a silence, in seconds."""
CHANGE_S = 0.05, 0.25
KEPT_SHARE = 0.5
MOST_ATTEMPTS = 4
CALLER_MS = 5_000
ENGINES = RelayPool("engines", 100, ENGINE)


class PieceOrderOptions(msgspec.Struct, frozen=True):
    """What is played; see `main`."""

    streams: int
    seed: int
    gateways: int
    stop: bool
    changes: bool
    cut: float
    fail: float
    late: float


class PieceOrderPlay:
    """One play.

    Parameters
    ----------
    options : PieceOrderOptions
        What is played.

    Attributes
    ----------
    counts : Counter
        What has happened, and how often.
    faults : list of str
        What callers have received that no run of a replica allows.
    """

    def __init__(self, options: PieceOrderOptions):
        self.counts: collections.Counter[str] = collections.Counter()
        self.faults: list[str] = []
        self._options = options
        self._rng = random.Random(options.seed)
        # What each run has written: the name of its stream, and its events.
        self._runs: list[tuple[bytes, dict[int, bytes]]] = []
        self._is_silent = False
        self._replicas = [
            ScriptedReplica(f"r-{number}", self._answer, may_repeat=self._is_late)
            for number in range(REPLICAS)
        ]
        self._router = self._make_router()
        self._router.parts.retries.take = lambda pool: True
        self._numbers = iter(range(options.streams))

    def run(self) -> None:
        """Play until all streams have been asked for."""
        threads = [eventlet.spawn(self._silences)]
        if self._options.changes:
            threads.append(eventlet.spawn(self._changes))
        callers = [eventlet.spawn(self._call) for _ in range(AT_ONCE)]
        for caller in callers:
            caller.wait()
        for thread in threads:
            thread.kill()

    def _make_router(self) -> RelayHarness:
        if not self._options.gateways:
            router = RelayHarness(_rule(), pool=ENGINES)
            for number, replica in enumerate(self._replicas):
                router.add(replica, domain="abc"[number % 3])
            return router
        count = 1 + self._options.gateways
        fleet = CutFleet(count, self._replicas, rule=_rule(), pool=ENGINES)
        fleet.cut(Cut.REFUSE, 0)
        router = fleet.routers[0]
        for replica in self._replicas:
            router.paths._start_check(replica.address, frozenset())
        eventlet.sleep(1.0)
        return router

    def _is_late(self) -> bool:
        return self._rng.random() < self._options.late

    def _silences(self) -> None:
        rng = self._rng
        while True:
            eventlet.sleep(rng.uniform(*PAUSE_S))
            self._is_silent = True
            self.counts["silences"] += 1
            silence_s = rng.uniform(*SILENCE_S)
            if self._options.stop:
                eventlet.spawn_after(silence_s + rng.uniform(*STOP_S), self._stop)
            eventlet.sleep(silence_s)
            self._is_silent = False

    def _stop(self) -> None:
        requests = self._router.parts.open_requests
        self.counts["open at a stop"] += sum(requests.counts().values())
        requests.end_unbegun(0.0)

    def _changes(self) -> None:
        version = 1
        while True:
            eventlet.sleep(self._rng.uniform(*CHANGE_S))
            version += 1
            table = routing_table(_rule(self._rng.choice((1.5, 3.0, 6.0))), ENGINES)
            self._router.table = msgspec.structs.replace(table, version=version)
            self.counts["changes"] += 1

    def _wait(self) -> None:
        while self._is_silent:
            eventlet.sleep(0.003)

    def _answer(self, sock, req) -> bool:
        self._wait()
        if b"request-id" not in req.headers:
            return report_model(sock, req)
        if self._rng.random() < self._options.fail:
            return answer(b"failure", 500)(sock, req)
        return self._stream(sock, req)

    def _stream(self, sock, req) -> bool:
        """Stream the events that a request misses; return whether it is whole."""
        rng, name = self._rng, req.headers[b"request-id"]
        run, wrote = len(self._runs), {}
        self._runs.append((name, wrote))
        last = int(req.headers[b"pieces"])
        first = int(req.headers.get(b"last-event-id", 0)) + 1
        is_cut = rng.random() < self._options.cut
        cut_at = rng.randint(first, last) if is_cut and first <= last else None
        eventlet.sleep(rng.uniform(0.0, FIRST_WAIT_S))
        self._wait()
        out = head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n"
        for number in range(first, last + 1):
            text = b"id: %d\ndata: run %d of %s\n\n" % (number, run, name)
            wrote[number] = text
            if number == cut_at:
                text = text[: rng.randrange(len(text))]
            out += self._chunks(text)
            if number == cut_at:
                sock.sendall(out)
                self.counts["cut"] += 1
                return False
            if not self._is_silent and rng.random() < 0.7:
                self._send(sock, out)
                out = b""
            eventlet.sleep(rng.uniform(0.0, 2 * GAP_S))
        self._wait()
        sock.sendall(out + b"0\r\n\r\n")
        return True

    def _chunks(self, data: bytes) -> bytes:
        """Return data in chunks that don't end where events end."""
        chunks = b""
        while data:
            size = self._rng.choice((len(data), self._rng.randint(1, len(data))))
            chunks += b"%x\r\n%s\r\n" % (size, data[:size])
            data = data[size:]
        return chunks

    def _send(self, sock, data: bytes) -> None:
        size = self._rng.randint(0, len(data))
        sock.sendall(data[:size])
        eventlet.sleep(self._rng.choice((0.0, 0.0, 0.001)))
        sock.sendall(data[size:])

    def _call(self) -> None:
        """Ask for streams, on a kept connection for a share of them."""
        sock = None
        for number in self._numbers:
            last, position = self._rng.randint(1, MOST_PIECES), 0
            for _ in range(MOST_ATTEMPTS):
                if sock is None or self._rng.random() > KEPT_SHARE:
                    sock = self._router.connect()
                response = self._fetch(sock, b"s-%d" % number, last, position)
                if response is None or not response.is_complete:
                    sock = None
                if response is None or response.status != 200:
                    continue
                position = self._check(b"s-%d" % number, response, position, last)
                if response.is_complete:
                    break

    def _fetch(self, sock: socket.socket, name: bytes, last: int, position: int):
        lines = [b"Token-Counts: 100,24", b"Pieces: %d" % last]
        if position:
            lines.append(b"Last-Event-Id: %d" % position)
        try:
            send_request(sock, *lines, name=name, ms=CALLER_MS)
            response = read_response(sock, 4 * CALLER_MS / 1e3)
        except OSError:
            self.counts["no answer"] += 1
            return None
        end = "whole" if response.is_complete else "cut"
        self.counts[f"status {response.status}, {end}"] += 1
        return response

    def _check(self, name: bytes, response, position: int, last: int) -> int:
        """Compare a response with its runs; return the number of its last event."""
        *found, rest = response.body.split(b"\n\n")
        for data in found:
            number = int(data[4:].split(b"\n")[0])
            run = int(data.split(b" ")[3])
            if number != position + 1:
                self._note(name, f"{number} came where {position + 1} was due")
            of, wrote = self._runs[run]
            if of != name or wrote.get(number) != data + b"\n\n":
                self._note(name, f"{number} isn't what its run wrote")
            position = number
        if rest:
            self._note(name, "a part of an event")
        if response.is_complete and position != last:
            self._note(name, f"complete at {position} of {last}")
        return position

    def _note(self, name: bytes, text: str) -> None:
        self.faults.append(f"{name.decode()}: {text}")


def _rule(timeout_s: float = 6.0):
    return stream_rule(timeout_s=timeout_s, goal_s=0.3, gap_goal_s=0.1)


def main(
    streams: int = 3000,
    seed: int = 1,
    gateways: int = 0,
    stop: bool = False,
    changes: bool = False,
    cut: float = 0.0,
    fail: float = 0.0,
    late: float = 0.0,
) -> None:
    """Play, and print what was found; the exit status is 1 if there is a fault.

    Parameters
    ----------
    streams : int
        Number of streams.
    seed : int
        Seed of the draws.
    gateways : int
        Number of routers through which all requests go; 0 if they go directly.
    stop : bool
        Whether what hasn't begun is given up whenever the replicas go on.
    changes : bool
        Whether the routes change meanwhile.
    cut, fail, late : float
        Shares of the runs that end in the middle of an event, of the requests that
        are answered with 500, and of the answers that are sent once more.
    """
    for name in ("MIN_SUSPECT_S", "PROBE_TIMEOUT_S", "REPORT_INTERVAL_S"):
        setattr(stream_liveness, name, SUSPECT_S)
    options = PieceOrderOptions(streams, seed, gateways, stop, changes, cut, fail, late)
    play = PieceOrderPlay(options)
    note_silent = StreamLivenessMonitor._note_silent

    def count_silent(*args) -> None:
        play.counts["reports of a silence"] += 1
        note_silent(*args)

    StreamLivenessMonitor._note_silent = count_silent
    play.run()
    for text, count in sorted(play.counts.items()):
        print(f"{count:8} {text}")
    print(f"{len(play._runs):8} runs for {streams} streams")
    print(*(play.faults or ["no fault"]), sep="\n")
    raise typer.Exit(int(bool(play.faults)))


if __name__ == "__main__":
    typer.run(main)
