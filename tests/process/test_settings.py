import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from boragedeck.connection.peer import Address
from boragedeck.process.settings import (
    SETTINGS,
    Settings,
    environment_name,
    parse_settings,
)

REQUIRED = {
    "BORAGEDECK_VM": "vm-1",
    "BORAGEDECK_FAILURE_DOMAIN": "ljubljana-1",
    "BORAGEDECK_PLATFORM_URL": "http://127.0.0.1:7000/",
}


class SettingsTest(unittest.TestCase):
    def assert_refused(self, arguments, *parts, environ=REQUIRED):
        text = str(parse_settings(arguments, environ).err())
        self.assertNotIn("\n", text)
        for part in parts:
            self.assertIn(part, text)

    def test_environment_variables_suffice(self):
        settings = parse_settings([], REQUIRED).ok()
        self.assertEqual(settings.platform_url, "http://127.0.0.1:7000")
        self.assertEqual(settings.listen, Address("127.0.0.1", 8080))
        self.assertEqual(settings.peer_advertise, "127.0.0.1")

    def test_flag_takes_precedence_over_environment_variable(self):
        self.assertEqual(parse_settings(["--vm", "vm-2"], REQUIRED).ok().vm, "vm-2")

    def test_every_field_has_a_setting(self):
        names = {setting.name for setting in SETTINGS}
        self.assertEqual(names, set(Settings.__struct_fields__))

    def test_error_names_a_missing_setting(self):
        for setting in SETTINGS:
            if setting.is_required:
                environ = dict(REQUIRED)
                del environ[environment_name(setting)]
                self.assert_refused([], setting.flag, "nothing", environ=environ)

    def test_error_names_flag_and_invalid_value(self):
        for flag, value in (
            ("--listen", "8080"),
            ("--memory-mb", "0"),
            ("--memory-mb", "much"),
            ("--max-fds", "10"),
            ("--listen", "localhost:8080"),
            ("--listen", "127.0.0.1:99999"),
            ("--peer-listen", "127.0.0.1:x"),
            ("--advertise", "0.0.0.0"),
            ("--vm", "a b"),
            ("--platform-url", "127.0.0.1:7000"),
            ("--platform-url", "http://"),
            ("--seed-peers", "127.0.0.1:1,,"),
            ("--seed-peers", "127.0.0.1:0"),
            ("--peer-secret-file", "/nonexistent/secret"),
            ("--log-file", "/nonexistent/log"),
            ("--drain-s", "soon"),
            ("--drain-s", "nan"),
        ):
            with self.subTest(flag=flag, value=value):
                self.assert_refused([flag, value], flag, value, "; expected ")

    def test_unspecified_address_needs_an_advertised_address(self):
        arguments = ["--peer-listen", "0.0.0.0:9"]
        self.assert_refused(arguments, "--peer-advertise", "0.0.0.0:9")
        arguments += ["--peer-advertise", "10.0.0.1"]
        arguments += ["--peer-secret-file", self.secret_file("a" * 16)]
        self.assertEqual(
            parse_settings(arguments, REQUIRED).ok().peer_advertise, "10.0.0.1"
        )

    def test_links_beyond_loopback_need_a_secret_or_certificates(self):
        self.assert_refused(["--peer-listen", "10.0.0.1:9"], "--peer-secret-file")
        arguments = ["--peer-advertise", "10.0.0.1"]
        self.assert_refused(arguments, "10.0.0.1", "--tls-cert")

    def test_errors_of_weak_secret_files_do_not_contain_the_secret(self):
        for text in ("", "\n\n", "short-secret", "a" * 16 + "\nb" * 2, "a" * 5000):
            arguments = ["--peer-secret-file", self.secret_file(text)]
            error = str(parse_settings(arguments, REQUIRED).err())
            self.assertIn("--peer-secret-file", error)
            self.assertNotIn("short-secret", error)

    def secret_file(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name, "secrets")
        path.write_text(text)
        return str(path)

    def test_incomplete_tls_settings_are_refused(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "cert.pem")
            path.write_text("x")
            self.assert_refused(["--tls-cert", str(path)], "--tls-key", "--tls-cert")

    def test_error_names_an_unknown_flag(self):
        self.assert_refused(["--lisen", "x"], "--lisen")

    def test_help_names_every_flag_and_variable(self):
        out = io.StringIO()
        with contextlib.redirect_stdout(out), self.assertRaises(SystemExit) as caught:
            parse_settings(["--help"], {})
        self.assertEqual(caught.exception.code, 0)
        for setting in SETTINGS:
            self.assertIn(setting.flag, out.getvalue())
            self.assertIn(environment_name(setting), out.getvalue())

    @given(st.sampled_from(SETTINGS), st.text(max_size=30))
    def test_any_text_gives_settings_or_an_error_that_names_the_flag(
        self, setting, text
    ):
        if setting.name == "log_file":
            return
        environ = REQUIRED | {environment_name(setting): text}
        result = parse_settings([], environ)
        self.assertTrue(result.is_ok() or setting.flag in str(result.err()))
