import unittest

from tests.support.late_timer_defects import LATE_TIMER_DEFECTS
from tests.support.method_defects import fails


class LateTimerDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in LATE_TIMER_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
