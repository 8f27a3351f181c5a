"""Runs all tests, each module in a process of its own, several at a time.

Notes
-----
Tests that are listed as known to fail run apart from the others, before them.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from scripts.run_module import KNOWN_RED_FILE, known_red_tests

__all__ = [
    "Module",
    "Outcome",
    "exit_on_signals",
    "judge",
    "main",
    "order_modules",
    "run_modules",
    "split_alone",
]

MODULE_TIMEOUT_S = 1800.0
"""How long the tests of one module may take."""
STOP_S = 5.0
"""How long a process that is stopped has before it is killed."""
POLL_S = 0.05
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
SLOWEST = (
    "tests.process.relaying.tables.test_stale_tables_large",
    "tests.scripts.test_upgrade_check",
    "tests.process.relaying.crashes.test_deadly_part_fleet",
    "tests.process.relaying.tables.test_stale_tables_very_large",
    "tests.process.relaying.tables.test_restored_store",
    "tests.scripts.test_platform_demo",
    "tests.request.test_relay_paths",
    "tests.request.test_silent_replicas",
    "tests.process.relaying.tables.test_stale_tables",
)
"""The modules that are started first, the slowest before the others."""
ALONE = (
    "tests.process.relaying.test_uncontrolled_bodies",
    "tests.process.relaying.test_uncontrolled_callers",
    "tests.process.relaying.test_uncontrolled_connections",
    "tests.process.relaying.test_uncontrolled_mixes",
    "tests.process.relaying.test_uncontrolled_operators",
    "tests.process.relaying.test_uncontrolled_readers",
    "tests.process.test_uncontrolled_api_callers",
)
"""The modules that are run one at a time, before the others: they measure the memory of
processes under load, which another module beside them would slow down."""
RUNNER = (sys.executable, "-m", "scripts.run_module")


@dataclass(frozen=True)
class Outcome:
    """What the tests of a module came to.

    Attributes
    ----------
    passed, failed : int
        Tests; one that has not run, or ran twice, has failed.
    text : str
        What is printed of it.
    """

    passed: int
    failed: int
    text: str


@dataclass
class Module:
    """A test module and the process that runs it.

    Attributes
    ----------
    name : str
        The module.
    tests : sequence of str
        The ids of the tests that it must run.
    command : sequence of str
        How it is run; the file for its report and its name are added.
    """

    name: str
    tests: Sequence[str]
    command: Sequence[str] = RUNNER
    started: float = field(default=0.0, init=False)
    process: subprocess.Popen | None = field(default=None, init=False)

    def start(self, folder: Path) -> None:
        """Start the process, in a group of its own."""
        self._report = folder / f"{self.name}.json"
        self._output = folder / f"{self.name}.txt"
        self.started = time.monotonic()
        with self._output.open("wb") as output:
            self.process = subprocess.Popen(
                [*self.command, self._report, self.name],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    def seconds(self) -> float:
        """Return for how long it has run."""
        return time.monotonic() - self.started

    def stop(self) -> None:
        """End the process and those that it started."""
        _signal_group(self.process, signal.SIGTERM)
        try:
            self.process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            pass  # It is killed below.
        _signal_group(self.process, signal.SIGKILL)
        self.process.wait()

    def outcome(self, timed_out: bool) -> Outcome:
        """Return what its tests came to, once the process has ended."""
        report = json.loads(self._report.read_text()) if self._report.exists() else {}
        status = "timed out" if timed_out else self.process.returncode
        output = self._output.read_text(errors="replace")
        return judge(self.name, self.tests, report, status, output, self.seconds())


def judge(
    name: str,
    tests: Sequence[str],
    report: dict[str, list[str]],
    status: int | str,
    output: str,
    seconds: float,
) -> Outcome:
    """Return what the tests of a module came to.

    Parameters
    ----------
    name : str
        The module.
    tests : sequence of str
        The tests that it must run.
    report : dict
        What its process wrote down; empty if it wrote nothing.
    status : int or str
        The exit status of the process, or why it was ended.
    output : str
        What the process printed.
    seconds : float
        How long it took.
    """
    ran, ended_well = report.get("ran", []), set(report.get("passed", []))
    passed = [each for each in tests if ran.count(each) == 1 and each in ended_well]
    failed = len(tests) - len(passed)
    if not failed and (status != 0 or not report or sorted(ran) != sorted(tests)):
        failed = 1
    line = f"{name}: {len(tests)} tests, {seconds:.1f} s"
    if not failed and not report["skipped"]:
        return Outcome(len(passed), 0, line)
    line = f"{line}, {failed} FAILED, exit status {status}" if failed else line
    not_run = [f"not run once: {each}" for each in tests if ran.count(each) != 1]
    return Outcome(len(passed), failed, "\n".join([line, output.rstrip(), *not_run]))


def exit_on_signals() -> None:
    """Stop what runs, and exit, on the first SIGINT or SIGTERM."""
    for number in STOP_SIGNALS:
        signal.signal(number, _exit_on_signal)


def order_modules(names: Iterable[str]) -> list[str]:
    """Return modules in the order in which they are started."""
    ranks = {name: rank for rank, name in enumerate(SLOWEST)}
    return sorted(names, key=lambda name: (ranks.get(name, len(ranks)), name))


def split_alone(names: Iterable[str]) -> tuple[list[str], list[str]]:
    """Return the modules that run one at a time, and the others, each in order."""
    ordered = order_modules(names)
    alone = [name for name in ordered if name in ALONE]
    return alone, [name for name in ordered if name not in ALONE]


def run_modules(
    modules: Sequence[Module],
    processes: int,
    timeout_s: float = MODULE_TIMEOUT_S,
) -> tuple[int, int]:
    """Run test modules, and return how many tests passed and failed.

    Parameters
    ----------
    modules : sequence of Module
        What is run, in this order.
    processes : int
        How many run at a time.
    timeout_s : float
        How long one may take, in seconds.
    """
    waiting, running = list(modules), []
    passed = failed = 0
    with tempfile.TemporaryDirectory() as folder:
        try:
            while waiting or running:
                while waiting and len(running) < processes:
                    running.append(waiting.pop(0))
                    running[-1].start(Path(folder))
                for module in _ended(running, timeout_s):
                    running.remove(module)
                    timed_out = module.process.poll() is None
                    module.stop()
                    outcome = module.outcome(timed_out)
                    print(outcome.text, flush=True)
                    passed += outcome.passed
                    failed += outcome.failed
                time.sleep(POLL_S)
        finally:
            for module in running:
                if module.process is not None:
                    module.stop()
    return passed, failed


def main() -> None:
    """Run the tests; exit with 1 if one fails that isn't known to fail."""
    exit_on_signals()
    args = _arguments()
    known_red = known_red_tests(KNOWN_RED_FILE.read_text())
    listed = _list_modules()
    missing = known_red - {each for tests in listed.values() for each in tests}
    for name in sorted(missing):
        print(f"known red: {name}: there is no such test")
    for name, tests in listed.items():
        if known_red.intersection(tests):
            _run_known_red(name)
    passed, failed = 0, len(missing)
    for names, processes in zip(split_alone(listed), (1, args.processes), strict=True):
        modules = [
            Module(name, [each for each in listed[name] if each not in known_red])
            for name in names
        ]
        counts = run_modules(modules, processes)
        passed, failed = passed + counts[0], failed + counts[1]
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--processes",
        type=int,
        default=max(1, (os.cpu_count() or 1) // 2),
        help="how many modules run at a time (half of the cores)",
    )
    args = parser.parse_args()
    if args.processes < 1:
        parser.error("--processes must be at least 1")
    return args


