import unittest

from tests.support.full_replica_defects import FULL_REPLICA_DEFECTS
from tests.support.method_defects import fails


class FullReplicaDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for defect in FULL_REPLICA_DEFECTS:
            with self.subTest(defect.name):
                self.assertTrue(fails(defect))
