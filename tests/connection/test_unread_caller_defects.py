import unittest

from tests.support.method_defects import fails
from tests.support.unread_caller_defects import UNREAD_CALLER_DEFECTS


class UnreadCallerDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in UNREAD_CALLER_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
