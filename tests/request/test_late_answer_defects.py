import unittest

from tests.support.late_answer_defects import LATE_ANSWER_DEFECTS
from tests.support.method_defects import fails


class LateAnswerDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in LATE_ANSWER_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
