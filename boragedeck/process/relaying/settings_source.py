"""The settings in force, reloaded when their file changes."""

from collections.abc import Callable
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from boragedeck.exceptions import SettingsError
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.settings import Bounds, RelaySettings
from boragedeck.process.timers import TimerService

__all__ = ["SettingsSource"]

CHECK_INTERVAL_S = 1.0
"""Interval of checks for a change of the file that no signal announced."""
RELOADABLE_FIELDS = frozenset({"bounds", "seeds"})
"""The other fields are listening addresses and the process's identity; changing them
needs a restart."""

_log = PartLog("settings")


class SettingsSource:
    """Holds the settings in force.

    Parameters
    ----------
    settings : RelaySettings
        The settings read at the start.
    read : callable
        Reads and checks the file.
    path : Path
        The file that is checked for changes.
    timers : TimerService
        The source of time.

    Notes
    -----
    A file that can't be read or is invalid changes nothing.
    """

    def __init__(
        self,
        settings: RelaySettings,
        read: Callable[[], Result[RelaySettings, SettingsError]],
        path: Path,
        timers: TimerService,
    ):
        self._settings = settings
        self._read = read
        self._path = path
        self._timers = timers
        self._seen_stamp = self._file_stamp()

    def start(self) -> None:
        """Start to check the file for changes."""
        self._timers.subscribe(CHECK_INTERVAL_S, self._check)

    def current(self) -> RelaySettings:
        """Return the settings in force."""
        return self._settings

    def bounds(self) -> Bounds:
        """Return the operators' bounds in force."""
        return self._settings.bounds

    def reload(self, cause: str) -> None:
        """Read the file, and apply the fields that may change at run time."""
        self._seen_stamp = self._file_stamp()
        match self._read():
            case Ok(settings):
                self._apply(settings, cause)
            case Err(error):
                _log.write("Reload failed.", cause=cause, error=error.message)

    def _apply(self, settings: RelaySettings, cause: str) -> None:
        changed = {
            field
            for field in self._settings.__struct_fields__
            if getattr(settings, field) != getattr(self._settings, field)
        }
        taken = {
            field: getattr(settings, field) for field in changed & RELOADABLE_FIELDS
        }
        self._settings = msgspec.structs.replace(self._settings, **taken)
        _log.write(
            "Reloaded.",
            cause=cause,
            taken=sorted(taken),
            need_restart=sorted(changed - RELOADABLE_FIELDS),
        )

    def _check(self) -> None:
        if self._file_stamp() != self._seen_stamp:
            self.reload("the file has changed")

    def _file_stamp(self) -> tuple[int, int] | None:
        try:
            stat = self._path.stat()
        except OSError:
            # The file may be missing for a moment while it is replaced.
            return None
        return stat.st_mtime_ns, stat.st_size
