import contextlib
import io
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from scripts import run_tests
from scripts.run_module import NOT_LOADED
from scripts.run_tests import Module, judge, order_modules, run_modules

NAMES = ("tests.a.B.test_c", "tests.a.B.test_d")
GOOD = {"ran": list(NAMES), "passed": list(NAMES), "skipped": []}
GONE_S = 30.0
"""How long a process that was stopped may take to be gone."""
REPORT = "import json, sys; json.dump({}, open(sys.argv[1], 'w'))"


def reporting(report):
    """Return the command of a process that only writes a report."""
    return (sys.executable, "-c", REPORT.format(report))


def run_all(modules, processes=2, timeout_s=60.0):
    """Run modules and return how many tests passed, how many failed, and the output."""
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        passed, failed = run_modules(modules, processes, timeout_s)
    return passed, failed, printed.getvalue()


class RunModulesTest(unittest.TestCase):
    def test_module_that_passes_is_one_line(self):
        module = Module("tests.a", NAMES, reporting(GOOD))
        passed, failed, printed = run_all([module])
        self.assertEqual((passed, failed), (2, 0))
        self.assertRegex(printed, r"\Atests\.a: 2 tests, \d+\.\d s\n\Z")

    def test_module_that_crashes_has_failed_with_all_its_output(self):
        code = "import os; print('before the crash', flush=True); os.abort()"
        crashed = Module("tests.a", NAMES, (sys.executable, "-c", code))
        good = Module("tests.b", NAMES, reporting(GOOD))
        passed, failed, printed = run_all([crashed, good])
        self.assertEqual((passed, failed), (2, 2))
        self.assertIn(f"exit status {-signal.SIGABRT}", printed)
        self.assertIn("before the crash", printed)

    def test_module_that_hangs_has_failed(self):
        code = "import time; time.sleep(600)"
        module = Module("tests.a", NAMES, (sys.executable, "-c", code))
        passed, failed, printed = run_all([module], timeout_s=0.5)
        self.assertEqual((passed, failed), (0, 2))
        self.assertIn("timed out", printed)
        self.assertIsNotNone(module.process.returncode)

    def test_module_that_can_t_be_imported_has_failed(self):
        module = Module("tests.no_such_module", [f"{NOT_LOADED}no_such_module"])
        passed, failed, printed = run_all([module])
        self.assertEqual((passed, failed), (0, 1))
        self.assertIn("no_such_module", printed)

    def test_no_more_modules_run_at_a_time_than_asked_for(self):
        most, started = [], Module.start

        def start(module, folder):
            started(module, folder)
            running = [each for each in modules if each.process is not None]
            most.append(sum(each.process.returncode is None for each in running))

        modules = [Module(f"tests.{name}", NAMES, reporting(GOOD)) for name in "abcde"]
        with mock.patch.object(Module, "start", start):
            passed, failed, _ = run_all(modules, processes=2)
        self.assertEqual((passed, failed), (10, 0))
        self.assertEqual(max(most), 2)

    def test_sigterm_ends_the_module_that_runs_and_what_it_started(self):
        with tempfile.TemporaryDirectory() as folder:
            pids = Path(folder, "pids")
            inner = "import os, subprocess, sys, time; " + (
                "child = subprocess.Popen(['sleep', '600']); "
                f"file = open({str(pids)!r}, 'w'); "
                "file.write(f'{os.getpid()} {child.pid}.'); file.close(); "
                "time.sleep(600)"
            )
            outer = (
                "import sys; from scripts import run_tests; "
                "run_tests.exit_on_signals(); "
                f"command = (sys.executable, '-c', {inner!r}); "
                "run_tests.run_modules([run_tests.Module('a', [], command)], 1)"
            )
            with subprocess.Popen([sys.executable, "-c", outer]) as process:
                self.addCleanup(process.kill)
                self.wait_for(lambda: pids.exists() and "." in pids.read_text())
                process.terminate()
                self.assertEqual(process.wait(GONE_S), 128 + signal.SIGTERM)
            for pid in pids.read_text().rstrip(".").split():
                self.wait_for(lambda pid=pid: is_gone(int(pid)))

    def wait_for(self, condition):
        end = time.monotonic() + GONE_S
        while not condition():
            self.assertLess(time.monotonic(), end)
            time.sleep(0.02)


