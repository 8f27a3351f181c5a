import random
import tempfile
import unittest
from pathlib import Path

import msgspec

from scripts.platform_cluster import PlatformCluster
from scripts.ports import LAST_PORT
from soak.fleet import TABLE, ReplicaFleet
from soak.history import History
from soak.room import ROOMS


class ReplicaFleetTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = PlatformCluster(Path(directory.name))
        self.addCleanup(self.cluster.stop)

    def test_replica_takes_a_port_to_which_another_play_still_sends(self):
        fleet = ReplicaFleet(self.cluster, History(), ROOMS[0], random.Random(1))
        self.addCleanup(fleet.stop)
        for name in fleet._replicas:
            entry = msgspec.json.decode(self.cluster.rows.value(TABLE, name))
            port = int(entry["address"].rpartition(":")[2])
            with self.subTest(name):
                self.assertLess(port, LAST_PORT)
