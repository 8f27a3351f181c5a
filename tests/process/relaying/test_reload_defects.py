import unittest

from tests.support.method_defects import fails
from tests.support.reload_defects import RELOAD_DEFECTS


class ReloadDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in RELOAD_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
