import unittest

from tests.support.lasting_work_defects import LASTING_WORK_DEFECTS
from tests.support.method_defects import fails


class LastingWorkDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in LASTING_WORK_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