class JudgeTest(unittest.TestCase):
    def judge(self, report, status=0):
        outcome = judge("tests.a", NAMES, report, status, "output", 1.0)
        return outcome.passed, outcome.failed

    def test_tests_that_ran_once_and_ended_well_have_passed(self):
        self.assertEqual(self.judge(GOOD), (2, 0))

    def test_test_that_has_not_run_has_failed(self):
        report = GOOD | {"ran": [NAMES[0]], "passed": [NAMES[0]]}
        self.assertEqual(self.judge(report), (1, 1))

    def test_test_that_ran_twice_has_failed(self):
        report = GOOD | {"ran": [*NAMES, NAMES[0]], "passed": [*NAMES, NAMES[0]]}
        self.assertEqual(self.judge(report), (1, 1))

    def test_test_that_nobody_asked_for_makes_the_module_fail(self):
        report = GOOD | {"ran": [*NAMES, "tests.a.B.test_e"]}
        self.assertEqual(self.judge(report), (2, 1))

    def test_failed_test_is_counted(self):
        self.assertEqual(self.judge(GOOD | {"passed": [NAMES[1]]}, status=1), (1, 1))

    def test_process_that_fails_after_its_tests_makes_the_module_fail(self):
        self.assertEqual(self.judge(GOOD, status=1), (2, 1))

    def test_module_without_a_report_has_failed(self):
        self.assertEqual(self.judge({}), (0, 2))
        self.assertEqual(judge("tests.a", [], {}, 0, "", 1.0).failed, 1)

    def test_skipped_test_is_shown(self):
        outcome = judge("tests.a", NAMES, GOOD | {"skipped": ["x"]}, 0, "output", 1.0)
        self.assertIn("output", outcome.text)


class MainTest(unittest.TestCase):
    """The whole command, over modules that only report."""

    def run_main(self, known_red, report=GOOD, listed=None):
        printed = io.StringIO()
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(run_tests, "KNOWN_RED_FILE", Path(folder, "red")) as red,
            mock.patch.object(
                run_tests, "_list_modules", lambda: listed or {"tests.a": list(NAMES)}
            ),
            mock.patch.object(run_tests, "_run_known_red") as passed_over,
            mock.patch.object(
                run_tests, "Module", lambda *args: Module(*args, reporting(report))
            ),
            mock.patch.object(run_tests, "exit_on_signals"),
            mock.patch.object(sys, "argv", ["run_tests"]),
            contextlib.redirect_stdout(printed),
            self.assertRaises(SystemExit) as exited,
        ):
            red.write_text(known_red)
            run_tests.main()
        lines = printed.getvalue().splitlines()
        return exited.exception.code, lines, passed_over.call_args_list

    def test_last_line_counts_the_tests_alone(self):
        status, lines, passed_over = self.run_main("none")
        self.assertEqual((status, lines[-1]), (0, "2 passed, 0 failed"))
        self.assertEqual(passed_over, [])

    def test_modules_that_measure_memory_run_one_at_a_time(self):
        calls = []

        def run(modules, processes):
            calls.append(([each.name for each in modules], processes))
            return len(modules), 0

        listed = {name: list(NAMES) for name in ("tests.b", "tests.alone", "tests.a")}
        with (
            mock.patch.object(run_tests, "ALONE", ("tests.alone",)),
            mock.patch.object(run_tests, "run_modules", run),
        ):
            status, lines, _ = self.run_main("none", listed=listed)
        self.assertEqual(calls[0], (["tests.alone"], 1))
        self.assertEqual(calls[1][0], ["tests.a", "tests.b"])
        self.assertEqual((status, lines[-1]), (0, "3 passed, 0 failed"))

    def test_failed_test_makes_the_run_fail(self):
        status, lines, _ = self.run_main("none", GOOD | {"passed": [NAMES[0]]})
        self.assertEqual((status, lines[-1]), (1, "1 passed, 1 failed"))

    def test_known_red_test_runs_apart_and_not_among_the_others(self):
        report = {"ran": [NAMES[0]], "passed": [NAMES[0]], "skipped": []}
        status, lines, passed_over = self.run_main(f"  test: {NAMES[1]}\n", report)
        self.assertEqual((status, lines[-1]), (0, "1 passed, 0 failed"))
        self.assertEqual(passed_over, [mock.call("tests.a")])

    def test_known_red_test_that_is_missing_makes_the_run_fail(self):
        status, lines, _ = self.run_main("  test: tests.a.B.test_gone\n")
        self.assertEqual((status, lines[-1]), (1, "2 passed, 1 failed"))
        self.assertIn("tests.a.B.test_gone: there is no such test", lines[0])


class ListTest(unittest.TestCase):
    def test_each_test_is_listed_once_and_each_file_is_a_module(self):
        listed = run_tests._list_modules()
        ids = [each for tests in listed.values() for each in tests]
        self.assertEqual(len(set(ids)), len(ids))
        self.assertIn(self.id(), ids)
        self.assertEqual(len(listed), len(list(module_files())))

    def test_module_that_must_run_alone_is_there(self):
        names = {".".join(each.with_suffix("").parts) for each in module_files()}
        self.assertEqual(set(run_tests.ALONE) - names, set())

    def test_slowest_modules_are_there_and_start_first(self):
        names = sorted(".".join(each.with_suffix("").parts) for each in module_files())
        ordered = order_modules(names)
        self.assertEqual(tuple(ordered[: len(run_tests.SLOWEST)]), run_tests.SLOWEST)
        self.assertEqual(sorted(ordered), names)


def module_files():
    """Return the files of all test modules."""
    return Path("tests").rglob("test_*.py")


def is_gone(pid):
    """Return whether a process has ended."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return True
    return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] == "Z"
