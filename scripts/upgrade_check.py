"""Replaces the routers of a fleet by those of another build, and checks promises.

Six routers serve on a stand-in platform. Two at a time are replaced, first by this
build, then by the old one again. After each step the operators' table changes, an
engine leaves, and the store is away for a moment, while callers read streams. The exit
status is 1 if a promise is broken.
"""

import itertools
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from boragedeck.patching import patch_all

patch_all()

import eventlet
import msgspec
import typer
import urllib3

from scripts.builds import BuildNotFoundError, build_of
from scripts.platform_demo import EVENTS, ROUTE_HEADERS, PlatformCluster

__all__ = ["Finding", "UpgradeCheck", "main"]

ZONES = "abcabc"
STEP = 2
"""Number of routers that are replaced at a time."""
APPLY_S = 2.0
"""Time within which a change or a leaving replica must be known everywhere."""
STORE_AWAY_S = 1.5
SETTLE_S = 1.0
FREEZE_S = 1.5
CONTACT_S = 3.0
"""Time after a disturbance from which a router must keep its promises again."""
STREAM_INTERVAL_S = 0.15
READ_TIMEOUT_S = 15.0
REQUESTS_PER_ROUTER = 4
MAX_HISTORY_LOSSES = 20
"""Number of times that a router may find its position in the store's feed lost."""
BODY = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))


class Finding(msgspec.Struct, frozen=True):
    """A promise that was broken.

    Parameters
    ----------
    promise : str
        Which one.
    router : int
        The router.
    build : str
        Its build, ``"old"`` or ``"new"``.
    text : str
        What was seen.
    """

    promise: str
    router: int
    build: str
    text: str


