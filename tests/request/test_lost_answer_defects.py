import unittest

from tests.support.lost_answer_defects import LOST_ANSWER_DEFECTS
from tests.support.method_defects import fails


class LostAnswerDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in LOST_ANSWER_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
