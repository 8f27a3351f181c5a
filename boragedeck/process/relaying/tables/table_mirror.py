"""A mirror of one of the platform's tables."""

from collections.abc import Callable

from eventlet.event import Event

from boragedeck.connection.store import Change, Changes, Table
from boragedeck.connection.store_version import StoreVersion, era_of
from boragedeck.process.timers import TimerService

__all__ = ["TableMirror"]

MAX_KNOWN_DELETIONS = 1000
"""Number of newest deletions that are kept for routers that may not know them."""


class TableMirror:
    """The rows of one table, at a version that never decreases.

    A store that is restored from an older copy starts a later era, whose versions are
    greater than all before; its rows arrive as a snapshot.

    Parameters
    ----------
    table : Table
        The table.
    """

    def __init__(self, table: Table):
        self.table = table
        self.version = -1
        self.newest_row_version = -1
        """Version of the newest row change, which other routers compare with theirs."""
        self.rows: dict[str, Change] = {}
        self._deletion_versions: dict[str, StoreVersion] = {}
        self._deletions_known_after = -1
        self._changed = Event()
        self._callbacks: list[Callable[[Change], None]] = []
        self._restored_callbacks: list[Callable[[], None]] = []

    def subscribe_restored(self, callback: Callable[[], None]) -> None:
        """Register a callback for the time before rows of a later era are applied."""
        self._restored_callbacks.append(callback)

    def subscribe(self, callback: Callable[[Change], None]) -> None:
        """Register a callback for each row that is new, changed or deleted."""
        self._callbacks.append(callback)

    def apply(self, changes: Changes) -> None:
        """Apply changes; those older than the known rows have no effect."""
        if changes.is_snapshot:
            if changes.version < self.version:
                return
            self._notify_if_restored(changes)
            self._drop_missing(changes)
            # Rows that this mirror never had may have been deleted before.
            self._deletions_known_after = changes.version
        if self.version < 0:
            self._deletions_known_after = changes.version
        newest_before = self._newest_complete_version()
        for change in changes.rows:
            self._apply_row(change)
        self.version = max(self.version, changes.version)
        if self._newest_complete_version() > newest_before:
            changed, self._changed = self._changed, Event()
            changed.send()

    def snapshot(self) -> Changes:
        """Return all rows as a snapshot for another router."""
        return Changes(tuple(self.rows.values()), self.version, True)

    def since(self, after: StoreVersion) -> Changes:
        """Return the changes after a version; all rows if some deletion isn't known."""
        if after < self._deletions_known_after:
            return self.snapshot()
        rows = [change for change in self.rows.values() if change.version > after]
        rows += [
            Change(key, None, version)
            for key, version in self._deletion_versions.items()
            if version > after
        ]
        rows.sort(key=lambda change: change.version)
        return Changes(tuple(rows), self.version)

    def wait_for_change(
        self, timers: TimerService, after: StoreVersion, wait_s: float
    ) -> None:
        """Wait until a row is newer than a version, or the time has passed."""
        until = timers.now() + wait_s
        while self._newest_complete_version() <= after:
            left_s = until - timers.now()
            if left_s <= 0.0:
                return
            timers.wait(self._changed, left_s)

    def _newest_complete_version(self) -> int:
        """Return the version of the newest change before which none is missing.

        Notes
        -----
        A snapshot of several pages may contain rows newer than its version.
        """
        return min(self.newest_row_version, self.version)

    def _notify_if_restored(self, changes: Changes) -> None:
        if 0 <= self.version and era_of(self.version) < era_of(changes.version):
            for callback in self._restored_callbacks:
                callback()

    def _drop_missing(self, changes: Changes) -> None:
        snapshot_keys = {change.key for change in changes.rows}
        for key in [key for key in self.rows if key not in snapshot_keys]:
            self._apply_row(Change(key, None, changes.version))

    def _apply_row(self, change: Change) -> None:
        self.newest_row_version = max(self.newest_row_version, change.version)
        known = self.rows.get(change.key)
        if known is not None and known.version >= change.version:
            return
        if change.value is None:
            if self.rows.pop(change.key, None) is None:
                return
            self._note_deleted(change)
        else:
            self.rows[change.key] = change
            self._deletion_versions.pop(change.key, None)
        for callback in self._callbacks:
            callback(change)

    def _note_deleted(self, change: Change) -> None:
        self._deletion_versions[change.key] = change.version
        if len(self._deletion_versions) > MAX_KNOWN_DELETIONS:
            key = next(iter(self._deletion_versions))
            self._deletions_known_after = max(
                self._deletions_known_after, self._deletion_versions.pop(key)
            )