class UpgradeCheck:
    """A fleet whose routers are replaced while callers use it.

    Parameters
    ----------
    directory : Path
        Directory of the settings and log files.
    old : Path
        The source folder of the old build.
    seed : int
        Chooses the order of the replacements.
    zones : str, optional
        The failure domain of each router, by one letter.
    """

    def __init__(self, directory: Path, old: Path, seed: int, zones: str = ZONES):
        self._zones = zones
        self.findings: list[Finding] = []
        self.counts: Counter[str] = Counter()
        self._cluster = PlatformCluster(directory)
        self._directory = directory
        self._old = old
        self._rng = random.Random(seed)
        self._pool = urllib3.PoolManager(retries=False, maxsize=32)
        self._numbers = itertools.count(1)
        self._key = "demo-key"
        self._version = 1
        self._urls: list[str] = []
        self._in_service: set[int] = set()
        self._is_over = False

    def run(self, *, is_taken_back: bool, is_half: bool = False) -> None:
        """Replace the routers by this build.

        Parameters
        ----------
        is_taken_back : bool
            Whether they are replaced by the old build again.
        is_half : bool, optional
            Whether the second half of the routers keeps the old build for good.
        """
        for name, zone in (("engine-1", "a"), ("engine-2", "b")):
            self._cluster.add_engine(name, zone)
        self._start_old_routers()
        streams = eventlet.spawn(self._read_streams)
        order = list(range(len(self._zones)))
        self._rng.shuffle(order)
        if is_half:
            order = order[: len(order) // 2]
        self._replace_in_steps(order, None)
        if is_taken_back:
            self._replace_in_steps(order, self._old)
        self._is_over = True
        streams.wait()
        self._check_logs()

    def stop(self) -> None:
        """Stop all processes."""
        self._is_over = True
        self._cluster.stop()

    def _start_old_routers(self) -> None:
        for number, zone in enumerate(self._zones):
            self._cluster.builds[number] = self._old
            self._urls.append(self._cluster.add_router(zone))
            self._in_service.add(number)
        eventlet.sleep(SETTLE_S)

    def _replace_in_steps(self, order: Sequence[int], build: Path | None) -> None:
        for at in range(0, len(order), STEP):
            numbers = order[at : at + STEP]
            self._in_service -= set(numbers)
            self._cluster.replace_routers(numbers, build)
            self._in_service |= set(numbers)
            eventlet.sleep(SETTLE_S)
            self._disturb_router()
            self._take_store_away()
            self._check_key_change()
            self._check_leaving_engine()

    def _disturb_router(self) -> None:
        """Kill or freeze a router of either build that no stream is read through."""
        number = self._rng.choice(sorted(self._in_service))
        self._in_service.remove(number)
        eventlet.sleep(SETTLE_S + STREAM_INTERVAL_S)
        if self._rng.random() < 0.5:
            self._cluster.restart_router(number)
            self._cluster.wait_ready(number)
        else:
            self._cluster.routers[number].send_signal(signal.SIGSTOP)
            eventlet.sleep(FREEZE_S)
            self._cluster.routers[number].send_signal(signal.SIGCONT)
        eventlet.sleep(CONTACT_S)
        self._in_service.add(number)

    def _take_store_away(self) -> None:
        self._cluster.rows.faults.status = 503
        eventlet.sleep(STORE_AWAY_S)
        self._cluster.rows.faults.status = 0
        eventlet.sleep(SETTLE_S)

    def _check_key_change(self) -> None:
        before, self._key = self._key, f"key-{next(self._numbers)}"
        self._version += 1
        self._cluster.put_config(self._version, self._key)
        eventlet.sleep(APPLY_S)
        for number, answer in self._ask_all(self._key):
            if answer.status == 401:
                self._find("CONFIG", number, "the new key is refused")
        for number, answer in self._ask_all(before):
            if answer.status != 401:
                self._find("CONFIG", number, "the old key is served")

    def _check_leaving_engine(self) -> None:
        name = f"leaving-{next(self._numbers)}"
        self._cluster.add_engine(name, "c")
        eventlet.sleep(SETTLE_S)
        replica = self._cluster.engines[name][0]
        self._cluster.rows.drop("servers", name)
        eventlet.sleep(APPLY_S)
        asked = {
            answer.headers.get("Request-Id"): number
            for number, answer in self._ask_all(self._key, REQUESTS_PER_ROUTER)
        }
        for request_id in asked.keys() & set(replica.served_ids):
            self._find("DRAIN", asked[request_id], f"{name} got {request_id}")
        self._cluster.crash_engine(name)

    def _ask_all(
        self, key: str, times: int = 1
    ) -> list[tuple[int, urllib3.BaseHTTPResponse]]:
        """Ask each router in service at the same time; return their answers."""
        numbers = sorted(self._in_service) * times
        pool = eventlet.GreenPool()
        answers = pool.imap(self._ask, numbers, itertools.repeat(key, len(numbers)))
        return list(zip(numbers, answers, strict=True))

    def _ask(self, number: int, key: str) -> urllib3.BaseHTTPResponse:
        headers = ROUTE_HEADERS | {
            "Api-Key": key,
            "Request-Id": f"ask-{next(self._numbers)}",
            "Token-Counts": "100,40",
        }
        url = f"{self._urls[number]}/answers/x"
        self.counts["asked"] += 1
        return self._pool.request("POST", url, headers=headers, timeout=READ_TIMEOUT_S)

    def _read_streams(self) -> None:
        """Read streams through routers in service until the check is over."""
        pool = eventlet.GreenPool()
        while not self._is_over:
            if self._in_service:
                number = self._rng.choice(sorted(self._in_service))
                pool.spawn_n(self._read_stream, number, self._key)
            eventlet.sleep(STREAM_INTERVAL_S)
        pool.waitall()

    def _read_stream(self, number: int, key: str) -> None:
        try:
            answer = self._ask(number, key)
        except urllib3.exceptions.HTTPError as exc:
            self._find("LOST", number, repr(exc))
            return
        self.counts[f"stream {answer.status}"] += 1
        if answer.status == 200 and answer.data != BODY:
            self._find("ORDER", number, f"{len(answer.data)} of {len(BODY)} bytes")

    def _check_logs(self) -> None:
        for number in range(len(self._zones)):
            log = Path(self._directory, f"router-{number}.log").read_text()
            losses = log.count("History lost.")
            if losses > MAX_HISTORY_LOSSES:
                self._find("CALLS", number, f"its history was lost {losses} times")

    def _find(self, promise: str, number: int, text: str) -> None:
        build = "old" if number in self._cluster.builds else "new"
        self.findings.append(Finding(promise, number, build, text))


def main(
    from_commit: str = typer.Option(..., "--from", help="The commit of the old build."),
    seeds: int = typer.Option(1, help="How many plays."),
    first_seed: int = typer.Option(1, help="The seed of the first play."),
    back: bool = typer.Option(True, help="Whether the upgrade is taken back."),
    half: bool = typer.Option(False, help="Whether it stops half way for good."),
) -> None:
    """Play upgrades, and print what was broken."""
    try:
        old = build_of(from_commit)
    except BuildNotFoundError as exc:
        print(exc, file=sys.stderr)
        raise typer.Exit(2) from exc
    total = 0
    for seed in range(first_seed, first_seed + seeds):
        with tempfile.TemporaryDirectory() as directory:
            check = UpgradeCheck(Path(directory), old, seed)
            try:
                check.run(is_taken_back=back and not half, is_half=half)
            finally:
                check.stop()
        for finding in check.findings:
            print(f"{finding.promise}: router {finding.router}, {finding.text}")
        print(f"seed {seed}: {len(check.findings)} broken, {dict(check.counts)}")
        total += len(check.findings)
    raise typer.Exit(1 if total else 0)


if __name__ == "__main__":
    typer.run(main)
