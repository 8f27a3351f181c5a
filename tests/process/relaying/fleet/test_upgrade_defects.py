import unittest

from tests.support.method_defects import fails
from tests.support.upgrade_defects import UPGRADE_DEFECTS


class UpgradeDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in UPGRADE_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
