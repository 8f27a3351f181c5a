import unittest

from tests.support.method_defects import fails
from tests.support.silence_defects import SILENCE_DEFECTS


class SilenceDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in SILENCE_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
