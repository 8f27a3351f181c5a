"""Seeded defects in reloads of the settings, each with its test."""

from boragedeck.process.relaying.settings_source import SettingsSource
from tests.support.method_defects import MethodDefect

__all__ = ["RELOAD_DEFECTS"]

TESTS = "tests.process.relaying.test_settings_source.SettingsSourceTest"

RELOAD_DEFECTS = (
    MethodDefect(
        "a reload takes nothing",
        f"{TESTS}.test_bounds_and_seeds_change_on_a_reload",
        SettingsSource,
        "_apply",
        lambda self, settings, cause: None,
    ),
    MethodDefect(
        "a change without a signal isn't seen",
        f"{TESTS}.test_change_without_a_signal_is_found",
        SettingsSource,
        "_check",
        lambda self: None,
    ),
)
