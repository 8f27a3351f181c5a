import unittest

from tests.support.answer_defects import DEFECTS, find_defect


class AnswerDefectsTest(unittest.TestCase):
    """Each seeded defect makes its named check of the fuzzer fail."""

    def test_each_defect_is_caught_by_its_check(self):
        for defect in DEFECTS:
            with self.subTest(defect=defect.name):
                caught = find_defect(defect, examples=300, seeds=(1, 2))
                self.assertIsNotNone(caught, "no check detected the defect")
                self.assertEqual(caught.check, defect.check)
