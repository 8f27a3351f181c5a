import unittest

from tests.support.method_defects import fails
from tests.support.order_defects import ORDER_DEFECTS


class OrderDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in ORDER_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