def _list_modules() -> dict[str, list[str]]:
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder, "modules.json")
        subprocess.run([*RUNNER, report], check=True, timeout=MODULE_TIMEOUT_S)
        return json.loads(report.read_text())


def _run_known_red(name: str) -> None:
    """Run the tests of a module that are known to fail."""
    command = [*RUNNER, os.devnull, name, "--known-red"]
    with subprocess.Popen(command, start_new_session=True) as process:
        try:
            status = process.wait(MODULE_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            status = "timed out"
        finally:
            _signal_group(process, signal.SIGKILL)
    if status != 0:
        print(f"known red: {name}: ended with {status}, passed over", flush=True)


def _ended(running: Iterable[Module], timeout_s: float) -> list[Module]:
    return [
        module
        for module in running
        if module.process.poll() is not None or module.seconds() > timeout_s
    ]


def _signal_group(process: subprocess.Popen, number: signal.Signals) -> None:
    """Signal a process and those that it started, if any is left."""
    try:
        os.killpg(process.pid, number)
    except ProcessLookupError:
        pass  # All have ended.


def _exit_on_signal(number: int, _frame: object) -> None:
    for each in STOP_SIGNALS:
        signal.signal(each, signal.SIG_IGN)
    sys.exit(128 + number)


if __name__ == "__main__":
    main()
