import gc
import io
import unittest
import weakref
from unittest import mock

from scripts.run_tests import (
    CollectingResult,
    _load,
    known_red_tests,
    split_suite,
)

LISTED = "tests.scripts.test_run_tests.RunTestsTest.test_first"


class RunTestsTest(unittest.TestCase):
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
            unittest.defaultTestLoader, "discover", lambda *args, **fields: found.pop()
        ):
            required, _ = _load(frozenset())
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
