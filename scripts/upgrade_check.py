"""Replaces the routers of a fleet by those of another build, and checks promises.

Six routers serve on a stand-in platform. Two at a time are replaced, first by this
build, then by the old one again. In each step a router and the store have a fault, the
operators' table changes, an engine leaves, and a version that fails is ordered, while
callers read streams. Engines fall silent in each step, also while routers are stopped.
The exit status is 1 if a promise is broken.
"""

import itertools
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from pathlib import Path

from boragedeck.patching import patch_all

patch_all()

import eventlet
import msgspec
import typer

from boragedeck.version.relay_rollouts import RolloutResult
from scripts.builds import BuildNotFoundError, build_of
from scripts.platform_cluster import PlatformCluster
from scripts.upgrade_callers import Callers
from scripts.upgrade_faults import UpgradeFaults
from scripts.upgrade_silences import EngineSilences

__all__ = ["Finding", "UpgradeCheck", "main"]

ZONES = "abcabc"
STEP = 2
"""Number of routers that are replaced at a time."""
APPLY_S = 2.0
"""Time within which a change or a leaving replica must be known everywhere."""
SETTLE_S = 1.0
ROLLOUT_S = 6.0
POLL_S = 0.1
REQUESTS_PER_ROUTER = 4
MAX_HISTORY_LOSSES = 20
"""Number of times that a router may find its position in the store's feed lost, besides
the restored stores."""


