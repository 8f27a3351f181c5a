import tempfile
import unittest
from pathlib import Path

from scripts.builds import BuildNotFoundError, build_of
from scripts.upgrade_check import UpgradeCheck

OLD_BUILD = "93e4b70"
ZONES = "abc"


class UpgradeCheckTest(unittest.TestCase):
    def test_routers_of_two_builds_keep_their_promises(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        check = UpgradeCheck(Path(directory.name), build_of(OLD_BUILD), 1, ZONES)
        self.addCleanup(check.stop)
        check.run(is_taken_back=True)
        self.assertEqual(check.findings, [])
        self.assertGreater(check.counts["stream 200"], 0)
        self.assertGreater(check.counts["stream borne"], 0)


class BuildsTest(unittest.TestCase):
    def test_commit_that_the_clone_lacks_is_named(self):
        with self.assertRaisesRegex(BuildNotFoundError, "0badc0de"):
            build_of("0badc0de")

    def test_build_has_the_sources_of_its_commit(self):
        build = build_of(OLD_BUILD)
        self.assertTrue((build / "boragedeck" / "process" / "daemon.py").exists())
        version = build / "boragedeck" / "connection" / "store_version.py"
        self.assertFalse(version.exists())
