import unittest

from scripts.run_tests import known_red_tests, split_suite

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