class Finding(msgspec.Struct, frozen=True):
    """A promise that was broken.

    Parameters
    ----------
    at : float
        When, in seconds since the epoch.
    promise : str
        Which one.
    router : int
        The router.
    build : str
        Its build, ``"old"`` or ``"new"``.
    text : str
        What was seen.
    """

    at: float
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
        Chooses the order of the replacements and of the faults.
    zones : str, optional
        The failure domain of each router, by one letter.
    """

    def __init__(self, directory: Path, old: Path, seed: int, zones: str = ZONES):
        self.findings: list[Finding] = []
        self._zones = zones
        self._cluster = PlatformCluster(directory)
        self._directory = directory
        self._old = old
        self._rng = random.Random(seed)
        self._silences = EngineSilences(self._cluster, random.Random(seed))
        self._callers = Callers(random.Random(seed), self._find, self._silences)
        self._numbers = itertools.count(1)
        self._version = 1
        self._faults = UpgradeFaults(
            self._cluster, self._callers, old, self._rng, self._change_key
        )

    @property
    def counts(self) -> Counter[str]:
        """Numbers of requests, and of streams; see `Callers`."""
        return self._callers.counts

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
        self._silences.start()
        self._callers.start()
        order = list(range(len(self._zones)))
        self._rng.shuffle(order)
        if is_half:
            order = order[: len(order) // 2]
        self._replace_in_steps(order, None)
        if is_taken_back:
            self._replace_in_steps(order, self._old)
        self._callers.finish()
        self._check_logs()

    def stop(self) -> None:
        """Stop all processes."""
        self._callers.stop()
        self._silences.stop()
        self._cluster.stop()

    def _start_old_routers(self) -> None:
        for number, zone in enumerate(self._zones):
            self._cluster.builds[number] = self._old
            self._callers.urls.append(self._cluster.add_router(zone))
            self._callers.in_service.add(number)
        eventlet.sleep(SETTLE_S)

    def _replace_in_steps(self, order: Sequence[int], build: Path | None) -> None:
        for at in range(0, len(order), STEP):
            numbers = order[at : at + STEP]
            self._silences.begin_before_stop()
            self._callers.in_service -= set(numbers)
            self._cluster.replace_routers(numbers, build)
            self._callers.in_service |= set(numbers)
            eventlet.sleep(SETTLE_S)
            self._silences.play()
            eventlet.sleep(SETTLE_S)
            self._faults.disturb_store()
            self._faults.disturb_router()
            self._check_key_change()
            self._check_leaving_engine()
            self._faults.end_cuts()
            self._check_failing_version()

    def _change_key(self) -> None:
        self._callers.key = f"key-{next(self._numbers)}"
        self._version += 1
        self._cluster.put_config(self._version, self._callers.key)

    def _check_key_change(self) -> None:
        before = self._callers.key
        self._change_key()
        eventlet.sleep(APPLY_S)
        for number, answer in self._callers.ask_all(self._callers.key):
            if answer.status == 401:
                self._find("CONFIG", number, "the new key is refused")
        for number, answer in self._callers.ask_all(before):
            if answer.status != 401:
                self._find("CONFIG", number, "the old key is served")

    def _check_leaving_engine(self) -> None:
        name = f"leaving-{next(self._numbers)}"
        self._cluster.add_engine(name, "c")
        eventlet.sleep(SETTLE_S)
        replica = self._cluster.engines[name][0]
        self._cluster.drop_engine(name)
        eventlet.sleep(APPLY_S)
        answers = self._callers.ask_all(self._callers.key, REQUESTS_PER_ROUTER)
        asked = {answer.headers.get("Request-Id"): number for number, answer in answers}
        for request_id in asked.keys() & set(replica.served_ids):
            self._find("DRAIN", asked[request_id], f"{name} got {request_id}")
        self._cluster.crash_engine(name)

    def _check_failing_version(self) -> None:
        """Order a version that fails, and look whether all routers take it back."""
        number = next(self._numbers)
        name, version = f"failing-{number}", f"v{number + 1}"
        routers = sorted(self._callers.in_service)
        self._cluster.add_engine(name, "c", version=version, fails=True)
        eventlet.sleep(SETTLE_S)
        self._cluster.order_version(version, ROLLOUT_S)
        with eventlet.Timeout(ROLLOUT_S, False):
            while not self._is_rolled_back(version):
                self._callers.ask_all(self._callers.key)
                eventlet.sleep(POLL_S)
        if not self._is_rolled_back(version):
            result = self._cluster.published_result(version)
            self._find("DUTY", routers[0], f"{version} is {result} at its time limit")
        eventlet.sleep(APPLY_S)
        for router in routers:
            if not self._has_stopped(router, version):
                self._find("EXPOSURE", router, f"{version} is not stopped there")
        self._cluster.crash_engine(name)

    def _is_rolled_back(self, version: str) -> bool:
        result = self._cluster.published_result(version)
        return result == RolloutResult.ROLLED_BACK.value

    def _has_stopped(self, number: int, version: str) -> bool:
        """Return whether a router has noted that a version is taken back."""
        return any(
            line.get("to") == version
            and line.get("result") == RolloutResult.ROLLED_BACK.value
            for line in self._log_lines(number)
        )

    def _log_lines(self, number: int) -> Iterator[dict]:
        text = Path(self._directory, f"router-{number}.log").read_text()
        for line in text.splitlines():
            try:
                yield msgspec.json.decode(line)
            except msgspec.DecodeError:
                # A line that is being written, or a warning of the interpreter.
                continue

    def _check_logs(self) -> None:
        for number in range(len(self._zones)):
            log = Path(self._directory, f"router-{number}.log").read_text()
            losses = log.count("History lost.")
            if losses > MAX_HISTORY_LOSSES * (1 + self._faults.restored):
                self._find("CALLS", number, f"its history was lost {losses} times")

    def _find(self, promise: str, number: int, text: str) -> None:
        build = "old" if number in self._cluster.builds else "new"
        self.findings.append(Finding(time.time(), promise, number, build, text))


def main(
    from_commit: str = typer.Option(..., "--from", help="The commit of the old build."),
    seeds: int = typer.Option(1, help="How many plays."),
    first_seed: int = typer.Option(1, help="The seed of the first play."),
    back: bool = typer.Option(True, help="Whether the upgrade is taken back."),
    half: bool = typer.Option(False, help="Whether it stops half way for good."),
    keep: str = typer.Option("", help="Where to keep the logs of broken plays."),
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
                if check.findings and keep:
                    shutil.copytree(directory, Path(keep, f"seed-{seed}"))
        for finding in check.findings:
            where = f"router {finding.router} ({finding.build})"
            print(f"{finding.at:.3f} {finding.promise}: {where}, {finding.text}")
        print(f"seed {seed}: {len(check.findings)} broken, {dict(check.counts)}")
        total += len(check.findings)
    raise typer.Exit(1 if total else 0)


if __name__ == "__main__":
    typer.run(main)
