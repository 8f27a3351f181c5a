"""Runs the tests of one module in this process and writes down what ran.

Notes
-----
``scripts.run_tests`` starts one process of this module for each test module. Without a
module it lists all tests that discovery finds, by module.
"""

import argparse
import gc
import json
import re
import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

__all__ = [
    "CollectingResult",
    "known_red_tests",
    "list_modules",
    "load_module",
    "main",
    "run_known_red",
    "split_suite",
]

KNOWN_RED_FILE = Path("KNOWN-RED.txt")
TEST_LINE = re.compile(r"^\s*test: (tests\.[\w.]+)$", re.MULTILINE)
"""A line of an entry that names a test which CI passes over."""
NOT_LOADED = "unittest.loader._FailedTest."
"""How the id begins that stands for a module which can't be imported."""


def known_red_tests(text: str) -> frozenset[str]:
    """Return the ids of the tests that a list of known failures names."""
    return frozenset(TEST_LINE.findall(text))


def split_suite(
    suite: unittest.TestSuite, known_red: frozenset[str]
) -> tuple[unittest.TestSuite, unittest.TestSuite]:
    """Return the tests that must pass, and those that are known to fail."""
    required, passed_over = unittest.TestSuite(), unittest.TestSuite()
    for test in _flatten(suite):
        (passed_over if test.id() in known_red else required).addTest(test)
    return required, passed_over


class CollectingResult(unittest.TextTestResult):
    """Collects garbage between the tests, and keeps the ids of those that ran.

    Attributes
    ----------
    ran : list of str
        The tests that were begun, in order.
    passed : list of str
        Those that ended without a failure, also of their subtests.

    Notes
    -----
    Fixtures whose green threads still wait can't be collected. Once they are many, a
    full collection stops the process for over a second, in the middle of a test in real
    time. What survives a test is left out of the next collections.
    """

    def __init__(self, *args, **fields) -> None:
        super().__init__(*args, **fields)
        self.ran: list[str] = []
        self.passed: list[str] = []
        self._bad_before = 0

    def startTest(self, test: unittest.TestCase) -> None:
        """Note that a test begins."""
        super().startTest(test)
        self.ran.append(test.id())
        self._bad_before = self._bad()

    def stopTest(self, test: unittest.TestCase) -> None:
        """Note how a test ended, and collect what it has left."""
        super().stopTest(test)
        if self._bad() == self._bad_before:
            self.passed.append(test.id())
        gc.collect()
        gc.freeze()

    def _bad(self) -> int:
        return len(self.failures) + len(self.errors) + len(self.unexpectedSuccesses)


def load_module(
    module: str, known_red: frozenset[str]
) -> tuple[unittest.TestSuite, unittest.TestSuite]:
    """Return the tests of a module, to which nothing else refers.

    Notes
    -----
    A suite drops each test that has run, so that its fixtures can be collected.
    """
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    return split_suite(suite, known_red)


def list_modules(start: Path) -> dict[str, list[str]]:
    """Return the ids of all tests below a directory, by module.

    Raises
    ------
    ValueError
        If the modules together don't hold exactly the tests that discovery finds.
    """
    loader = unittest.TestLoader()
    found = _ids(loader.discover(str(start), top_level_dir="."))
    modules = {}
    for path in sorted(start.rglob("test_*.py")):
        name = ".".join(path.with_suffix("").parts)
        modules[name] = _ids(unittest.TestLoader().loadTestsFromName(name))
    listed = [each for ids in modules.values() for each in ids]
    if _loaded(found) != _loaded(listed) or len(found) != len(listed):
        differing = sorted(set(_loaded(found)) ^ set(_loaded(listed)))
        raise ValueError(f"not the tests of discovery: {differing}")
    return modules


def run_known_red(suite: unittest.TestSuite) -> None:
    """Run tests that are known to fail, and print how each ended."""
    for test in _flatten(suite):
        result = unittest.TestResult()
        test.run(result)
        outcome = "passes" if result.wasSuccessful() else "fails"
        print(f"known red: {test.id()}: {outcome}, passed over", flush=True)


def main() -> None:
    """List all tests, or run those of one module; exit with 1 if one fails."""
    args = _arguments()
    if args.module is None:
        args.report.write_text(json.dumps(list_modules(Path("tests"))))
        return
    known_red = known_red_tests(KNOWN_RED_FILE.read_text())
    required, passed_over = load_module(args.module, known_red)
    if args.known_red:
        run_known_red(passed_over)
        return
    del passed_over
    result = unittest.TextTestRunner(resultclass=CollectingResult).run(required)
    report = {
        "ran": result.ran,
        "passed": result.passed,
        "skipped": [test.id() for test, _ in result.skipped],
    }
    args.report.write_text(json.dumps(report))
    sys.exit(0 if result.wasSuccessful() else 1)


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("report", type=Path, help="the file to write, as JSON")
    parser.add_argument("module", nargs="?", help="the module whose tests are run")
    parser.add_argument("--known-red", action="store_true", help="run only those")
    return parser.parse_args()


def _ids(suite: unittest.TestSuite) -> list[str]:
    return [test.id() for test in _flatten(suite)]


def _loaded(ids: list[str]) -> list[str]:
    return sorted(each for each in ids if not each.startswith(NOT_LOADED))


def _flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _flatten(test)
        else:
            yield test


if __name__ == "__main__":
    main()
