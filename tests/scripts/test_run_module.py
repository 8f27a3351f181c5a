import contextlib
import gc
import io
import tempfile
import unittest
import weakref
from pathlib import Path
from unittest import mock

from scripts.run_module import (
    CollectingResult,
    known_red_tests,
    list_modules,
    load_module,
    run_known_red,
    split_suite,
)

LISTED = "tests.scripts.test_run_module.RunModuleTest.test_first"


class RunModuleTest(unittest.TestCase):
    def test_only_the_listed_test_is_passed_over(self):
        text = f"4. A fault.\n   test: {LISTED}\n   seen in test: other\n"
        names = ["tests.a.B.test_c", LISTED, f"{LISTED}_more"]
        tests = [unittest.FunctionTestCase(lambda: None) for _ in names]
        for test, name in zip(tests, names, strict=True):
            test.id = lambda name=name: name
        inner = unittest.TestSuite(tests[1:])
        suite = unittest.TestSuite([tests[0], inner])
        required, passed_over = split_suite(suite, known_red_tests(text))
        self.assertEqual([test.id() for test in required], [names[0], names[2]])
        self.assertEqual([test.id() for test in passed_over], [LISTED])

    def test_test_that_has_run_is_not_kept_with_its_fixtures(self):
        tests = [unittest.FunctionTestCase(lambda: None) for _ in range(3)]
        kept = [weakref.ref(test) for test in tests]
        found = [unittest.TestSuite([unittest.TestSuite(tests)])]
        del tests
        with mock.patch.object(
            unittest.defaultTestLoader, "loadTestsFromName", lambda name: found.pop()
        ):
            required, _ = load_module("tests.none", frozenset())
        unittest.TextTestRunner(io.StringIO()).run(required)
        gc.collect()
        self.assertEqual([ref() for ref in kept], [None] * 3)

    def test_full_collection_leaves_out_what_earlier_tests_have_left(self):
        left = []
        test = unittest.FunctionTestCase(
            lambda: left.extend([number] for number in range(10_000))
        )
        tracked = len(gc.get_objects(generation=2))
        runner = unittest.TextTestRunner(io.StringIO(), resultclass=CollectingResult)
        runner.run(test)
        self.assertLess(len(gc.get_objects(generation=2)), tracked + len(left))
        self.assertGreaterEqual(gc.get_freeze_count(), len(left))

    def test_failed_subtest_isn_t_counted_as_passed(self):
        class Tests(unittest.TestCase):
            def test_good(self):
                pass

            def test_with_a_bad_part(self):
                with self.subTest("bad"):
                    self.fail()

            def test_worse(self):
                raise OSError

        suite = unittest.defaultTestLoader.loadTestsFromTestCase(Tests)
        runner = unittest.TextTestRunner(io.StringIO(), resultclass=CollectingResult)
        result = runner.run(suite)
        self.assertEqual(len(result.ran), 3)
        self.assertEqual([name.split(".")[-1] for name in result.passed], ["test_good"])

    def test_known_red_test_is_run_and_named_with_its_outcome(self):
        tests = [unittest.FunctionTestCase(each) for each in (lambda: None, self.fail)]
        for test, name in zip(tests, "ab", strict=True):
            test.id = lambda name=name: name
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            run_known_red(unittest.TestSuite(tests))
        self.assertEqual(
            printed.getvalue().splitlines(),
            ["known red: a: passes, passed over", "known red: b: fails, passed over"],
        )


class ListModulesTest(unittest.TestCase):
    def test_each_module_is_listed_with_its_tests(self):
        modules = list_modules(Path("tests/version"))
        self.assertIn("tests.version.test_rollout_plan", modules)
        ids = [each for tests in modules.values() for each in tests]
        self.assertEqual(len(set(ids)), len(ids))

    def test_test_that_only_discovery_finds_is_an_error(self):
        found = unittest.TestSuite([unittest.FunctionTestCase(lambda: None)])
        with (
            tempfile.TemporaryDirectory(dir=".") as folder,
            mock.patch.object(unittest.TestLoader, "discover", return_value=found),
            self.assertRaises(ValueError),
        ):
            list_modules(Path(folder))
