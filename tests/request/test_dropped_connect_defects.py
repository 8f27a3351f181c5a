import unittest

from tests.support.dropped_connect_defects import DROPPED_CONNECT_DEFECTS
from tests.support.method_defects import fails


class DroppedConnectDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in DROPPED_CONNECT_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
