import unittest

from tests.support.early_answer_defects import EARLY_ANSWER_DEFECTS
from tests.support.method_defects import fails


class EarlyAnswerDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in EARLY_ANSWER_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
