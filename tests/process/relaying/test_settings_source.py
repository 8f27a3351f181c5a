import os
import tempfile
import unittest
from pathlib import Path

from boragedeck.connection.peer import Address
from boragedeck.platform.settings import read_settings
from boragedeck.process.relaying.fleet.fleet_size import FleetSize
from boragedeck.process.relaying.retries.retry_share import RetryShare
from boragedeck.process.relaying.settings_source import (
    CHECK_INTERVAL_S,
    SettingsSource,
)
from boragedeck.process.timers import ManualTimers
from tests.platform.test_settings import TEXT
from tests.support.replicas import NoReserve


class SettingsSourceTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "local.yaml")
        self.write_count = 0
        self.write(TEXT)
        self.timers = ManualTimers()
        self.source = SettingsSource(
            self.read().ok(), self.read, self.path, self.timers
        )
        self.source.start()

    def read(self):
        return read_settings({"BORAGEDECK_CONFIG": str(self.path)})

    def write(self, text):
        self.path.write_text(text)
        self.write_count += 1
        os.utime(self.path, (self.write_count, self.write_count))

    def test_bounds_and_seeds_change_on_a_reload(self):
        changed = TEXT.replace("retryBudgetRatio: 0.5", "retryBudgetRatio: 0.1")
        self.write(changed.replace("10.2.0.29", "10.2.0.30"))
        self.source.reload("SIGHUP")
        self.assertEqual(self.source.bounds().retry_ratio, 0.1)
        self.assertEqual(self.source.current().seeds, (Address("10.2.0.30", 7340),))

    def test_change_without_a_signal_is_found(self):
        self.write(TEXT.replace("graceS: 8", "graceS: 5"))
        self.timers.advance(2 * CHECK_INTERVAL_S)
        self.assertEqual(self.source.bounds().grace_s, 5.0)

    def test_invalid_file_changes_nothing(self):
        for text in (TEXT.replace("graceS: 8", "graceS: long"), "[", ""):
            self.write(text)
            self.source.reload("SIGHUP")
            self.assertEqual(self.source.bounds().grace_s, 8.0)

    def test_missing_file_changes_nothing(self):
        self.path.unlink()
        self.timers.advance(2 * CHECK_INTERVAL_S)
        self.assertEqual(self.source.bounds().grace_s, 8.0)

    def test_listening_address_needs_a_restart(self):
        self.write(TEXT.replace("8227", "8228"))
        self.source.reload("SIGHUP")
        self.assertEqual(self.source.current().callers, Address("10.1.0.40", 8227))

    def test_parts_follow_the_bounds_in_force(self):
        size = FleetSize(self.timers, lambda: 100)
        share = RetryShare(self.timers, self.source.bounds, size, NoReserve())
        before = self.take_all(share)
        self.write(TEXT.replace("graceS: 8", "graceS: 8, retryBudgetExtra: 1500"))
        self.source.reload("SIGHUP")
        self.assertGreater(self.take_all(share) + before, 5 * before)

    def take_all(self, share):
        count = 0
        while share.take("p"):
            count += 1
        return count
