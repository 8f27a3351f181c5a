import subprocess
import sys
import unittest

import boragedeck
from boragedeck.process.build import build_name


class BuildTest(unittest.TestCase):
    def test_build_is_named_by_version_and_sources(self):
        self.assertRegex(build_name(), rf"^{boragedeck.__version__}\+[0-9a-f]{{8}}$")

    def test_daemon_prints_its_build(self):
        command = [sys.executable, "-m", "boragedeck.process.daemon", "--version"]
        printed = subprocess.run(command, capture_output=True, check=True, text=True)
        self.assertEqual(printed.stdout.strip(), build_name())
