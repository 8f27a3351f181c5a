import tempfile
import unittest
from pathlib import Path

from boragedeck.connection.peer import Address
from boragedeck.platform.settings import read_settings

TEXT = """
node: "front-a-1"
ip: "10.1.0.40"
zone: "a"
listen: {front: "10.1.0.40:8227", ready: "10.1.0.40:8220", control: "10.1.0.40:8229"}
internalPorts: [7340, 7355]
seeds: ["10.2.0.29:8229"]
heartbeatMs: 1200
bounds: {contactMs: 3000, drainMs: 2000, graceS: 8, retryBudgetRatio: 0.5}
platform: {address: "10.200.1.7:8223", rowBytes: 65536}
somethingNew: 5
"""


class SettingsTest(unittest.TestCase):
    def read(self, text, **environ):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "local.yaml")
            path.write_text(text)
            return read_settings({"BORAGEDECK_CONFIG": str(path)} | environ)

    def test_file_is_read_and_unknown_fields_are_ignored(self):
        settings = self.read(TEXT, BORAGEDECK_METRICS_PORT="9999").ok()
        self.assertEqual(settings.callers, Address("10.1.0.40", 8227))
        self.assertEqual(settings.peer, Address("10.1.0.40", 7340))
        self.assertEqual(settings.seeds, (Address("10.2.0.29", 7340),))
        self.assertEqual(settings.metrics, Address("10.1.0.40", 9999))
        self.assertEqual(settings.bounds.retry_ratio, 0.5)
        self.assertEqual(settings.bounds.grace_s, 8.0)
        self.assertEqual(settings.heartbeat_s, 1.2)

    def test_limits_of_the_vm_are_optional(self):
        settings = self.read(TEXT).ok()
        self.assertEqual((settings.memory_mb, settings.max_fds), (None, None))
        text = TEXT + "limits: {memoryMb: 128.5, maxFds: 4100, cores: 0.5}\n"
        settings = self.read(text).ok()
        self.assertEqual((settings.memory_mb, settings.max_fds), (128.5, 4100))

    def test_limit_that_is_none_is_refused(self):
        for text in ("memoryMb: 0", "maxFds: -1"):
            message = self.read(TEXT + f"limits: {{{text}}}\n").err().message
            self.assertIn(f"limits.{text.partition(':')[0]} got", message)

    def test_without_a_file_there_are_no_settings(self):
        self.assertIsNone(read_settings({}).ok())

    def test_error_names_the_field_and_its_value(self):
        for old, new, expected in (
            ('"10.1.0.40:8227"', '"10.1.0.40"', "listen.front got '10.1.0.40'"),
            ("[7340, 7355]", "[7340]", "internalPorts"),
            ("[7340, 7355]", "[7340, 7340]", "internalPorts got (7340, 7340)"),
            ("heartbeatMs: 1200", "heartbeatMs: 0", "heartbeatMs got 0"),
            ("graceS: 8", "graceS: long", "bounds.graceS"),
            ('zone: "a"', "", "zone"),
            ("internalPorts:", "internalPorts: [", "can't be read"),
        ):
            message = self.read(TEXT.replace(old, new)).err().message
            self.assertIn(expected, message)

    def test_error_names_a_missing_file(self):
        message = read_settings({"BORAGEDECK_CONFIG": "/nowhere/x"}).err().message
        self.assertIn("/nowhere/x", message)
