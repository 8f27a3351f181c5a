import unittest

from tests.support.limit_defects import LIMIT_DEFECTS
from tests.support.method_defects import fails


class LimitDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in LIMIT_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
