import unittest

from tests.support.method_defects import fails
from tests.support.notice_defects import NOTICE_DEFECTS


class NoticeDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in NOTICE_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
